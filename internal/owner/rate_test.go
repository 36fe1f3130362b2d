package owner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// rateBase is the virtual start of time.
var rateBase = time.Unix(1_800_000_000, 0)

// ratedState returns an engine that holds one adapter and names a rate.
func ratedState(rate float64) *State {
	s := New(Config{Slots: 4, Batch: 8, MaxQueue: 16, FinishesFirst: true})
	s.Adopt([]resource.Ref{{Adapter: "held", Version: "1"}}, false)
	s.HearRate(rateBase, &ratelimit.Word{Limited: true, Rate: rate})
	return s
}

// ratedTicket is a request for an adapter.
func ratedTicket(now time.Time, id uint64, adapter string) Ticket {
	return Ticket{ID: id, Ref: resource.Ref{Adapter: adapter, Version: "1"}, Arrived: now, StartBy: now.Add(time.Second), Accept: time.Minute, Near: true}
}

// refusedBy returns the code of a refusal among actions, zero if there is none.
func refusedBy(actions []Action) result.Code {
	for _, a := range actions {
		if r, ok := a.(Refuse); ok {
			return r.Err.Code
		}
	}
	return 0
}

func TestOwnerKeepsToTheRate(t *testing.T) {
	c := qt.New(t)
	s := ratedState(2)
	started := 0
	id := uint64(0)
	for now := rateBase; now.Before(rateBase.Add(20 * time.Second)); now = now.Add(50 * time.Millisecond) {
		id++
		out := s.Submit(now, ratedTicket(now, id, "held"))
		if refusedBy(out) == 0 {
			started++
			s.Done(now, id, EndWhole)
			continue
		}
		c.Check(refusedBy(out), qt.Equals, result.RateLimited)
	}
	c.Check(started >= 38 && started <= 43, qt.IsTrue, qt.Commentf("%d started", started))
}

func TestAdaptersAreBroughtToEnginesInNeedLast(t *testing.T) {
	c := qt.New(t)
	s := ratedState(1)
	now := rateBase.Add(1500 * time.Millisecond)
	c.Check(refusedBy(s.Submit(now, ratedTicket(now, 1, "other"))), qt.Equals, result.RateLimited, qt.Commentf("one is free, for those whose adapter is there"))
	pressed := ratedTicket(now, 2, "other")
	pressed.Pressed = true
	c.Check(refusedBy(s.Submit(now, pressed)), qt.Equals, result.TryNext, qt.Commentf("others cannot start it: an offer"))
	now = now.Add(10 * time.Second)
	c.Check(refusedBy(s.Submit(now, ratedTicket(now, 3, "other"))), qt.Equals, result.TryNext, qt.Commentf("nobody uses the rate: an offer"))
	last := ratedTicket(now, 4, "other")
	last.Last, last.Near, last.Accept = true, false, 0
	c.Check(refusedBy(s.Submit(now, last)), qt.Equals, result.Code(0))
}

func TestWhatDoesNotStartGivesItsPartBack(t *testing.T) {
	c := qt.New(t)
	s := ratedState(0.5)
	now := rateBase.Add(2 * time.Second)
	waits := ratedTicket(now, 1, "other")
	waits.Last, waits.Near, waits.Accept = true, false, 0
	c.Assert(refusedBy(s.Submit(now, waits)), qt.Equals, result.Code(0))
	c.Check(refusedBy(s.Submit(now, ratedTicket(now, 2, "held"))), qt.Equals, result.RateLimited)
	s.Cancel(now, 1)
	c.Check(refusedBy(s.Submit(now, ratedTicket(now, 3, "held"))), qt.Equals, result.Code(0))
	s.Done(now, 3, EndWhole)
	now = now.Add(2 * time.Second)
	waits.ID, waits.Arrived, waits.StartBy = 4, now, now.Add(100*time.Millisecond)
	c.Assert(refusedBy(s.Submit(now, waits)), qt.Equals, result.Code(0))
	now = now.Add(200 * time.Millisecond)
	c.Assert(refusedBy(s.Tick(now)), qt.Equals, result.DeadlineUnmet)
	c.Check(refusedBy(s.Submit(now, ratedTicket(now, 5, "held"))), qt.Equals, result.Code(0))
}

func TestEngineThatStartsAgainHasNamedNoRate(t *testing.T) {
	c := qt.New(t)
	s := ratedState(0.1)
	c.Assert(refusedBy(s.Submit(rateBase, ratedTicket(rateBase, 1, "held"))), qt.Equals, result.RateLimited)
	s.Restarted(rateBase)
	s.Adopt([]resource.Ref{{Adapter: "held", Version: "1"}}, false)
	c.Check(refusedBy(s.Submit(rateBase, ratedTicket(rateBase, 2, "held"))), qt.Equals, result.Code(0))
}

// TestOwnerWithoutAuthorityUsesAPart: another owner may count the same engine's requests.
func TestOwnerWithoutAuthorityUsesAPart(t *testing.T) {
	c := qt.New(t)
	s := ratedState(2)
	started := 0
	for i := range uint64(400) {
		now := rateBase.Add(time.Duration(i) * 50 * time.Millisecond)
		t := ratedTicket(now, i, "held")
		t.Lone = true
		if refusedBy(s.Submit(now, t)) == 0 {
			started++
			s.Done(now, i, EndWhole)
		}
	}
	c.Check(started >= 14 && started <= 18, qt.IsTrue, qt.Commentf("%d of 40", started))
}
