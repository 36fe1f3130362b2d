package owner

import (
	"time"

	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// flush starts the tickets that can start, refuses the tickets that have not started in time, and requests the needed permits. It
// returns all pending actions.
func (s *State) flush(now time.Time) []Action {
	s.keep(func(t Ticket) bool {
		switch {
		case s.fits(t) && s.Holds(t.Ref) && !s.held(now, t):
			s.start(now, t)
		case !now.Before(t.StartBy):
			s.refuse(t, result.New(result.DeadlineUnmet, "not started after %s", now.Sub(t.Arrived).Round(time.Millisecond)))
		default:
			return true
		}
		return false
	})
	s.askPermits(now)
	out := s.out
	s.out = nil
	return out
}

// held reports whether a ticket of urgency 0 is delayed until urgent tickets run.
func (s *State) held(now time.Time, t Ticket) bool {
	return s.cfg.Pack && t.Urgency == 0 && s.urgent == 0 && now.Sub(t.Arrived) < packHold && now.Before(t.StartBy.Add(-packHold))
}

func (s *State) start(now time.Time, t Ticket) {
	sl := s.slots[t.Ref]
	stalled := time.Duration(0)
	if sl != nil {
		s.uses[sl.ref]++
		stalled = max(0, sl.readyAt.Sub(t.Arrived))
	}
	tokens := t.Prompt + t.Output
	s.tokens += tokens
	s.running[t.ID] = started{slot: sl, urgency: t.Urgency, tokens: tokens, at: now}
	s.reading.begin(now, t)
	if t.Urgency > 0 {
		s.urgent++
	}
	// Stalled is the part of the wait before the adapter was loaded.
	s.emit(Start{Ticket: t, Stalled: stalled})
}

// askPermits requests a permit once for each missing adapter, and again if the adapter has become more urgent.
func (s *State) askPermits(now time.Time) {
	if s.stopped || s.blind || len(s.waiting) == 0 || (len(s.slots) >= s.cfg.Slots && s.victim(now) == nil) {
		return
	}
	for _, t := range s.waiting {
		asked, ok := s.asked[t.Ref]
		if (ok && asked >= t.Urgency) || !s.missing(now, t.Ref) {
			continue
		}
		if len(s.asked) >= maxAsked && !ok {
			return
		}
		s.asked[t.Ref] = t.Urgency
		s.emit(AskPermit{Ref: t.Ref, Urgency: t.Urgency, StartBy: t.StartBy, Waiters: s.wanted[t.Ref]})
	}
}

// mostUrgentMissing returns the most urgent waiting ticket whose adapter is missing.
func (s *State) mostUrgentMissing(now time.Time) (Ticket, bool) {
	for _, t := range s.waiting {
		if s.missing(now, t.Ref) {
			return t, true
		}
	}
	return Ticket{}, false
}

// missing reports whether ref is neither loaded nor being loaded and may be loaded now.
func (s *State) missing(now time.Time, ref resource.Ref) bool {
	sl := s.slots[ref]
	return !ref.IsBase() && (sl == nil || sl.phase == doubtful) && !s.failing(now, ref) && !s.onItsWay(ref)
}

// onItsWay reports whether ref will be loaded when the unload of another adapter ends.
func (s *State) onItsWay(ref resource.Ref) bool {
	for _, sl := range s.slots {
		if sl.next != nil && sl.next.Ref == ref {
			return true
		}
	}
	return false
}
