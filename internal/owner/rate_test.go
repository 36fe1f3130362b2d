package owner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// testStart is the start time of the tests.
var testStart = time.Unix(1_800_000_000, 0)

// stateWithRate returns the state of an engine that has one loaded adapter and a rate limit.
func stateWithRate(rate float64) *State {
	s := New(Config{Slots: 4, Batch: 8, MaxQueue: 16, FinishesFirst: true})
	s.Adopt([]resource.Ref{{Adapter: "held", Version: "1"}}, false)
	s.UpdateRate(testStart, &ratelimit.Report{Limited: true, Rate: rate})
	return s
}

// localTicket returns a ticket that is refused if its adapter would have to be loaded from the weight store.
func localTicket(now time.Time, id uint64, adapter string) Ticket {
	return Ticket{
		ID: id, Ref: resource.Ref{Adapter: adapter, Version: "1"}, Arrived: now, StartBy: now.Add(time.Second),
		MaxWait: time.Minute, LocalOnly: true,
	}
}

// refusalCode returns the result code of the first Refuse in actions, or zero if there is none.
func refusalCode(actions []Action) result.Code {
	for _, a := range actions {
		if r, ok := a.(Refuse); ok {
			return r.Err.Code
		}
	}
	return 0
}

// TestRateLimitIsEnforced checks that a rate of 2 requests per second admits about 40 requests in 20 seconds.
func TestRateLimitIsEnforced(t *testing.T) {
	c := qt.New(t)
	s := stateWithRate(2)
	started := 0
	id := uint64(0)
	for now := testStart; now.Before(testStart.Add(20 * time.Second)); now = now.Add(50 * time.Millisecond) {
		id++
		actions := s.Submit(now, localTicket(now, id, "held"))
		if refusalCode(actions) == 0 {
			started++
			s.FinishTicket(now, id, EndWhole)
			continue
		}
		c.Check(refusalCode(actions), qt.Equals, result.RateLimited)
	}
	c.Check(started >= 38 && started <= 43, qt.IsTrue, qt.Commentf("%d requests started", started))
}

// TestRateLimitRestrictsStoreLoads checks which requests an engine with a rate limit admits if their adapter has to be loaded
// from the weight store. The engine offers to start the request (TryNext with an expected wait) if no other engine can start it,
// or if the rate is unused. The engine queues the request if the caller tries no other engine after it.
func TestRateLimitRestrictsStoreLoads(t *testing.T) {
	c := qt.New(t)
	s := stateWithRate(1)
	now := testStart.Add(1500 * time.Millisecond)
	c.Check(refusalCode(s.Submit(now, localTicket(now, 1, "other"))), qt.Equals, result.RateLimited,
		qt.Commentf("one request is free, but it is reserved for requests whose adapter is loaded"))
	othersTooSlow := localTicket(now, 2, "other")
	othersTooSlow.OthersTooSlow = true
	c.Check(refusalCode(s.Submit(now, othersTooSlow)), qt.Equals, result.TryNext,
		qt.Commentf("offered because no other engine can start the request"))
	now = now.Add(10 * time.Second)
	c.Check(refusalCode(s.Submit(now, localTicket(now, 3, "other"))), qt.Equals, result.TryNext,
		qt.Commentf("offered because the rate is unused"))
	last := localTicket(now, 4, "other")
	last.Last, last.LocalOnly, last.MaxWait = true, false, 0
	c.Check(refusalCode(s.Submit(now, last)), qt.Equals, result.Code(0))
}

// TestUnstartedTicketsDoNotCountAgainstRate checks that canceled and expired tickets no longer count against the rate limit.
func TestUnstartedTicketsDoNotCountAgainstRate(t *testing.T) {
	c := qt.New(t)
	s := stateWithRate(0.5)
	now := testStart.Add(2 * time.Second)
	queued := localTicket(now, 1, "other")
	queued.Last, queued.LocalOnly, queued.MaxWait = true, false, 0
	c.Assert(refusalCode(s.Submit(now, queued)), qt.Equals, result.Code(0))
	c.Check(refusalCode(s.Submit(now, localTicket(now, 2, "held"))), qt.Equals, result.RateLimited)
	s.Cancel(now, 1)
	c.Check(refusalCode(s.Submit(now, localTicket(now, 3, "held"))), qt.Equals, result.Code(0))
	s.FinishTicket(now, 3, EndWhole)
	now = now.Add(2 * time.Second)
	queued.ID, queued.Arrived, queued.StartBy = 4, now, now.Add(100*time.Millisecond)
	c.Assert(refusalCode(s.Submit(now, queued)), qt.Equals, result.Code(0))
	now = now.Add(200 * time.Millisecond)
	c.Assert(refusalCode(s.Tick(now)), qt.Equals, result.DeadlineUnmet)
	c.Check(refusalCode(s.Submit(now, localTicket(now, 5, "held"))), qt.Equals, result.Code(0))
}

// TestRestartRemovesRateLimit checks that the rate limit ends when the engine restarts.
func TestRestartRemovesRateLimit(t *testing.T) {
	c := qt.New(t)
	s := stateWithRate(0.1)
	c.Assert(refusalCode(s.Submit(testStart, localTicket(testStart, 1, "held"))), qt.Equals, result.RateLimited)
	s.ResetAfterRestart(testStart)
	s.Adopt([]resource.Ref{{Adapter: "held", Version: "1"}}, false)
	c.Check(refusalCode(s.Submit(testStart, localTicket(testStart, 2, "held"))), qt.Equals, result.Code(0))
}

// TestOwnerWithoutAuthorityUsesShareOfRate checks that an owner without authority uses only a share of the engine's rate limit,
// because another owner may use the limit at the same time.
func TestOwnerWithoutAuthorityUsesShareOfRate(t *testing.T) {
	c := qt.New(t)
	s := stateWithRate(2)
	started := 0
	for i := range uint64(400) {
		now := testStart.Add(time.Duration(i) * 50 * time.Millisecond)
		t := localTicket(now, i, "held")
		t.SharedRate = true
		if refusalCode(s.Submit(now, t)) == 0 {
			started++
			s.FinishTicket(now, i, EndWhole)
		}
	}
	c.Check(started >= 14 && started <= 18, qt.IsTrue, qt.Commentf("%d requests started, the full rate allows 40", started))
}
