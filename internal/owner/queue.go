package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/bellgap/bellgap/internal/result"
)

// Submit starts, queues or refuses a ticket.
func (s *State) Submit(now time.Time, t Ticket) []Action {
	s.UpdateRate(now, t.Rate)
	if s.stopped || s.closed {
		s.recordUse(now, t.Ref)
		s.refuseClosed(t)
		return s.schedule(now)
	}
	if err := s.checkRate(now, t); err != nil {
		s.refuse(t, err)
		return s.schedule(now)
	}
	s.recordUse(now, t.Ref)
	switch {
	case t.Spare && !s.hasSpareRoom(now, t):
		s.refuseSpare(t)
	case !t.Last && (s.isTooSlow(now, t) || s.isCrowded(now, t)):
		s.redirect(now, t)
	case len(s.waiting) >= s.cfg.MaxQueue:
		s.refuseLeastUrgent(now, t)
	case s.isBackedOff(now, t.Ref):
		s.refuseBackedOff(now, t)
	default:
		s.enqueue(now, t)
	}
	return s.schedule(now)
}

// refuseClosed refuses a ticket because the engine accepts no tickets.
func (s *State) refuseClosed(t Ticket) {
	if s.stopped {
		s.refuse(t, result.New(result.NotOwner, "the engine is being handed over"))
		return
	}
	s.refuse(t, result.New(result.TryNext, "the engine accepts no new requests now"))
}

// isCrowded reports whether the caller should try its next engine. This is so if no slot can be freed for the ticket's adapter,
// or if the batch is full and too many tickets wait ahead of the ticket.
func (s *State) isCrowded(now time.Time, t Ticket) bool {
	if !t.Ref.IsBase() && s.slots[t.Ref] == nil && s.waiters[t.Ref] == 0 && len(s.slots) >= s.cfg.Slots && s.victim(now) == nil {
		return true
	}
	if len(s.running) < s.batch() {
		return false
	}
	ahead := 0
	for _, w := range s.waiting {
		if !isAhead(w, t) {
			break
		}
		ahead++
	}
	return ahead >= s.batch()/crowdedDivisor
}

func (s *State) refuse(t Ticket, err *result.Error) {
	s.returnRate(t)
	s.emit(Refuse{Ticket: t, Err: err})
}

// refuseLeastUrgent handles a full queue. It refuses the last waiting ticket if t is more urgent, or else t.
func (s *State) refuseLeastUrgent(now time.Time, t Ticket) {
	last := len(s.waiting) - 1
	if last >= 0 && !isAhead(s.waiting[last], t) {
		displaced := s.waiting[last]
		s.retainWaiting(func(w Ticket) bool { return w.ID != displaced.ID })
		s.refuse(displaced, result.New(result.QueueFull, "displaced by a more urgent request"))
		s.enqueue(now, t)
		return
	}
	s.refuse(t, result.New(result.QueueFull, "%d requests are already waiting", len(s.waiting)))
}

// retainWaiting removes the waiting tickets for which retain returns false.
func (s *State) retainWaiting(retain func(Ticket) bool) {
	s.waiting = slices.DeleteFunc(s.waiting, func(t Ticket) bool {
		if retain(t) {
			return false
		}
		if s.waiters[t.Ref]--; s.waiters[t.Ref] == 0 {
			delete(s.waiters, t.Ref)
		}
		return true
	})
}

// enqueue adds t to the waiting tickets, which are ordered by urgency with spare tickets last, then by latest useful start, then by arrival.
func (s *State) enqueue(now time.Time, t Ticket) {
	t.countedInRate = s.rateLimiter.IsLimited()
	s.rateLimiter.Use(now, t.Customer)
	index, _ := slices.BinarySearchFunc(s.waiting, t, compareTickets)
	s.waiting = slices.Insert(s.waiting, index, t)
	s.waiters[t.Ref]++
}

func compareTickets(a, b Ticket) int {
	if a.Spare != b.Spare {
		if b.Spare {
			return -1
		}
		return 1
	}
	return cmp.Or(
		cmp.Compare(b.Urgency, a.Urgency), a.StartBy.Compare(b.StartBy), a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID),
	)
}
