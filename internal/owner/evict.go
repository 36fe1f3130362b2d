package owner

import (
	"math"
	"time"

	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/resource"
)

// victim returns the evictable adapter with the lowest predicted use, or nil if there is none.
func (s *State) victim(now time.Time) *slot {
	if now.Before(s.unloadFrom) {
		return nil
	}
	var lowest *slot
	lowestValue := math.Inf(1)
	for _, sl := range s.slots {
		if !s.isEvictable(now, sl) {
			continue
		}
		value := s.keepValue(now, sl.ref)
		if value < lowestValue || (value == lowestValue && sl.ref.String() < lowest.ref.String()) {
			lowest, lowestValue = sl, value
		}
	}
	return lowest
}

// isEvictable reports whether the adapter is loaded and may be unloaded now. An adapter may not be unloaded while tickets run on
// it or wait for it, while a broken-off run may continue, or while a previous owner may have runs on it.
func (s *State) isEvictable(now time.Time, sl *slot) bool {
	return sl.phase == loaded && s.uses[sl.ref] == 0 && !sl.inherited && !now.Before(s.lingerUntil[sl.ref]) && !s.isAwaited(sl.ref)
}

// keepValue returns the value of keeping an adapter loaded. The adapter with the lowest value is unloaded first.
func (s *State) keepValue(now time.Time, ref resource.Ref) float64 {
	if s.cfg.Worth != nil {
		return s.cfg.Worth(ref, now)
	}
	if !s.cfg.Policy.IsEnabled(policy.UseRate) {
		return -float64(now.Sub(s.useRates[ref].updatedAt))
	}
	return s.currentUseRate(now, ref)
}

// isAwaited reports whether any ticket waits for ref.
func (s *State) isAwaited(ref resource.Ref) bool {
	return s.waiters[ref] > 0
}

// recordUse adds one use to the decaying use rate of ref.
func (s *State) recordUse(now time.Time, ref resource.Ref) {
	if len(s.useRates) >= maxUseRates {
		s.pruneUseRates(now)
	}
	s.useRates[ref] = useRate{count: s.currentUseRate(now, ref) + 1, updatedAt: now}
}

func (s *State) currentUseRate(now time.Time, ref resource.Ref) float64 {
	r := s.useRates[ref]
	return r.count * math.Exp2(-float64(now.Sub(r.updatedAt))/float64(s.cfg.HalfLife))
}

// pruneUseRates deletes the use rates that have decayed to almost nothing. If too many remain, it deletes all.
func (s *State) pruneUseRates(now time.Time) {
	const negligible = 0.5
	for ref := range s.useRates {
		if s.currentUseRate(now, ref) < negligible {
			delete(s.useRates, ref)
		}
	}
	if len(s.useRates) >= maxUseRates {
		clear(s.useRates)
	}
}
