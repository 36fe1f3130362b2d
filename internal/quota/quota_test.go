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

// window and excess are what the users judge quotas by; tolerance is theirs for quotas in tokens.
const (
	window    = 8 * time.Second
	excess    = 0.1
	tolerance = 11000
)

// bounds are those of a ledger that is told what it is judged by.
var bounds = Bounds{Window: window, Excess: excess, Tolerance: tolerance}

// base is the virtual start of time.
var base = time.Unix(1_800_000_000, 0)

// used is one use of units.
type used struct {
	at    time.Time
	units float64
}

// worst returns the most that was used in any window.
func worst(all []used) float64 {
	worst, sum, first := 0.0, 0.0, 0
	for _, u := range all {
		sum += u.units
		for u.at.Sub(all[first].at) > window {
			sum -= all[first].units
			first++
		}
		worst = max(worst, sum)
	}
	return worst
}

func allowed(q customer.Quota) float64 {
	return (q.Rate*window.Seconds()+q.Burst)*(1+excess) + tolerance
}

// fleet plays boxes with an accountable one that may change or fall silent, in virtual time.
type fleet struct {
	ledger  *Ledger
	holders []*holder
	silent  func(box int, now time.Time) bool
	used    []used
	asked   int
	refused float64
	wanted  float64
}

func newFleet(boxes int) *fleet {
	f := &fleet{ledger: NewLedger(LedgerConfig{Bounds: bounds}), silent: func(int, time.Time) bool { return false }}
	for range boxes {
		f.holders = append(f.holders, &holder{})
	}
	return f
}

// request plays one request at a box.
func (f *fleet) request(now time.Time, box int, q customer.Quota, units float64) {
	h := f.holders[box]
	f.wanted += units
	ask, wait, ok := h.use(now, "mill", units)
	switch {
	case ok:
	case wait > 0:
	case f.silent(box, now):
		_, ok = h.unanswered(now, q, ask, len(f.holders))
	default:
		f.asked++
		ok = h.answered(now, ask, f.ledger.Take(now, q, ask))
	}
	if !ok {
		f.refused += units
		return
	}
	f.used = append(f.used, used{now, units})
}

// play sends requests of the usual size at a rate of units a second from boxes chosen by a function.
func (f *fleet) play(rng *rand.Rand, q customer.Quota, from, to time.Time, rate float64, box func() int) {
	const mean = 1500
	for now := from; now.Before(to); {
		now = now.Add(time.Duration(rng.ExpFloat64() * mean / rate * float64(time.Second)))
		f.request(now, box(), q, mean*(0.5+rng.Float64()))
	}
}

// TestHotCustomer plays a customer that sends 7.5 times its usual, of which its quota is 1.8 times, from any of many boxes or from one. A fixed
// part for each box, the simplest other way, is played beside it.
func TestHotCustomer(t *testing.T) {
	for _, tt := range []struct {
		boxes int
		usual float64
		few   int
	}{{6, 120_000, 6}, {72, 120_000, 72}, {72, 1_500, 72}, {400, 120_000, 400}, {400, 1_500, 400}, {72, 120_000, 2}} {
		t.Run(fmt.Sprintf("%d boxes, %v usual, by %d", tt.boxes, tt.usual, tt.few), func(t *testing.T) {
			c := qt.New(t)
			rng := rand.New(rand.NewPCG(1, 2))
			q := customer.Quota{Unit: customer.UnitTokens, Rate: 1.8 * tt.usual, Burst: 1.8 * tt.usual}
			f := newFleet(tt.boxes)
			box := func() int { return rng.IntN(tt.few) }
			f.play(rng, q, base, base.Add(10*time.Second), tt.usual, box)
			calm := f.refused / f.wanted
			f.play(rng, q, base.Add(10*time.Second), base.Add(20*time.Second), 7.5*tt.usual, box)
			c.Check(worst(f.used) <= allowed(q), qt.IsTrue, qt.Commentf("%v of %v", worst(f.used), allowed(q)))
			c.Check(worst(f.used) >= 0.85*(q.Rate*window.Seconds()+q.Burst), qt.IsTrue, qt.Commentf("the quota is used: %v of %v", worst(f.used), allowed(q)))
			c.Check(calm < 0.03, qt.IsTrue, qt.Commentf("refused below the quota: %v", calm))
			fixed := fixedParts(rng, q, tt.boxes, tt.few, tt.usual)
			t.Logf("used %.2f of the quota, refused below it %.3f, asks %d; a fixed part a box: refused below the quota %.3f",
				worst(f.used)/allowed(q), calm, f.asked, fixed)
			c.Check(calm <= fixed+0.01, qt.IsTrue)
		})
	}
}

// fixedParts returns the part that fixed parts of the quota refuse of a customer's usual.
func fixedParts(rng *rand.Rand, q customer.Quota, boxes, few int, usual float64) float64 {
	f := newFleet(boxes)
	f.silent = func(int, time.Time) bool { return true }
	f.play(rng, q, base, base.Add(10*time.Second), usual, func() int { return rng.IntN(few) })
	return f.refused / f.wanted
}

// TestAccountableBoxIsLost plays a customer at many times its quota whose accountable box goes silent; another takes over with an empty ledger.
func TestAccountableBoxIsLost(t *testing.T) {
	for _, silence := range []time.Duration{500 * time.Millisecond, 1200 * time.Millisecond, 2400 * time.Millisecond} {
		t.Run(silence.String(), func(t *testing.T) {
			c := qt.New(t)
			rng := rand.New(rand.NewPCG(3, 4))
			const usual = 120_000
			q := customer.Quota{Unit: customer.UnitTokens, Rate: 1.8 * usual, Burst: 1.8 * usual}
			f := newFleet(72)
			box := func() int { return rng.IntN(72) }
			lost := base.Add(6 * time.Second)
			f.play(rng, q, base, lost, 7.5*usual, box)
			f.silent = func(_ int, now time.Time) bool { return now.Before(lost.Add(silence)) }
			f.ledger = NewLedger(LedgerConfig{Bounds: bounds})
			f.play(rng, q, lost, lost.Add(8*time.Second), 7.5*usual, box)
			c.Check(worst(f.used) <= allowed(q), qt.IsTrue, qt.Commentf("%v of %v", worst(f.used), allowed(q)))
		})
	}
}

// TestHalfIsCutOff plays a customer at many times its quota while half of the boxes cannot ask.
func TestHalfIsCutOff(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(5, 6))
	const usual = 120_000
	q := customer.Quota{Unit: customer.UnitTokens, Rate: 1.8 * usual, Burst: 1.8 * usual}
	f := newFleet(72)
	cut := base.Add(6 * time.Second)
	f.silent = func(box int, now time.Time) bool {
		return box%2 == 0 && now.After(cut) && now.Before(cut.Add(5*time.Second))
	}
	f.play(rng, q, base, cut.Add(12*time.Second), 7.5*usual, func() int { return rng.IntN(72) })
	// The half that cannot ask has half of the quota beside the whole of the others: known, bounded, and said in docs/GUARANTEES.md.
	c.Check(worst(f.used) <= 1.5*allowed(q), qt.IsTrue, qt.Commentf("%v of %v", worst(f.used), allowed(q)))
}

// TestQuotaIsLowered lowers a quota to a tenth: it binds one window later.
func TestQuotaIsLowered(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(7, 8))
	const usual = 120_000
	q := customer.Quota{Unit: customer.UnitTokens, Rate: 1.8 * usual, Burst: 1.8 * usual}
	f := newFleet(72)
	box := func() int { return rng.IntN(72) }
	f.play(rng, q, base, base.Add(10*time.Second), 2*usual, box)
	low := customer.Quota{Unit: customer.UnitTokens, Rate: 0.1 * q.Rate, Burst: 0.1 * q.Burst}
	f.used = nil
	f.play(rng, low, base.Add(10*time.Second), base.Add(30*time.Second), 2*usual, box)
	c.Check(worst(f.used) <= allowed(low), qt.IsTrue, qt.Commentf("%v of %v", worst(f.used), allowed(low)))
}

// TestRefusedComeBackInTurn refuses many requests at one moment: they are told different times, as far as is told at all.
func TestRefusedComeBackInTurn(t *testing.T) {
	c := qt.New(t)
	q := customer.Quota{Rate: 100, Burst: 100}
	l := NewLedger(LedgerConfig{Bounds: bounds})
	waits := map[time.Duration]bool{}
	for range 2000 {
		if a := l.Take(base, q, Ask{Customer: "mill", Need: 10}); a.Granted == 0 {
			c.Check(a.Wait > 0 && a.Wait <= maxWait, qt.IsTrue)
			waits[a.Wait] = true
		}
	}
	c.Check(len(waits) > 45, qt.IsTrue, qt.Commentf("%d", len(waits)))
}

// TestNeverRan gives the units of requests that never ran back: others can use them.
func TestNeverRan(t *testing.T) {
	c := qt.New(t)
	q := customer.Quota{Rate: 1, Burst: 100}
	l, h := NewLedger(LedgerConfig{Bounds: bounds}), &holder{}
	now := base
	for range 20000 {
		ask, _, ok := h.use(now, "mill", 10)
		c.Assert(ok || h.answered(now, ask, l.Take(now, q, ask)), qt.IsTrue)
		h.giveBack(10)
	}
}

// TestWindowHolds draws boxes, quotas, demands and silences: however they come, no window has more than is allowed with one change of the
// accountable box in it.
func TestWindowHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boxes := rapid.IntRange(6, 400).Draw(t, "boxes")
		usual := math.Pow(10, rapid.Float64Range(3.2, 5.3).Draw(t, "log of the usual"))
		times := rapid.Float64Range(0.5, 10).Draw(t, "times the usual")
		few := rapid.IntRange(1, boxes).Draw(t, "by how many boxes")
		changes := rapid.Bool().Draw(t, "the accountable box changes")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		q := customer.Quota{Unit: customer.UnitTokens, Rate: 1.8 * usual, Burst: 1.8 * usual}
		f := newFleet(boxes)
		box := func() int { return rng.IntN(few) }
		f.play(rng, q, base, base.Add(9*time.Second), times*usual, box)
		if changes {
			f.ledger = NewLedger(LedgerConfig{Bounds: bounds})
		}
		f.play(rng, q, base.Add(9*time.Second), base.Add(18*time.Second), times*usual, box)
		if worst(f.used) > allowed(q) {
			t.Fatalf("%v used of %v", worst(f.used), allowed(q))
		}
	})
}
