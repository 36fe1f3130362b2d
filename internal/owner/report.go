package owner

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/policy"
)

// handleReport updates the state from an engine report. The first report of an incarnation shows the loaded adapters. A changed
// incarnation means that the engine has restarted and is empty. Later reports correct differences that persist.
func (r *Runner) handleReport(now time.Time, rep engine.Report) []Action {
	if rate := rep.Notice.Rate; rate.IsSet() && rep.Notice.RateErr == nil {
		// Use the start time from discovery, as for rates in answers. A start time that discovery does not show yet would take
		// precedence over all rate limits received for the incarnation that discovery shows.
		rate.Started = r.cfg.Engine.Started
		r.state.UpdateRate(now, &rate)
	}
	var actions []Action
	if rep.Notice.Leaving && !r.engineLeaving {
		r.engineLeaving = true
		actions = r.updateClosed(now)
	}
	if r.engineGone {
		r.engineGone = false
		actions = append(actions, r.updateClosed(now)...)
	}
	if r.incarnation == rep.Incarnation {
		return append(actions, r.reconcile(now, rep)...)
	}
	if r.incarnation != "" {
		klog.InfoS("engine restarted", "engine", r.cfg.Name)
		r.engineLeaving = rep.Notice.Leaving
		actions = append(actions, r.updateClosed(now)...)
		r.cfg.Scope.Counter("engine_restarts").Inc(1)
		actions = append(actions, r.state.ResetAfterRestart(now)...)
	}
	r.incarnation = rep.Incarnation
	r.baseMissing = rep.BaseModels != nil && !slices.Contains(rep.BaseModels, r.cfg.Engine.BaseModel)
	if r.baseMissing {
		actions = append(actions, r.updateClosed(now)...)
		if slices.Contains(rep.LocalBaseModels, r.cfg.Engine.BaseModel) || !r.cfg.Policy.IsEnabled(policy.BaseOnDemand) {
			actions = append(actions, r.startBaseLoad()...)
		}
	}
	r.adoptReported(now, loadedRefs(rep), rep)
	return append(actions, r.state.Tick(now)...)
}

func (r *Runner) reconcile(now time.Time, rep engine.Report) []Action {
	adopt, gone := r.reconciler.compare(r.state, rep)
	if len(adopt)+len(gone) == 0 {
		return nil
	}
	klog.InfoS("loaded adapters differ from recorded state", "engine", r.cfg.Name, "unknown", adopt, "gone", gone)
	r.cfg.Scope.Counter("engine_corrections").Inc(int64(len(adopt) + len(gone)))
	r.adoptReported(now, adopt, rep)
	return r.state.RemoveLost(now, gone)
}

// recordBaseDemand counts a ticket for an engine without its base model, if no other tried engine could start the ticket in time.
// Enough such tickets start the load of the base model. An engine with a rate limit gets no base model.
func (r *Runner) recordBaseDemand(now time.Time, t Ticket) []Action {
	if !r.baseMissing || !t.OthersTooSlow || r.state.Rate(now) != nil || !r.demand.add(now) {
		return nil
	}
	return r.startBaseLoad()
}

// startBaseLoad starts the load of the base model unless it is already being loaded.
func (r *Runner) startBaseLoad() []Action {
	if r.baseLoading {
		return nil
	}
	r.baseLoading = true
	return []Action{LoadBase{}}
}

// updateClosed closes the state while at least one reason to do so applies, and otherwise opens it. Closing the state sends the
// waiting tickets to other engines.
func (r *Runner) updateClosed(now time.Time) []Action {
	return r.state.SetClosed(now, r.boxLeaving || r.engineLeaving || r.baseMissing || r.engineGone)
}

// markGoneIfNotFound closes the state if the engine refused an order because its target does not exist. The engine's entry in
// discovery expires only seconds later, and tickets that wait here until then would not start. The next report opens the state
// again.
func (r *Runner) markGoneIfNotFound(now time.Time, err error) []Action {
	if !isNotFound(err) {
		return nil
	}
	return r.markGone(now, err.Error())
}

// markGone closes the state until the next report of the engine.
func (r *Runner) markGone(now time.Time, reason string) []Action {
	if r.engineGone {
		return nil
	}
	klog.InfoS("engine not found, closed until its next report", "engine", r.cfg.Name, "why", reason)
	r.cfg.Scope.Counter("engines_not_there").Inc(1)
	r.engineGone = true
	return r.updateClosed(now)
}
