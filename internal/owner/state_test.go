package owner_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

func ref(i int) resource.Ref { return resource.Ref{Adapter: fmt.Sprintf("a%d", i), Version: "1"} }

// TestRefusals checks the result code for each reason to refuse a ticket.
func TestRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	later := now.Add(time.Minute)
	for _, tt := range []struct {
		name  string
		setUp func(*owner.State) []owner.Action
		want  result.Code
	}{
		{"latest start has passed", func(s *owner.State) []owner.Action {
			return s.Submit(now, owner.Ticket{ID: 1, Ref: ref(1), Arrived: now, StartBy: now})
		}, result.DeadlineUnmet},
		{"engine is being handed over", func(s *owner.State) []owner.Action {
			s.Stop(now)
			return s.Submit(now, owner.Ticket{ID: 1, Ref: ref(1), Arrived: now, StartBy: later})
		}, result.NotOwner},
		{"the box is leaving", func(s *owner.State) []owner.Action {
			s.SetClosed(now, true)
			return s.Submit(now, owner.Ticket{ID: 1, Ref: ref(1), Arrived: now, StartBy: later})
		}, result.TryNext},
		{"the load failed", func(s *owner.State) []owner.Action {
			s.Submit(now, owner.Ticket{ID: 1, Ref: ref(1), Arrived: now, StartBy: later})
			s.PermitGranted(now, ref(1))
			return s.FinishLoad(now, ref(1), errors.New("broken"))
		}, result.LoadFailed},
		{"no slot can be freed", func(s *owner.State) []owner.Action {
			s.Adopt([]resource.Ref{ref(2)}, true)
			return s.Submit(now, owner.Ticket{ID: 1, Ref: ref(1), Arrived: now, StartBy: later})
		}, result.TryNext},
		{"the queue is full", func(s *owner.State) []owner.Action {
			s.Submit(now, owner.Ticket{ID: 1, Ref: ref(1), Arrived: now, StartBy: later, Last: true})
			return s.Submit(now, owner.Ticket{ID: 2, Ref: ref(2), Arrived: now, StartBy: later, Last: true})
		}, result.QueueFull},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			actions := tt.setUp(owner.New(owner.Config{Slots: 1, Batch: 1, MaxQueue: 1}))
			var got []result.Code
			for _, a := range actions {
				if r, ok := a.(owner.Refuse); ok {
					got = append(got, r.Err.Code)
				}
			}
			c.Check(got, qt.DeepEquals, []result.Code{tt.want})
		})
	}
}

// TestUrgentTicketStartsFirst checks that an urgent ticket displaces a ticket of urgency 0 from a full queue and starts before
// the others.
func TestUrgentTicketStartsFirst(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := owner.New(owner.Config{Slots: 1, Batch: 1, MaxQueue: 2})
	s.Adopt([]resource.Ref{ref(1)}, false)
	submit := func(id uint64, urgency int) []owner.Action {
		return s.Submit(now, owner.Ticket{ID: id, Ref: ref(1), Urgency: urgency, Arrived: now, StartBy: now.Add(time.Hour), Last: true})
	}
	submit(1, 0)
	submit(2, 0)
	submit(3, 0)
	actions := submit(4, 50)
	refused, ok := actions[0].(owner.Refuse)
	c.Assert(ok, qt.IsTrue)
	c.Check(refused.Ticket.ID, qt.Equals, uint64(3))
	actions = s.FinishTicket(now, 1, owner.EndWhole)
	started, ok := actions[0].(owner.Start)
	c.Assert(ok, qt.IsTrue)
	c.Check(started.Ticket.ID, qt.Equals, uint64(4))
}

// newDiscoveredState returns the state of a discovered engine that has reported no loaded adapters.
func newDiscoveredState(slots int) *owner.State {
	s := owner.New(owner.Config{
		Slots: slots, Batch: 4, MaxQueue: 16, FinishesFirst: true, AwaitReport: true, PrefillRate: 1000, KVTokens: 1000,
	})
	s.Adopt(nil, false)
	return s
}

// actionsOf returns the actions of type T.
func actionsOf[T owner.Action](actions []owner.Action) []T {
	var out []T
	for _, a := range actions {
		if t, ok := a.(T); ok {
			out = append(out, t)
		}
	}
	return out
}
