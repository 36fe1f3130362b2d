package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/bellgap/bellgap/internal/result"
)

// Submit starts, queues or refuses a ticket.
func (s *State) Submit(now time.Time, t Ticket) []Action {
	s.rate.Hear(now, t.Rate)
	if s.stopped || s.closed {
		s.touch(now, t.Ref)
		s.refuseClosed(t)
		return s.flush(now)
	}
	if err := s.overRate(now, t); err != nil {
		s.refuse(t, err)
		return s.flush(now)
	}
	s.touch(now, t.Ref)
	switch {
	case !t.Last && (s.tooSlow(now, t) || s.crowded(now, t)):
		s.sendOn(now, t)
	case len(s.waiting) >= s.cfg.MaxQueue:
		s.refuseWorst(now, t)
	case s.failing(now, t.Ref):
		s.refuseFailing(now, t)
	default:
		s.enqueue(now, t)
	}
	return s.flush(now)
}

// refuseClosed refuses a ticket because the engine accepts no tickets.
func (s *State) refuseClosed(t Ticket) {
	if s.stopped {
		s.refuse(t, result.New(result.NotOwner, "the engine is being handed over"))
		return
	}
	s.refuse(t, result.New(result.TryNext, "the engine's box is leaving"))
}

// crowded reports whether the caller should try its next engine. This is so if no slot can be freed for the ticket's adapter, or if the
// batch is full and too many tickets wait ahead of the ticket.
func (s *State) crowded(now time.Time, t Ticket) bool {
	if !t.Ref.IsBase() && s.slots[t.Ref] == nil && s.wanted[t.Ref] == 0 && len(s.slots) >= s.cfg.Slots && s.victim(now) == nil {
		return true
	}
	if len(s.running) < s.cfg.Batch {
		return false
	}
	before := 0
	for _, w := range s.waiting {
		if w.Urgency < t.Urgency {
			break
		}
		before++
	}
	return before >= s.cfg.Batch/crowdedShare
}

func (s *State) refuse(t Ticket, err *result.Error) {
	s.unrate(t)
	s.emit(Refuse{Ticket: t, Err: err})
}

// refuseWorst handles a full queue. It refuses the last waiting ticket if t is more urgent, or else t.
func (s *State) refuseWorst(now time.Time, t Ticket) {
	worst := len(s.waiting) - 1
	if worst >= 0 && s.waiting[worst].Urgency < t.Urgency {
		out := s.waiting[worst]
		s.keep(func(w Ticket) bool { return w.ID != out.ID })
		s.refuse(out, result.New(result.QueueFull, "displaced by a more urgent request"))
		s.enqueue(now, t)
		return
	}
	s.refuse(t, result.New(result.QueueFull, "%d requests are already waiting", len(s.waiting)))
}

// keep removes the waiting tickets for which ok returns false.
func (s *State) keep(ok func(Ticket) bool) {
	s.waiting = slices.DeleteFunc(s.waiting, func(t Ticket) bool {
		if ok(t) {
			return false
		}
		if s.wanted[t.Ref]--; s.wanted[t.Ref] == 0 {
			delete(s.wanted, t.Ref)
		}
		return true
	})
}

// enqueue adds t to the waiting tickets, which are ordered by urgency, then by latest useful start, then by arrival.
func (s *State) enqueue(now time.Time, t Ticket) {
	t.rated = s.rate.Limited()
	s.rate.Use(now, t.Customer)
	at, _ := slices.BinarySearchFunc(s.waiting, t, compareTickets)
	s.waiting = slices.Insert(s.waiting, at, t)
	s.wanted[t.Ref]++
}

func compareTickets(a, b Ticket) int {
	return cmp.Or(
		cmp.Compare(b.Urgency, a.Urgency), a.StartBy.Compare(b.StartBy), a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID),
	)
}
