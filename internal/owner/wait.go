package owner

import (
	"time"

	"github.com/bellgap/bellgap/internal/result"
)

// fullWait is added to the expected wait of a ticket that finds the engine's batch or cache full: about the time in which
// one of some tens of running requests ends.
const fullWait = 200 * time.Millisecond

// fits reports whether the engine has room to start a ticket. A ticket larger than the whole cache is left to the engine to refuse.
func (s *State) fits(t Ticket) bool {
	if len(s.running) >= s.cfg.Batch {
		return false
	}
	return s.cfg.KVTokens == 0 || s.tokens == 0 || s.tokens+t.Prompt+t.Output <= s.cfg.KVTokens
}

func (s *State) prefillTime(tokens int) time.Duration {
	if s.cfg.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / s.cfg.PrefillRate * float64(time.Second))
}

// addPrefill notes that the engine starts to read a ticket's prompt after those before it.
func (s *State) addPrefill(now time.Time, t Ticket) {
	if s.prefillFree.Before(now) {
		s.prefillFree = now
	}
	s.prefillFree = s.prefillFree.Add(s.prefillTime(t.Prompt))
}

// expectedWait returns how long a ticket would wait until the engine starts to read its prompt.
func (s *State) expectedWait(now time.Time, t Ticket) time.Duration {
	wait := max(0, s.prefillFree.Sub(now))
	ahead := 0
	for _, w := range s.waiting {
		if w.Urgency < t.Urgency {
			break
		}
		ahead += w.Prompt
	}
	wait += s.prefillTime(ahead)
	if !s.fits(t) {
		wait += fullWait
	}
	// The longer queue counts half again: work that is sent past it also slows those who are in it.
	return max(wait, s.loadWait(now, t)) + wait/2
}

// loadWait returns how long the adapter of a ticket takes to be there.
func (s *State) loadWait(now time.Time, t Ticket) time.Duration {
	if s.Holds(t.Ref) {
		return 0
	}
	if sl := s.slots[t.Ref]; sl != nil && sl.phase == loading {
		return max(0, s.loadTime-now.Sub(sl.loadAt))
	}
	if s.lately.has(t.Ref) {
		return s.loadTime / latelyFaster
	}
	return s.loadTime + freshCost
}

const (
	// freshCost is the wait that a load from the weight store is worth beside its own time: it takes a part of what the store
	// can bring to all engines.
	freshCost = 150 * time.Millisecond
	// latelyFaster is how much faster an engine loads an adapter that it held lately.
	latelyFaster = 10
	// latelyPerSlot is how many adapters an engine is taken to have at hand for each slot.
	latelyPerSlot = 5
)

// tooSlow reports whether a ticket had better go on to its next engine.
func (s *State) tooSlow(now time.Time, t Ticket) bool {
	return t.Accept > 0 && s.expectedWait(now, t) > t.Accept
}

// sendOn sends a ticket on and tells, if it named a wait, what was expected, so that the asker can come back to the shortest.
func (s *State) sendOn(now time.Time, t Ticket) {
	err := result.New(result.TryNext, "another engine can start it sooner")
	if t.Accept > 0 {
		err.RetryAfter = max(time.Millisecond, s.expectedWait(now, t))
	}
	s.refuse(t, err)
}
