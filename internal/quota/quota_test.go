package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bellgap/bellgap/internal/customer"
)

// boundWindow and boundExcess are the bounds that users apply to all quotas. boundTolerance is their bound for quotas in tokens.
const (
	boundWindow    = 8 * time.Second
	boundExcess    = 0.1
	boundTolerance = 11000
)

// testBounds are the bounds with which the tests configure a ledger.
var testBounds = Bounds{Window: boundWindow, Excess: boundExcess, Tolerance: boundTolerance}

// startTime is the start of the virtual time.
var startTime = time.Unix(1_800_000_000, 0)

// usage is one use of units.
type usage struct {
	at    time.Time
	units float64
}

// maxUseInWindow returns the maximum number of units used in any window.
func maxUseInWindow(usages []usage) float64 {
	maxUse, sum, first := 0.0, 0.0, 0
	for _, u := range usages {
		sum += u.units
		for u.at.Sub(usages[first].at) > boundWindow {
			sum -= usages[first].units
			first++
		}
		maxUse = max(maxUse, sum)
	}
	return maxUse
}

// maxAllowedUse returns the number of units that a quota allows in a window.
func maxAllowedUse(q customer.Quota) float64 {
	return (q.Rate*boundWindow.Seconds()+q.Burst)*(1+boundExcess) + boundTolerance
}

// fleet simulates boxes in virtual time. Their accountable box may change or become unreachable.
type fleet struct {
	ledger                 *Ledger
	allowances             []*allowance
	accountableUnreachable func(box int, now time.Time) bool
	usages                 []usage
	ledgerCalls            int
	refusedUnits           float64
	requestedUnits         float64
}

func newFleet(boxes int) *fleet {
	f := &fleet{ledger: NewLedger(LedgerConfig{Bounds: testBounds}), accountableUnreachable: func(int, time.Time) bool { return false }}
	for range boxes {
		f.allowances = append(f.allowances, &allowance{})
	}
	return f
}

// takeUnits simulates one request on a box.
func (f *fleet) takeUnits(now time.Time, box int, q customer.Quota, units float64) {
	a := f.allowances[box]
	f.requestedUnits += units
	req, wait, ok := a.takeGranted(now, "mill", units)
	switch {
	case ok:
	case wait > 0:
	case f.accountableUnreachable(box, now):
		_, ok = a.takeFallback(now, q, req, len(f.allowances))
	default:
		f.ledgerCalls++
		ok = a.applyReply(now, req, f.ledger.Take(now, q, req))
	}
	if !ok {
		f.refusedUnits += units
		return
	}
	f.usages = append(f.usages, usage{now, units})
}

// sendRequests sends requests of 1500 units on average at a rate in units per second. The function box selects the box of each
// request.
func (f *fleet) sendRequests(rng *rand.Rand, q customer.Quota, from, to time.Time, rate float64, box func() int) {
	const mean = 1500
	for now := from; now.Before(to); {
		now = now.Add(time.Duration(rng.ExpFloat64() * mean / rate * float64(time.Second)))
		f.takeUnits(now, box(), q, mean*(0.5+rng.Float64()))
	}
}

// TestCustomerAboveQuota simulates a customer that sends 7.5 times its usual rate with a quota of 1.8 times that rate, on all
// boxes or on a few of them. It compares the refusals with the simplest alternative, a fixed share of the quota for each box.
func TestCustomerAboveQuota(t *testing.T) {
	for _, tt := range []struct {
		boxes       int
		usualRate   float64
		activeBoxes int
	}{{6, 120_000, 6}, {72, 120_000, 72}, {72, 1_500, 72}, {400, 120_000, 400}, {400, 1_500, 400}, {72, 120_000, 2}} {
		t.Run(fmt.Sprintf("%d boxes, usually %v units per second, sent on %d boxes", tt.boxes, tt.usualRate, tt.activeBoxes), func(t *testing.T) {
			c := qt.New(t)
			rng := rand.New(rand.NewPCG(1, 2))
			q := customer.Quota{Unit: customer.UnitTokens, Rate: 1.8 * tt.usualRate, Burst: 1.8 * tt.usualRate}
			f := newFleet(tt.boxes)
			box := func() int { return rng.IntN(tt.activeBoxes) }
			f.sendRequests(rng, q, startTime, startTime.Add(10*time.Second), tt.usualRate, box)
			refusedShare := f.refusedUnits / f.requestedUnits
			f.sendRequests(rng, q, startTime.Add(10*time.Second), startTime.Add(20*time.Second), 7.5*tt.usualRate, box)
			c.Check(maxUseInWindow(f.usages) <= maxAllowedUse(q), qt.IsTrue,
				qt.Commentf("%v units used, %v allowed", maxUseInWindow(f.usages), maxAllowedUse(q)))
			c.Check(maxUseInWindow(f.usages) >= 0.85*(q.Rate*boundWindow.Seconds()+q.Burst), qt.IsTrue,
				qt.Commentf("too little of the quota used: %v units, %v allowed", maxUseInWindow(f.usages), maxAllowedUse(q)))
			c.Check(refusedShare < 0.03, qt.IsTrue, qt.Commentf("share refused below the quota: %v", refusedShare))
			fixedRefusedShare := fixedShareRefusals(rng, q, tt.boxes, tt.activeBoxes, tt.usualRate)
			t.Logf("used %.2f of the allowed units, share refused below the quota: %.3f, calls to the accountable box: %d; with a fixed share per box, share refused below the quota: %.3f",
				maxUseInWindow(f.usages)/maxAllowedUse(q), refusedShare, f.ledgerCalls, fixedRefusedShare)
			c.Check(refusedShare <= fixedRefusedShare+0.01, qt.IsTrue)
		})
	}
}

// fixedShareRefusals returns the share of a customer's usual units that is refused if each box has a fixed share of the quota.
func fixedShareRefusals(rng *rand.Rand, q customer.Quota, boxes, activeBoxes int, usualRate float64) float64 {
	f := newFleet(boxes)
	f.accountableUnreachable = func(int, time.Time) bool { return true }
	f.sendRequests(rng, q, startTime, startTime.Add(10*time.Second), usualRate, func() int { return rng.IntN(activeBoxes) })
	return f.refusedUnits / f.requestedUnits
}

// TestQuotaHoldsWhenAccountableBoxIsLost simulates a customer at many times its quota whose accountable box stops answering.
// Another box takes over with an empty ledger.
func TestQuotaHoldsWhenAccountableBoxIsLost(t *testing.T) {
	for _, outage := range []time.Duration{500 * time.Millisecond, 1200 * time.Millisecond, 2400 * time.Millisecond} {
		t.Run(outage.String(), func(t *testing.T) {
			c := qt.New(t)
			rng := rand.New(rand.NewPCG(3, 4))
			const usualRate = 120_000
			q := customer.Quota{Unit: customer.UnitTokens, Rate: 1.8 * usualRate, Burst: 1.8 * usualRate}
			f := newFleet(72)
			box := func() int { return rng.IntN(72) }
			lostAt := startTime.Add(6 * time.Second)
			f.sendRequests(rng, q, startTime, lostAt, 7.5*usualRate, box)
			f.accountableUnreachable = func(_ int, now time.Time) bool { return now.Before(lostAt.Add(outage)) }
			f.ledger = NewLedger(LedgerConfig{Bounds: testBounds})
			f.sendRequests(rng, q, lostAt, lostAt.Add(8*time.Second), 7.5*usualRate, box)
			c.Check(maxUseInWindow(f.usages) <= maxAllowedUse(q), qt.IsTrue,
				qt.Commentf("%v units used, %v allowed", maxUseInWindow(f.usages), maxAllowedUse(q)))
		})
	}
}

// TestQuotaWithHalfOfBoxesCutOff simulates a customer at many times its quota while half of the boxes cannot reach the
// accountable box.
func TestQuotaWithHalfOfBoxesCutOff(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(5, 6))
	const usualRate = 120_000
	q := customer.Quota{Unit: customer.UnitTokens, Rate: 1.8 * usualRate, Burst: 1.8 * usualRate}
	f := newFleet(72)
	cutAt := startTime.Add(6 * time.Second)
	f.accountableUnreachable = func(box int, now time.Time) bool {
		return box%2 == 0 && now.After(cutAt) && now.Before(cutAt.Add(5*time.Second))
	}
	f.sendRequests(rng, q, startTime, cutAt.Add(12*time.Second), 7.5*usualRate, func() int { return rng.IntN(72) })
	// The half that is cut off uses half of the quota in addition to the whole quota that the other half uses. This excess is
	// known, bounded, and documented in docs/GUARANTEES.md.
	c.Check(maxUseInWindow(f.usages) <= 1.5*maxAllowedUse(q), qt.IsTrue,
		qt.Commentf("%v units used, %v allowed", maxUseInWindow(f.usages), maxAllowedUse(q)))
}

// TestLoweredQuotaBinds lowers a quota to a tenth. Windows that begin after the change must stay within the lowered quota, so it
// binds one window later.
func TestLoweredQuotaBinds(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(7, 8))
	const usualRate = 120_000
	q := customer.Quota{Unit: customer.UnitTokens, Rate: 1.8 * usualRate, Burst: 1.8 * usualRate}
	f := newFleet(72)
	box := func() int { return rng.IntN(72) }
	f.sendRequests(rng, q, startTime, startTime.Add(10*time.Second), 2*usualRate, box)
	lowered := customer.Quota{Unit: customer.UnitTokens, Rate: 0.1 * q.Rate, Burst: 0.1 * q.Burst}
	f.usages = nil
	f.sendRequests(rng, lowered, startTime.Add(10*time.Second), startTime.Add(30*time.Second), 2*usualRate, box)
	c.Check(maxUseInWindow(f.usages) <= maxAllowedUse(lowered), qt.IsTrue,
		qt.Commentf("%v units used, %v allowed", maxUseInWindow(f.usages), maxAllowedUse(lowered)))
}

// TestRefusedRequestsGetDifferentWaits refuses many requests at the same moment. They must get different retry times, up to
// maxWait.
func TestRefusedRequestsGetDifferentWaits(t *testing.T) {
	c := qt.New(t)
	q := customer.Quota{Rate: 100, Burst: 100}
	l := NewLedger(LedgerConfig{Bounds: testBounds})
	waits := map[time.Duration]bool{}
	for range 2000 {
		if reply := l.Take(startTime, q, TakeRequest{Customer: "mill", Need: 10}); reply.Granted == 0 {
			c.Check(reply.Wait > 0 && reply.Wait <= maxWait, qt.IsTrue)
			waits[reply.Wait] = true
		}
	}
	c.Check(len(waits) > 45, qt.IsTrue, qt.Commentf("%d", len(waits)))
}

// TestGivenBackUnitsAreReusable returns the units of requests that were not run. Other requests must be able to use them.
func TestGivenBackUnitsAreReusable(t *testing.T) {
	c := qt.New(t)
	q := customer.Quota{Rate: 1, Burst: 100}
	l, a := NewLedger(LedgerConfig{Bounds: testBounds}), &allowance{}
	now := startTime
	for range 20000 {
		req, _, ok := a.takeGranted(now, "mill", 10)
		c.Assert(ok || a.applyReply(now, req, l.Take(now, q, req)), qt.IsTrue)
		a.giveBack(10)
	}
}

// TestUseStaysWithinBounds draws numbers of boxes, quotas, demands, and whether the accountable box changes. No window may have
// more than the allowed use, even with one change of the accountable box in it.
func TestUseStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := rapid.IntRange(6, 400).Draw(t, "boxes")
		usualRate := math.Pow(10, rapid.Float64Range(3.2, 5.3).Draw(t, "log10 of the usual rate"))
		multiple := rapid.Float64Range(0.5, 10).Draw(t, "multiple of the usual rate")
		activeBoxes := rapid.IntRange(1, boxes).Draw(t, "number of sending boxes")
		changes := rapid.Bool().Draw(t, "the accountable box changes")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		q := customer.Quota{Unit: customer.UnitTokens, Rate: 1.8 * usualRate, Burst: 1.8 * usualRate}
		f := newFleet(boxes)
		box := func() int { return rng.IntN(activeBoxes) }
		f.sendRequests(rng, q, startTime, startTime.Add(9*time.Second), multiple*usualRate, box)
		if changes {
			f.ledger = NewLedger(LedgerConfig{Bounds: testBounds})
		}
		f.sendRequests(rng, q, startTime.Add(9*time.Second), startTime.Add(18*time.Second), multiple*usualRate, box)
		if maxUseInWindow(f.usages) > maxAllowedUse(q) {
			t.Fatalf("%v units used, %v allowed", maxUseInWindow(f.usages), maxAllowedUse(q))
		}
	})
}
