package owner

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/loadpace"
	"github.com/bellgap/bellgap/internal/policy"
)

// The bounds of the concurrent loads of a scarce engine. Engines accept four loads at once.
const (
	minPacedLoads = 1
	maxPacedLoads = 4
)

// newPace returns the pace of the loads, or nil if they are not limited.
func newPace(cfg Config) *loadpace.Pace {
	if !cfg.Scarce || !cfg.Policy.IsEnabled(policy.LoadPacing) {
		return nil
	}
	return loadpace.New(loadpace.Config{Min: minPacedLoads, Max: maxPacedLoads})
}

// resetPace forgets the durations of loads, because the engine has restarted.
func (s *State) resetPace() {
	if s.pace != nil {
		s.pace.Reset()
	}
}

// recordPace adapts the pace to a load that has just ended. Its adapter no longer counts as loading.
func (s *State) recordPace(now time.Time, took time.Duration) {
	if s.pace != nil {
		s.pace.Record(now, loadpace.Sample{Took: took, Concurrent: s.loadsInFlight() + 1})
	}
}

// loadsInFlight returns the number of adapters that are loading or will be loaded when an unload ends.
func (s *State) loadsInFlight() int {
	n := 0
	for _, sl := range s.slots {
		if sl.phase == loading || sl.nextLoad != nil {
			n++
		}
	}
	return n
}

// permitLimit returns the maximum number of pending permit requests. Each of them becomes a load, and the pace limits the loads. Requests
// beyond the limit are possible for urgent adapters; a permit that the pace does not allow to use is returned.
func (s *State) permitLimit() int {
	if s.pace == nil {
		return maxPermitRequests
	}
	return s.pace.Limit() - s.loadsInFlight()
}

// isPaceReached reports whether the pace allows no further load now.
func (s *State) isPaceReached() bool { return s.pace != nil && s.loadsInFlight() >= s.pace.Limit() }

// paceWait returns the expected time until the pace allows the load of a ticket's adapter. The loads in flight and those of tickets ahead
// come first, and as many of them as the pace allows run at once.
func (s *State) paceWait(now time.Time, t Ticket) time.Duration {
	if s.pace == nil {
		return 0
	}
	limit, ahead := s.pace.Limit(), s.loadsInFlight()+s.missingAhead(now, t)
	if s.isNextLoad(t.Ref) {
		ahead--
	}
	turns := max(0, ahead+1-limit)
	return s.expectedLoadTime(now) * time.Duration(turns) / time.Duration(limit)
}

// LoadLimit returns the number of concurrent loads that the pace allows, or zero if they are not limited.
func (s *State) LoadLimit() int {
	if s.pace == nil {
		return 0
	}
	return s.pace.Limit()
}

// IgnoredDurations returns the number of loads whose duration was invalid.
func (s *State) IgnoredDurations() int64 {
	if s.pace == nil {
		return 0
	}
	return s.pace.Ignored()
}

// countIgnoredDurations counts the loads whose duration was invalid since its last call.
func (r *Runner) countIgnoredDurations() {
	total := r.state.IgnoredDurations()
	if n := total - r.ignoredDurations; n > 0 {
		r.cfg.Scope.Counter("load_durations_ignored").Inc(n)
		klog.InfoS("durations of loads ignored that are not positive or over a minute", "engine", r.cfg.Name, "loads", n)
	}
	r.ignoredDurations = total
}
