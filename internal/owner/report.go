package owner

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/policy"
)

// report corrects the state: a new incarnation is empty, the first report shows what is loaded, later ones correct what steadily differs.
func (r *Runner) report(now time.Time, rep engine.Report) []Action {
	if rate := rep.Notice.Rate; rate.Limited {
		// As with answers: a life that is not known yet would go before all that they say of this one.
		rate.Started = r.cfg.Engine.Started
		r.state.HearRate(now, &rate)
	}
	var out []Action
	if rep.Notice.Leaving && !r.left {
		r.left = true
		out = r.close(now)
	}
	if r.gone {
		r.gone = false
		out = append(out, r.close(now)...)
	}
	if r.incarnation == rep.Incarnation {
		return append(out, r.reconcile(now, rep)...)
	}
	if r.incarnation != "" {
		klog.InfoS("engine restarted", "engine", r.cfg.Name)
		r.left = rep.Notice.Leaving
		out = append(out, r.close(now)...)
		r.cfg.Scope.Counter("engine_restarts").Inc(1)
		out = append(out, r.state.Restarted(now)...)
	}
	r.incarnation = rep.Incarnation
	r.baseMissing = rep.BaseModels != nil && !slices.Contains(rep.BaseModels, r.cfg.Engine.BaseModel)
	if r.baseMissing {
		out = append(out, r.close(now)...)
		if slices.Contains(rep.AtHand, r.cfg.Engine.BaseModel) || !r.cfg.Policy.On(policy.BaseOnDemand) {
			out = append(out, r.loadMissing()...)
		}
	}
	r.state.Adopt(refsOf(rep), r.foreign)
	return append(out, r.state.Tick(now)...)
}

func (r *Runner) reconcile(now time.Time, rep engine.Report) []Action {
	adopt, gone := r.reconciler.compare(r.state, rep)
	if len(adopt)+len(gone) == 0 {
		return nil
	}
	klog.InfoS("engine differs from what was known", "engine", r.cfg.Name, "unknown", adopt, "gone", gone)
	r.cfg.Scope.Counter("engine_corrections").Inc(int64(len(adopt) + len(gone)))
	r.state.Adopt(adopt, r.foreign)
	return r.state.Lost(now, gone)
}

// wanted takes a request for an engine without its base model in: enough of them that no engine asked before could start in time begin its load. One that
// names a rate is left without.
func (r *Runner) wanted(now time.Time, t Ticket) []Action {
	if !r.baseMissing || !t.Pressed || r.state.Rate(now) != nil || !r.demand.note(now) {
		return nil
	}
	return r.loadMissing()
}

// loadMissing begins the load of the base model, once.
func (r *Runner) loadMissing() []Action {
	if r.baseLoading {
		return nil
	}
	r.baseLoading = true
	return []Action{LoadBase{}}
}

// close sends what waits to other engines while this one can take nothing.
func (r *Runner) close(now time.Time) []Action {
	return r.state.Close(now, r.leaving || r.left || r.baseMissing || r.gone)
}

// noteGone closes the state when the engine has refused an order as not there: its entry in discovery lapses seconds later, and
// whatever waits here until then waits in vain. The next report opens it again.
func (r *Runner) noteGone(now time.Time, err error) []Action {
	if !notThere(err) {
		return nil
	}
	return r.goneNow(now, err.Error())
}

// goneNow closes the state until the next report.
func (r *Runner) goneNow(now time.Time, why string) []Action {
	if r.gone {
		return nil
	}
	klog.InfoS("engine not there", "engine", r.cfg.Name, "why", why)
	r.cfg.Scope.Counter("engines_not_there").Inc(1)
	r.gone = true
	return r.close(now)
}
