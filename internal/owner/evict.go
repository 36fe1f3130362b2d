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
	var worst *slot
	worstRate := math.Inf(1)
	for _, sl := range s.slots {
		if !s.evictable(now, sl) {
			continue
		}
		r := s.worth(now, sl.ref)
		if r < worstRate || (r == worstRate && sl.ref.String() < worst.ref.String()) {
			worst, worstRate = sl, r
		}
	}
	return worst
}

// evictable reports whether the adapter is loaded and may be unloaded now. An adapter may not be unloaded while tickets run on it or
// wait for it, while a broken-off run may continue, or while a previous owner may have runs on it.
func (s *State) evictable(now time.Time, sl *slot) bool {
	return sl.phase == loaded && s.uses[sl.ref] == 0 && !sl.foreign && !now.Before(s.lingers[sl.ref]) && !s.awaited(sl.ref)
}

// worth returns the value of keeping an adapter loaded. The adapter with the lowest value is unloaded first.
func (s *State) worth(now time.Time, ref resource.Ref) float64 {
	if s.cfg.Worth != nil {
		return s.cfg.Worth(ref, now)
	}
	if !s.cfg.Policy.On(policy.UseRate) {
		return -float64(now.Sub(s.rates[ref].at))
	}
	return s.rateAt(now, ref)
}

// awaited reports whether any ticket waits for ref.
func (s *State) awaited(ref resource.Ref) bool {
	return s.wanted[ref] > 0
}

// touch adds one use to the decaying use rate of ref.
func (s *State) touch(now time.Time, ref resource.Ref) {
	if len(s.rates) >= maxRememberedRates {
		s.forgetRates(now)
	}
	s.rates[ref] = rate{value: s.rateAt(now, ref) + 1, at: now}
}

func (s *State) rateAt(now time.Time, ref resource.Ref) float64 {
	r := s.rates[ref]
	return r.value * math.Exp2(-float64(now.Sub(r.at))/float64(s.cfg.HalfLife))
}

// forgetRates deletes the use rates that have decayed to almost nothing. If too many remain, it deletes all.
func (s *State) forgetRates(now time.Time) {
	const negligible = 0.5
	for ref := range s.rates {
		if s.rateAt(now, ref) < negligible {
			delete(s.rates, ref)
		}
	}
	if len(s.rates) >= maxRememberedRates {
		clear(s.rates)
	}
}
