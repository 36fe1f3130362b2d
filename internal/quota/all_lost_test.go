package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/customer"
)

// TestQuotaHoldsWhenAllBoxesAreLost guards against a customer at many times its quota that gets more than a window allows because all boxes,
// which restart at once, have forgotten what it used. No box serves for offTime, and no box is accountable for another outage.
func TestQuotaHoldsWhenAllBoxesAreLost(t *testing.T) {
	const offTime = 300 * time.Millisecond
	for _, tt := range []struct {
		losses int
		outage time.Duration
	}{{1, 500 * time.Millisecond}, {1, 2400 * time.Millisecond}, {2, 500 * time.Millisecond}, {2, 1200 * time.Millisecond}, {3, 500 * time.Millisecond}} {
		t.Run(fmt.Sprint(tt.losses, "-", tt.outage), func(t *testing.T) {
			c := qt.New(t)
			rng := rand.New(rand.NewPCG(3, 4))
			const usualRate = 120_000
			q := customer.Quota{Unit: customer.UnitTokens, Rate: 1.8 * usualRate, Burst: 1.8 * usualRate}
			f := newFleet(72)
			box := func() int { return rng.IntN(72) }
			at := startTime.Add(6 * time.Second)
			// The customer is nearly idle first, so that its bucket is full.
			f.sendRequests(rng, q, startTime, at.Add(-time.Second), 0.2*usualRate, box)
			f.sendRequests(rng, q, at.Add(-time.Second), at, 7.5*usualRate, box)
			for range tt.losses {
				next := newFleet(72)
				next.usages, f = f.usages, next
				backAt := at.Add(offTime)
				f.accountableUnreachable = func(_ int, now time.Time) bool { return now.Before(backAt.Add(tt.outage)) }
				at = backAt.Add(2 * time.Second)
				f.sendRequests(rng, q, backAt, at, 7.5*usualRate, box)
			}
			f.sendRequests(rng, q, at, at.Add(8*time.Second), 7.5*usualRate, box)
			used, allowed := maxUseInWindow(f.usages), maxAllowedUse(q)
			t.Logf("%.0f units used, %.0f allowed: %.3f", used, allowed, used/allowed)
			c.Check(used <= allowed, qt.IsTrue)
		})
	}
}
