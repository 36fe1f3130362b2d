package owner

import (
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/resource"
)

// LoadOutcomes is implemented by clients that remember the loads whose orders got no answer.
type LoadOutcomes interface {
	// LoadOutcome returns what is known of a load of an adapter version by an engine.
	LoadOutcome(engine, model string) engine.LoadOutcome
}

// OrderTimeouts is implemented by clients that adapt the response timeout of orders to each engine whose slots are all used.
type OrderTimeouts interface {
	// OrderTimeout returns the current response timeout of the orders to such an engine.
	OrderTimeout(engine string) time.Duration
}

// usesAllSlots reports whether no slot is kept free for a load without an answer. Engines that do not finish runs first keep no uncertain
// slots, so that their unanswered loads could exceed the slots.
func (s *State) usesAllSlots() bool {
	return s.cfg.Scarce && s.cfg.FinishesFirst && s.cfg.Policy.IsEnabled(policy.AllSlots)
}

// hasUncertainSlot reports whether ref may be loaded again in the slot that its unanswered load occupies.
func (s *State) hasUncertainSlot(ref resource.Ref) bool {
	sl := s.slots[ref]
	return s.usesAllSlots() && sl != nil && sl.phase == uncertain
}

// isNotSent reports whether the order that failed with err was not sent, because the engine holds adapters that the owner does not track.
func isNotSent(err error) bool {
	var unknown *engine.UnknownAdaptersError
	return errors.As(err, &unknown) && !unknown.Unanswered
}

// isWithheld reports whether a load failed because the engine holds more adapters than the owner tracked. This says nothing about the
// adapter of the load, so it may be loaded again at once.
func (s *State) isWithheld(err error) bool {
	var unknown *engine.UnknownAdaptersError
	var refused *engine.OrderRefusedError
	return s.usesAllSlots() &&
		(errors.As(err, &unknown) || (errors.As(err, &refused) && refused.Type == engine.RefusalNoSlot))
}

// UncertainRefs returns the adapters whose load got no answer, in no particular order.
func (s *State) UncertainRefs() []resource.Ref {
	var refs []resource.Ref
	for ref, sl := range s.slots {
		if sl.phase == uncertain {
			refs = append(refs, ref)
		}
	}
	return refs
}

// TakeExpired reports whether the slot of an uncertain load has expired since the last call.
func (s *State) TakeExpired() bool {
	expired := s.uncertainExpired
	s.uncertainExpired = false
	return expired
}

// SlotsInUse returns the number of slots that are not free.
func (s *State) SlotsInUse() int { return len(s.slots) }

// AdoptUncertain records that the engine may hold refs. They occupy slots until their state is known. It returns the number of adapters
// that were not tracked.
func (s *State) AdoptUncertain(now time.Time, refs []resource.Ref) int {
	adopted := 0
	for _, ref := range refs {
		if s.slots[ref] == nil {
			s.slots[ref] = &slot{ref: ref, phase: uncertain, uncertainUntil: now.Add(uncertainLoadTime)}
			adopted++
		}
	}
	return adopted
}

// ResolveLoad applies the outcome of an uncertain load. A load that the engine reports as pending occupies its slot for as long as reports
// list it.
func (s *State) ResolveLoad(now time.Time, ref resource.Ref, outcome engine.LoadOutcome) {
	sl := s.slots[ref]
	if sl == nil || sl.phase != uncertain {
		return
	}
	switch outcome {
	case engine.OutcomeVoid:
		delete(s.slots, ref)
	case engine.OutcomeDone:
		sl.phase, sl.loadedAt = loaded, now
		delete(s.failures, ref)
		s.recentlyUnloaded.remove(ref)
	case engine.OutcomePending:
		sl.uncertainUntil = now.Add(uncertainLoadTime)
	case engine.OutcomeOpen:
	}
}

// TrackedNames returns the names of all adapters that occupy a slot.
func (s *State) TrackedNames() map[string]bool {
	names := make(map[string]bool, len(s.slots))
	for ref := range s.slots {
		names[ref.String()] = true
	}
	return names
}

// usesAllSlots reports whether no slot of the engine is kept free for a load without an answer.
func (r *Runner) usesAllSlots() bool { return r.state.usesAllSlots() }

// orderTimeout returns the response timeout of the engine's orders, or zero if it is not adapted.
func (r *Runner) orderTimeout() time.Duration {
	if client, ok := r.cfg.Client.(OrderTimeouts); ok && r.usesAllSlots() {
		return client.OrderTimeout(r.cfg.Name)
	}
	return 0
}

// checkClient logs an error if all slots are used although the client does not remember unanswered loads.
func (r *Runner) checkClient() {
	if _, ok := r.cfg.Client.(LoadOutcomes); !ok && r.usesAllSlots() {
		klog.ErrorS(nil, "owner: the client cannot tell the outcome of unanswered loads, so they occupy slots until they expire", "engine", r.cfg.Name)
	}
}

// publishTracked publishes the adapters that occupy slots, which the client compares with reports before it sends orders.
func (r *Runner) publishTracked() {
	if !r.usesAllSlots() {
		return
	}
	names := r.state.TrackedNames()
	r.tracked.Store(&names)
	r.uncertain.Store(int64(len(r.state.UncertainRefs())))
	if r.state.TakeExpired() {
		// An expired slot is free without proof, so the next order reads a report first. The tracked adapters were published before, since
		// the check compares the report with them.
		r.startSession()
	}
}

// startSession starts a new session. The client reads a report before the first order of a session.
func (r *Runner) startSession() { r.session.Store(max(1, rand.Uint64())) }

// addTracked adds to an order what the client needs to keep the orders within the slots.
func (r *Runner) addTracked(o *engine.Order) {
	if !r.usesAllSlots() {
		return
	}
	o.Session = r.session.Load()
	o.Tracked = func() map[string]bool {
		if names := r.tracked.Load(); names != nil {
			return *names
		}
		return map[string]bool{}
	}
}

// resolveUncertain asks the client for the outcome of the uncertain loads and applies it.
func (r *Runner) resolveUncertain(now time.Time) {
	client, ok := r.cfg.Client.(LoadOutcomes)
	if !ok || !r.usesAllSlots() {
		return
	}
	for _, ref := range r.state.UncertainRefs() {
		outcome := client.LoadOutcome(r.cfg.Name, ref.String())
		r.state.ResolveLoad(now, ref, outcome)
		switch outcome {
		case engine.OutcomeVoid:
			r.cfg.Scope.Counter("unanswered_loads_void").Inc(1)
			klog.InfoS("unanswered load is void, its slot is free", "engine", r.cfg.Name, "adapter", ref)
		case engine.OutcomeDone:
			r.cfg.Scope.Counter("unanswered_loads_done").Inc(1)
			klog.InfoS("unanswered load was executed, the adapter is loaded", "engine", r.cfg.Name, "adapter", ref)
		case engine.OutcomeOpen, engine.OutcomePending:
		}
	}
}

// adoptUnknown adopts the adapters that the client has found on the engine, if err lists any. No order is given before that.
func (r *Runner) adoptUnknown(now time.Time, err error) {
	var unknown *engine.UnknownAdaptersError
	if !errors.As(err, &unknown) {
		return
	}
	n := r.state.AdoptUncertain(now, parseRefs(unknown.Adapters))
	r.cfg.Scope.Counter("adapters_adopted_after_conflict").Inc(int64(n))
	klog.InfoS("adapters adopted that earlier orders have loaded", "engine", r.cfg.Name, "adapters", unknown.Adapters, "new", n)
}

// adoptReported adopts adapters that a report lists. An adapter that the engine is still loading cannot be used yet, so that it is
// uncertain if all slots are used: a refused request would free its slot.
func (r *Runner) adoptReported(now time.Time, refs []resource.Ref, rep engine.Report) {
	if !r.usesAllSlots() {
		r.state.Adopt(refs, r.previousOwnerActive)
		return
	}
	pending := map[resource.Ref]bool{}
	for _, ref := range parseRefs(rep.Pending) {
		pending[ref] = true
	}
	var ready, notReady []resource.Ref
	for _, ref := range refs {
		if pending[ref] {
			notReady = append(notReady, ref)
		} else {
			ready = append(ready, ref)
		}
	}
	r.state.Adopt(ready, r.previousOwnerActive)
	r.state.AdoptUncertain(now, notReady)
}

// reportTick returns the interval at which the need of a report is checked.
func (r *Runner) reportTick() time.Duration {
	if r.usesAllSlots() {
		return uncertainReportInterval
	}
	return reportInterval
}

// isReportDue reports whether the next report is to be requested at a tick, if the last one was requested at last.
func (r *Runner) isReportDue(last time.Time) bool {
	return !r.usesAllSlots() || r.uncertain.Load() > 0 || clock.Now().Sub(last) > reportInterval-uncertainReportInterval/2
}
