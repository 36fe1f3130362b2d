package owner

import (
	"errors"
	"time"

	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/resource"
)

// PermitGranted handles the permit requested for ref. The permit is used for the most urgent load, which may be for another
// adapter.
func (s *State) PermitGranted(now time.Time, ref resource.Ref) []Action {
	delete(s.permitRequests, ref)
	t, ok := s.mostUrgentMissing(now)
	if !ok || s.stopped || s.isPaceReached() {
		s.emit(ReturnPermit{})
		return s.schedule(now)
	}
	load := Load{Ref: t.Ref, Weights: t.Weights}
	if len(s.slots) < s.cfg.Slots || s.hasUncertainSlot(t.Ref) {
		s.startLoad(now, load)
		return s.schedule(now)
	}
	victim := s.victimFor(now, t.Ref)
	if victim == nil {
		s.emit(ReturnPermit{})
		return s.schedule(now)
	}
	victim.phase, victim.nextLoad = unloading, &load
	s.emit(Unload{Ref: victim.ref})
	return s.schedule(now)
}

// victimFor returns the adapter to unload before ref is loaded. It prefers an evictable other version of the same adapter.
func (s *State) victimFor(now time.Time, ref resource.Ref) *slot {
	if now.Before(s.unloadFrom) {
		return nil
	}
	for _, sl := range s.replacedVersions(ref) {
		if s.isEvictable(now, sl) {
			return sl
		}
	}
	return s.victim(now)
}

// replacedVersions returns the loaded versions of an adapter that the engine replaces when it loads ref.
func (s *State) replacedVersions(ref resource.Ref) []*slot {
	if !s.cfg.FinishesFirst {
		return nil
	}
	var former []*slot
	for _, sl := range s.slots {
		if sl.ref.Adapter == ref.Adapter && sl.ref != ref && sl.phase == loaded {
			former = append(former, sl)
		}
	}
	return former
}

// PermitDenied handles the refusal of the permit requested for ref. A new permit may be requested at once.
func (s *State) PermitDenied(now time.Time, ref resource.Ref) []Action {
	delete(s.permitRequests, ref)
	return s.schedule(now)
}

func (s *State) startLoad(now time.Time, l Load) {
	former := s.slots[l.Ref]
	wasUncertain := s.usesAllSlots() && former != nil && (former.phase == uncertain || former.wasUncertain)
	s.slots[l.Ref] = &slot{ref: l.Ref, phase: loading, loadStarted: now, wasUncertain: wasUncertain}
	l.Repeated = wasUncertain
	s.emit(l)
}

// FinishUnload handles the result of an Unload. After a failure the adapter still counts as loaded, unless the engine reported
// that it does not have the adapter.
func (s *State) FinishUnload(now time.Time, ref resource.Ref, err error) []Action {
	sl := s.slots[ref]
	if sl == nil || sl.phase != unloading {
		return s.schedule(now)
	}
	next := sl.nextLoad
	if err != nil && !isNotFound(err) {
		sl.phase, sl.nextLoad = loaded, nil
		s.unloadFrom = now.Add(unloadPause)
		s.emit(ReturnPermit{})
		return s.schedule(now)
	}
	delete(s.slots, ref)
	if err == nil {
		s.recentlyUnloaded.add(ref)
	}
	if s.stopped {
		s.emit(ReturnPermit{})
		return s.schedule(now)
	}
	if next == nil {
		return s.schedule(now)
	}
	if existing := s.slots[next.Ref]; len(s.slots) >= s.cfg.Slots || (existing != nil && existing.phase != uncertain) || s.isSuperseded(next.Ref) {
		// Reports have shown more loaded adapters in the meantime, so there is still no free slot, or the adapter or a newer version of it is
		// already loaded.
		s.emit(ReturnPermit{})
		return s.schedule(now)
	}
	s.startLoad(now, *next)
	return s.schedule(now)
}

// isNotFound reports whether the order was refused because its target does not exist: the adapter is not on the
// engine, or another engine now has the address.
func isNotFound(err error) bool {
	var refused *engine.OrderRefusedError
	return errors.As(err, &refused) && refused.Type == engine.RefusalNotFound
}

// FinishLoad handles the result of a Load. After a failure the adapter enters backoff, and the tickets that wait for it are
// refused.
func (s *State) FinishLoad(now time.Time, ref resource.Ref, err error) []Action {
	sl := s.slots[ref]
	if sl == nil || sl.phase != loading {
		return s.schedule(now)
	}
	if err != nil {
		s.handleFailedLoad(now, sl, err)
		// A withheld load that repeats an uncertain one needs a backoff, too: it would be repeated at once while its slot exists.
		if sl.wasUncertain || !s.isWithheld(err) {
			s.backOff(now, ref)
		}
		return s.schedule(now)
	}
	delete(s.failures, ref)
	sl.phase, sl.loadedAt = loaded, now
	for _, former := range s.replacedVersions(ref) {
		delete(s.slots, former.ref)
	}
	if took := now.Sub(sl.loadStarted); !s.recentlyUnloaded.contains(ref) {
		expected := s.expectedLoadTime(now)
		s.meanLoadTime, s.lastLoadAt = expected+time.Duration(loadTimeSmoothing*float64(took-expected)), now
		s.recordPace(now, took)
	}
	s.recentlyUnloaded.remove(ref)
	return s.schedule(now)
}

// handleFailedLoad handles the slot of a failed load. If neither the engine nor this box refused the order, the engine may still
// carry it out, so the slot stays occupied for some time. The failure of a repeated load says nothing about the earlier one.
func (s *State) handleFailedLoad(now time.Time, sl *slot, err error) {
	if sl.wasUncertain {
		sl.phase, sl.uncertainUntil = uncertain, now.Add(uncertainLoadTime)
		return
	}
	var refused *engine.OrderRefusedError
	if s.cfg.FinishesFirst && !errors.As(err, &refused) && !errors.Is(err, errNoAuthority) && !isNotSent(err) {
		sl.phase, sl.uncertainUntil = uncertain, now.Add(uncertainLoadTime)
		return
	}
	delete(s.slots, sl.ref)
}

// expireUncertainLoads frees the slots of unanswered loads that the engine can no longer carry out.
func (s *State) expireUncertainLoads(now time.Time) {
	for ref, sl := range s.slots {
		if sl.phase == uncertain && !now.Before(sl.uncertainUntil) {
			delete(s.slots, ref)
			s.uncertainExpired = true
		}
	}
}
