package owner

import (
	"time"

	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// schedule starts the tickets that can start, refuses the tickets that have not started in time, and requests the needed permits.
// It returns all pending actions.
func (s *State) schedule(now time.Time) []Action {
	// A ticket that is held back for running streams holds back those behind it, so that small prompts do not overtake a large one
	// without end.
	held := false
	lingerUntil, allLinger := s.allLingerUntil(now)
	s.retainWaiting(func(t Ticket) bool {
		if t.Spare {
			return true
		}
		ready := s.hasRoom(now, t) && s.IsLoaded(t.Ref) && !s.isDelayedForPacking(now, t)
		held = held || (ready && !s.hasGapRoom(now, t))
		switch {
		case ready && !held:
			s.start(now, t)
		case !s.IsLoaded(t.Ref) && s.isSuperseded(t.Ref):
			s.refuseSuperseded(t)
		case !now.Before(t.StartBy):
			s.refuse(t, result.New(result.DeadlineUnmet, "not started after %s", now.Sub(t.Arrived).Round(time.Millisecond)))
		case s.cannotLoadInTime(now, t):
			s.refuseBeforeLoad(now, t)
		case allLinger && s.needsSlot(now, t.Ref) && lingerUntil.Add(s.newLoadTime(now, t.Ref)).After(t.StartBy):
			err := result.New(result.TryNext, "broken-off runs may continue on all adapters for %s", lingerUntil.Sub(now).Round(time.Millisecond))
			err.RetryAfter = lingerUntil.Sub(now)
			s.refuse(t, err)
		default:
			return true
		}
		return false
	})
	s.scheduleSpare(now)
	s.requestPermits(now)
	actions := s.actions
	s.actions = nil
	return actions
}

// isDelayedForPacking reports whether a ticket of urgency 0 is delayed until urgent tickets run.
func (s *State) isDelayedForPacking(now time.Time, t Ticket) bool {
	return s.cfg.Pack && t.Urgency == 0 && s.urgentRunning == 0 &&
		now.Sub(t.Arrived) < maxPackDelay && now.Before(t.StartBy.Add(-maxPackDelay))
}

func (s *State) start(now time.Time, t Ticket) {
	sl := s.slots[t.Ref]
	stalled := time.Duration(0)
	if sl != nil {
		s.uses[sl.ref]++
		stalled = max(0, sl.loadedAt.Sub(t.Arrived))
	}
	tokens := t.Prompt + t.Output
	s.runningTokens += tokens
	s.running[t.ID] = runningTicket{slot: sl, urgency: t.Urgency, tokens: tokens, startedAt: now, concurrency: len(s.running) + 1}
	s.prefill.add(now, t)
	s.gaps.start(t, s.prefill.unprocessed(now))
	if t.Urgency > 0 {
		s.urgentRunning++
	}
	// Stalled is the part of the wait before the adapter was loaded.
	s.emit(Start{Ticket: t, Stalled: stalled})
}

// requestPermits requests a permit once for each missing adapter, and again if the adapter has become more urgent.
func (s *State) requestPermits(now time.Time) {
	if s.stopped || s.awaitingReport || len(s.waiting) == 0 || (len(s.slots) >= s.cfg.Slots && s.victim(now) == nil) {
		return
	}
	limit := s.permitLimit()
	for _, t := range s.waiting {
		requested, ok := s.permitRequests[t.Ref]
		if (ok && requested >= permitUrgency(t)) || !s.isMissing(now, t.Ref) {
			continue
		}
		if len(s.permitRequests) >= limit && !ok && !s.exceedsPendingRequests(permitUrgency(t)) {
			return
		}
		s.permitRequests[t.Ref] = permitUrgency(t)
		s.emit(RequestPermit{Ref: t.Ref, Urgency: permitUrgency(t), StartBy: t.StartBy, Waiters: s.waiters[t.Ref]})
	}
}

// exceedsPendingRequests reports whether a permit may be requested beyond the limit, because all pending requests are less urgent and may be
// granted late. The pace must allow a load now: otherwise the permit would be returned and requested again without end.
func (s *State) exceedsPendingRequests(urgency int) bool {
	if s.pace == nil || s.isPaceReached() || len(s.permitRequests) >= maxPermitRequests {
		return false
	}
	for _, pending := range s.permitRequests {
		if pending >= urgency {
			return false
		}
	}
	return true
}

// mostUrgentMissing returns the most urgent waiting ticket whose adapter is missing and can be loaded in time.
func (s *State) mostUrgentMissing(now time.Time) (Ticket, bool) {
	for _, t := range s.waiting {
		if s.isMissing(now, t.Ref) && !s.cannotLoadInTime(now, t) {
			return t, true
		}
	}
	return Ticket{}, false
}

// isMissing reports whether ref is neither loaded nor being loaded and may be loaded now.
func (s *State) isMissing(now time.Time, ref resource.Ref) bool {
	sl := s.slots[ref]
	return !ref.IsBase() && (sl == nil || sl.phase == uncertain) && !s.isBackedOff(now, ref) && !s.isNextLoad(ref) &&
		!s.isBlockedByOtherVersion(ref)
}

// needsSlot reports whether ref has no slot and gets none before one is free.
func (s *State) needsSlot(now time.Time, ref resource.Ref) bool {
	return s.slots[ref] == nil && s.isMissing(now, ref)
}

// isNextLoad reports whether ref will be loaded when the unload of another adapter ends.
func (s *State) isNextLoad(ref resource.Ref) bool {
	for _, sl := range s.slots {
		if sl.nextLoad != nil && sl.nextLoad.Ref == ref {
			return true
		}
	}
	return false
}
