package owner

import (
	"errors"
	"time"

	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/resource"
)

// Granted takes the permit asked for ref and uses it for the load that is most urgent now.
func (s *State) Granted(now time.Time, ref resource.Ref) []Action {
	delete(s.asked, ref)
	t, ok := s.mostUrgentMissing(now)
	if !ok || s.stopped {
		s.emit(ReturnPermit{})
		return s.flush(now)
	}
	load := Load{Ref: t.Ref, Weights: t.Weights}
	if len(s.slots) < s.cfg.Slots {
		s.beginLoad(now, load)
		return s.flush(now)
	}
	victim := s.victimFor(now, t.Ref)
	if victim == nil {
		s.emit(ReturnPermit{})
		return s.flush(now)
	}
	victim.phase, victim.next = unloading, &load
	s.emit(Unload{Ref: victim.ref})
	return s.flush(now)
}

// victimFor returns the adapter that makes way for ref: an idle former version of it, else the least useful one.
func (s *State) victimFor(now time.Time, ref resource.Ref) *slot {
	if now.Before(s.unloadFrom) {
		return nil
	}
	for _, sl := range s.formerVersions(ref) {
		if s.evictable(now, sl) {
			return sl
		}
	}
	return s.victim(now)
}

// formerVersions returns the loaded versions of an adapter that a load of ref replaces.
func (s *State) formerVersions(ref resource.Ref) []*slot {
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

// Denied says that no permit will come for ref; it may be asked for again.
func (s *State) Denied(now time.Time, ref resource.Ref) []Action {
	delete(s.asked, ref)
	return s.flush(now)
}

func (s *State) beginLoad(now time.Time, l Load) {
	s.slots[l.Ref] = &slot{ref: l.Ref, phase: loading, loadAt: now}
	s.emit(l)
}

// Unloaded ends an Unload; if it failed the adapter counts as loaded still.
func (s *State) Unloaded(now time.Time, ref resource.Ref, err error) []Action {
	sl := s.slots[ref]
	if sl == nil || sl.phase != unloading {
		return s.flush(now)
	}
	next := sl.next
	if err != nil && !notThere(err) {
		sl.phase, sl.next = loaded, nil
		s.unloadFrom = now.Add(unloadPause)
		s.emit(ReturnPermit{})
		return s.flush(now)
	}
	delete(s.slots, ref)
	if err == nil {
		s.lately.add(ref)
	}
	if s.stopped {
		s.emit(ReturnPermit{})
		return s.flush(now)
	}
	if next == nil {
		return s.flush(now)
	}
	if len(s.slots) >= s.cfg.Slots {
		// More was found to be loaded meanwhile: there is still no room.
		s.emit(ReturnPermit{})
		return s.flush(now)
	}
	s.beginLoad(now, *next)
	return s.flush(now)
}

// notThere reports whether an engine said that what an order is for is not there.
func notThere(err error) bool {
	var refused *engine.OrderRefusedError
	return errors.As(err, &refused) && refused.Type == engine.RefusalNotThere
}

// Loaded ends a Load. On failure the waiters are refused and the adapter backs off.
func (s *State) Loaded(now time.Time, ref resource.Ref, err error) []Action {
	sl := s.slots[ref]
	if sl == nil || sl.phase != loading {
		return s.flush(now)
	}
	if err != nil {
		s.endLoad(now, sl, err)
		s.fail(now, ref)
		return s.flush(now)
	}
	delete(s.failures, ref)
	sl.phase, sl.readyAt = loaded, now
	for _, former := range s.formerVersions(ref) {
		delete(s.slots, former.ref)
	}
	if took := now.Sub(sl.loadAt); !s.lately.has(ref) {
		expected := s.expectedLoadTime(now)
		s.loadTime, s.loadSeen = expected+time.Duration(loadTimeSmoothing*float64(took-expected)), now
	}
	s.lately.drop(ref)
	return s.flush(now)
}

// endLoad takes a load back that has failed. Unless the engine refused it, it may still be carried out, and the slot counts.
func (s *State) endLoad(now time.Time, sl *slot, err error) {
	var refused *engine.OrderRefusedError
	if s.cfg.FinishesFirst && !errors.As(err, &refused) && !errors.Is(err, errNoAuthority) {
		sl.phase, sl.doubtUntil = doubtful, now.Add(doubtTime)
		return
	}
	delete(s.slots, sl.ref)
}

// dropDoubts frees the slots of loads that can no longer be carried out.
func (s *State) dropDoubts(now time.Time) {
	for ref, sl := range s.slots {
		if sl.phase == doubtful && !now.Before(sl.doubtUntil) {
			delete(s.slots, ref)
		}
	}
}
