package owner

import (
	"time"

	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

func (s *State) refuseBackedOff(now time.Time, t Ticket) {
	f := s.failures[t.Ref]
	err := result.New(result.LoadFailed, "%s failed to load %d times", t.Ref, f.count)
	err.RetryAfter = f.until.Sub(now)
	s.refuse(t, err)
}

// isBackedOff reports whether ref is in backoff after a failed load. If all slots are used, an uncertain load is not repeated during the
// backoff either.
func (s *State) isBackedOff(now time.Time, ref resource.Ref) bool {
	return now.Before(s.failures[ref].until) && (s.slots[ref] == nil || s.hasUncertainSlot(ref))
}

// backOff starts or extends the backoff of ref and refuses the tickets that wait for it.
func (s *State) backOff(now time.Time, ref resource.Ref) {
	f := s.failures[ref]
	f.count++
	f.until = now.Add(min(maxBackoff, defaultBackoff<<min(f.count-1, 10)))
	s.failures[ref] = f
	s.retainWaiting(func(t Ticket) bool {
		if t.Ref == ref {
			s.refuseBackedOff(now, t)
		}
		return t.Ref != ref
	})
}
