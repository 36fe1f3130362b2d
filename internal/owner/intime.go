package owner

import (
	"time"

	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/result"
)

// cannotLoadInTime reports whether the adapter of a waiting ticket of a scarce engine is missing and could not be loaded before the latest start
// even if its load started now. An adapter whose load got no answer may be loaded, and so may any adapter before the first report.
func (s *State) cannotLoadInTime(now time.Time, t Ticket) bool {
	if !s.cfg.Scarce || !s.cfg.Policy.IsEnabled(policy.InTimeStarts) || s.awaitingReport {
		return false
	}
	return s.slots[t.Ref] == nil && s.isMissing(now, t.Ref) && now.Add(s.newLoadTime(now, t.Ref)).After(t.StartBy)
}

// refuseBeforeLoad refuses a ticket whose adapter cannot be loaded in time.
func (s *State) refuseBeforeLoad(now time.Time, t Ticket) {
	s.returnRate(t)
	err := result.New(result.DeadlineUnmet, "a load takes %s, the latest start is in %s",
		s.newLoadTime(now, t.Ref).Round(time.Millisecond), t.StartBy.Sub(now).Round(time.Millisecond))
	s.emit(Refuse{Ticket: t, Err: err, BeforeLoad: true})
}
