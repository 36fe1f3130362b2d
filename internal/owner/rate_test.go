package owner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// rateBase is the start time of the tests.
var rateBase = time.Unix(1_800_000_000, 0)

// ratedState returns the state of an engine that has one loaded adapter and a rate limit.
func ratedState(rate float64) *State {
	s := New(Config{Slots: 4, Batch: 8, MaxQueue: 16, FinishesFirst: true})
	s.Adopt([]resource.Ref{{Adapter: "held", Version: "1"}}, false)
	s.HearRate(rateBase, &ratelimit.Word{Limited: true, Rate: rate})
	return s
}

// ratedTicket returns a ticket for an adapter that must be refused if the adapter would have to be loaded from the weight store.
func ratedTicket(now time.Time, id uint64, adapter string) Ticket {
	return Ticket{ID: id, Ref: resource.Ref{Adapter: adapter, Version: "1"}, Arrived: now, StartBy: now.Add(time.Second), Accept: time.Minute, Near: true}
}

// refusedBy returns the result code of the first Refuse in actions, or zero if there is none.
func refusedBy(actions []Action) result.Code {
	for _, a := range actions {
		if r, ok := a.(Refuse); ok {
			return r.Err.Code
		}
	}
	return 0
}

// TestOwnerKeepsToTheRate checks that a rate of 2 requests per second admits about 40 requests in 20 seconds.
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

// TestAdaptersAreBroughtToEnginesInNeedLast checks which requests an engine with a rate limit admits if their adapter has to be loaded
// from the weight store. It offers to start the request (TryNext with an expected wait) if no other engine can start it, or if the rate is
// unused. It queues the request if this engine is the caller's last.
func TestAdaptersAreBroughtToEnginesInNeedLast(t *testing.T) {
	c := qt.New(t)
	s := ratedState(1)
	now := rateBase.Add(1500 * time.Millisecond)
	c.Check(refusedBy(s.Submit(now, ratedTicket(now, 1, "other"))), qt.Equals, result.RateLimited,
		qt.Commentf("one request is free, but it is reserved for requests whose adapter is loaded"))
	pressed := ratedTicket(now, 2, "other")
	pressed.Pressed = true
	c.Check(refusedBy(s.Submit(now, pressed)), qt.Equals, result.TryNext, qt.Commentf("no other engine can start it: an offer"))
	now = now.Add(10 * time.Second)
	c.Check(refusedBy(s.Submit(now, ratedTicket(now, 3, "other"))), qt.Equals, result.TryNext,
		qt.Commentf("the rate is unused: an offer"))
	last := ratedTicket(now, 4, "other")
	last.Last, last.Near, last.Accept = true, false, 0
	c.Check(refusedBy(s.Submit(now, last)), qt.Equals, result.Code(0))
}

// TestWhatDoesNotStartGivesItsPartBack checks that canceled and expired tickets no longer count against the rate limit.
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

// TestEngineThatStartsAgainHasNamedNoRate checks that the rate limit ends when the engine restarts.
func TestEngineThatStartsAgainHasNamedNoRate(t *testing.T) {
	c := qt.New(t)
	s := ratedState(0.1)
	c.Assert(refusedBy(s.Submit(rateBase, ratedTicket(rateBase, 1, "held"))), qt.Equals, result.RateLimited)
	s.Restarted(rateBase)
	s.Adopt([]resource.Ref{{Adapter: "held", Version: "1"}}, false)
	c.Check(refusedBy(s.Submit(rateBase, ratedTicket(rateBase, 2, "held"))), qt.Equals, result.Code(0))
}

// TestOwnerWithoutAuthorityUsesAPart checks that an owner without authority uses only a share of the engine's rate limit, because
// another owner may use the limit at the same time.
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
	c.Check(started >= 14 && started <= 18, qt.IsTrue, qt.Commentf("%d started, the full rate allows 40", started))
}
