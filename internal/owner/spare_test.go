package owner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// TestSpareTicketTakesOnlyFreeRoom guards against spare tickets that take the room of others, and against refusals while there is room.
func TestSpareTicketTakesOnlyFreeRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	ticket := func(id uint64, adapter int) owner.Ticket {
		return owner.Ticket{ID: id, Ref: ref(adapter), Arrived: now, StartBy: now.Add(time.Minute), Last: true, Prompt: 10}
	}
	for _, test := range []struct {
		name    string
		before  []owner.Ticket
		adapter int
		maxWait time.Duration
		// started and loading are what is to happen to the spare ticket; otherwise it is refused.
		started, loading bool
	}{
		{name: "adapter loaded, engine idle", adapter: 1, started: true},
		{name: "a slot is free", adapter: 2, loading: true},
		{name: "the batch is full", before: []owner.Ticket{ticket(1, 1), ticket(2, 1)}, adapter: 1},
		{name: "another ticket waits for a load", before: []owner.Ticket{ticket(1, 3)}, adapter: 1},
		{name: "all slots are in use", before: []owner.Ticket{ticket(1, 1), ticket(2, 3)}, adapter: 2},
		{name: "the first token would be late", adapter: 1, maxWait: 9 * time.Millisecond},
		{name: "the first token would be in time", adapter: 1, maxWait: 10 * time.Millisecond, started: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := owner.New(owner.Config{Slots: 2, Batch: 2, MaxQueue: 100, PrefillRate: 1000})
			s.Adopt([]resource.Ref{ref(1)}, false)
			for _, b := range test.before {
				s.Submit(now, b)
			}
			spare := ticket(9, test.adapter)
			spare.Spare, spare.MaxWait, spare.Urgency = true, test.maxWait, 50
			actions := s.Submit(now, spare)
			c.Check(actionsOf[owner.Start](actions), qt.HasLen, lengthIf(test.started))
			c.Check(actionsOf[owner.RequestPermit](actions), qt.HasLen, lengthIf(test.loading))
			for _, p := range actionsOf[owner.RequestPermit](actions) {
				c.Check(p.Urgency, qt.Equals, 0)
			}
			refused := actionsOf[owner.Refuse](actions)
			c.Assert(refused, qt.HasLen, lengthIf(!test.started && !test.loading))
			for _, r := range refused {
				c.Check(r.Err.Code, qt.Equals, result.TryNext)
			}
		})
	}
}

func lengthIf(isExpected bool) int {
	if isExpected {
		return 1
	}
	return 0
}

// TestSpareTicketYields guards against a spare ticket whose load has not started yet and that takes the slot of a ticket that arrives later.
func TestSpareTicketYields(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := owner.New(owner.Config{Slots: 1, Batch: 2, MaxQueue: 100})
	s.Submit(now, owner.Ticket{ID: 1, Ref: ref(1), Urgency: 50, Arrived: now, StartBy: now.Add(time.Minute), Spare: true})
	actions := s.Submit(now, owner.Ticket{ID: 2, Ref: ref(2), Arrived: now, StartBy: now.Add(time.Minute), Last: true})
	refused := actionsOf[owner.Refuse](actions)
	c.Assert(refused, qt.HasLen, 1)
	c.Check(refused[0].Ticket.ID, qt.Equals, uint64(1))
	loads := actionsOf[owner.Load](s.PermitGranted(now, ref(1)))
	c.Assert(loads, qt.HasLen, 1)
	c.Check(loads[0].Ref, qt.Equals, ref(2))
}
