package owner

import (
	"time"

	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// isAhead reports whether a waiting ticket starts before t. Spare tickets start after all others.
func isAhead(waiting, t Ticket) bool {
	if waiting.Spare != t.Spare {
		return t.Spare
	}
	return waiting.Urgency >= t.Urgency
}

// hasSpareRoom reports whether a spare ticket can start at once, or after the load of its adapter, without delaying any other ticket.
func (s *State) hasSpareRoom(now time.Time, t Ticket) bool {
	if s.hasUnrestrictedWaiting() || len(s.waiting) >= s.cfg.MaxQueue || !s.hasRoom(now, t) || !s.hasGapRoom(now, t) {
		return false
	}
	return s.canHoldSpare(now, t.Ref) && (t.MaxWait <= 0 || s.expectedWait(now, t) <= t.MaxWait)
}

// hasUnrestrictedWaiting reports whether any ticket that is not spare waits. Spare tickets are the last of the queue.
func (s *State) hasUnrestrictedWaiting() bool { return len(s.waiting) > 0 && !s.waiting[0].Spare }

// canHoldSpare reports whether the adapter of a spare ticket is loaded, is being loaded, or can get a slot that no waiting ticket needs.
func (s *State) canHoldSpare(now time.Time, ref resource.Ref) bool {
	if s.IsLoaded(ref) {
		return true
	}
	if s.awaitingReport || s.stopped || s.isBackedOff(now, ref) || s.isBlockedByOtherVersion(ref) {
		return false
	}
	if sl := s.slots[ref]; sl != nil {
		return sl.phase == loading
	}
	free := s.cfg.Slots - len(s.slots)
	if !now.Before(s.unloadFrom) {
		for _, sl := range s.slots {
			if s.isEvictable(now, sl) {
				free++
			}
		}
	}
	missing := map[resource.Ref]bool{ref: true}
	for _, w := range s.waiting {
		if s.isMissing(now, w.Ref) {
			missing[w.Ref] = true
		}
	}
	return len(missing) <= free
}

// scheduleSpare starts the waiting spare tickets that can start, and refuses those that other tickets now have to wait for. It is called after the
// other tickets have been scheduled.
func (s *State) scheduleSpare(now time.Time) {
	if len(s.waiting) == 0 || !s.waiting[len(s.waiting)-1].Spare {
		return
	}
	needRoom, needLoad := false, false
	for _, w := range s.waiting {
		needRoom = needRoom || (!w.Spare && s.IsLoaded(w.Ref))
		needLoad = needLoad || (!w.Spare && s.isMissing(now, w.Ref))
	}
	s.retainWaiting(func(t Ticket) bool {
		if !t.Spare {
			return true
		}
		isLoaded := s.IsLoaded(t.Ref)
		switch {
		case !needRoom && isLoaded && s.hasRoom(now, t) && s.hasGapRoom(now, t):
			s.start(now, t)
		case !isLoaded && s.isSuperseded(t.Ref):
			s.refuseSuperseded(t)
		case s.cannotLoadInTime(now, t):
			s.refuseBeforeLoad(now, t)
		case needRoom || isLoaded || (needLoad && s.isMissing(now, t.Ref)) || !now.Before(t.StartBy):
			s.refuseSpare(t)
		default:
			return true
		}
		return false
	})
}

func (s *State) refuseSpare(t Ticket) {
	s.refuse(t, result.New(result.TryNext, "the engine has no room that no other request needs"))
}

// permitUrgency returns the urgency of the load for a ticket. Loads for spare tickets come after those of other engines, as all share the weight store.
func permitUrgency(t Ticket) int {
	if t.Spare {
		return 0
	}
	return t.Urgency
}
