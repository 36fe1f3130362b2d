package owner

import (
	"context"
	"errors"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/loads"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/resource"
)

func (r *Runner) target() engine.Target {
	return engine.Target{Name: r.cfg.Name, Address: r.cfg.Engine.Address}
}

func (r *Runner) requestPermit(ctx context.Context, a RequestPermit) {
	ctx, cancel := context.WithTimeout(ctx, clock.Until(a.StartBy))
	defer cancel()
	p, err := r.cfg.Loads.Acquire(ctx, loads.Request{Engine: r.cfg.Name, Urgency: a.Urgency, StartBy: a.StartBy, Waiters: a.Waiters})
	if err != nil {
		r.post(permitDenied{a.Ref})
		return
	}
	r.post(permitGranted{a.Ref, p})
}

func (r *Runner) load(ctx context.Context, l Load, permit loads.Permit) {
	err := r.sendOrder(ctx, engine.Order{Action: engine.ActionLoad, Model: l.Ref.String(), Weights: l.Weights, MaxAdapters: r.cfg.Engine.Slots, Repeated: l.Repeated})
	permit(true)
	r.recordOrder("loads", err)
	r.post(loadEnded{l.Ref, err})
}

func (r *Runner) unload(ctx context.Context, u Unload) {
	err := r.sendOrder(ctx, engine.Order{Action: engine.ActionUnload, Model: u.Ref.String()})
	r.recordOrder("unloads", err)
	r.post(unloadEnded{u.Ref, err})
}

// loadBase orders the engine to load its missing base model, after a permit from the weight store's budget.
func (r *Runner) loadBase(ctx context.Context) {
	permit, err := r.cfg.BaseLoads.Acquire(ctx, loads.Request{Engine: r.cfg.Name, Urgency: resource.MaxUrgency, StartBy: clock.Now()})
	if err == nil {
		err = r.sendOrder(ctx, engine.Order{Action: engine.ActionLoadBase, Model: r.cfg.Engine.BaseModel})
		permit(true)
	}
	r.recordOrder("base_loads", err)
	r.post(baseLoadEnded{err})
}

func (r *Runner) recordOrder(name string, err error) {
	r.cfg.Scope.Counter(name).Inc(1)
	if err != nil {
		r.cfg.Scope.Counter(name + "_failed").Inc(1)
		klog.ErrorS(err, "engine order failed", "engine", r.cfg.Name, "order", name)
	}
}

var errNoAuthority = errors.New("owner: no authority to send orders")

// sendOrder sends one order to the engine and retries it after a failure. Retrying an order is safe: engines report success for
// a load of a loaded adapter and for an unload of an adapter that they do not have. errNoAuthority means that no attempt was made.
func (r *Runner) sendOrder(ctx context.Context, o engine.Order) error {
	var err error
	for range orderAttempts {
		epoch, ok := r.cfg.Authority(clock.Now())
		if !ok {
			r.cfg.Scope.Counter("orders_withheld").Inc(1)
			if err == nil {
				return errNoAuthority
			}
			// The engine may still execute the earlier attempt.
			return err
		}
		o.Epoch = epoch
		o.IsAllowed = func() bool {
			current, ok := r.cfg.Authority(clock.Now())
			return ok && current == epoch
		}
		r.addTracked(&o)
		err = r.cfg.Client.SendOrder(ctx, r.target(), o)
		if err == nil || isFinal(err) || ctx.Err() != nil {
			return err
		}
		r.cfg.Scope.Counter("order_retries").Inc(1)
		time.Sleep(orderRetryDelay)
	}
	return err
}

// isFinal reports whether an order that failed with err must not be retried.
func isFinal(err error) bool {
	var refused *engine.OrderRefusedError
	var unknown *engine.UnknownAdaptersError
	return errors.As(err, &refused) || errors.As(err, &unknown) || errors.Is(err, engine.ErrAuthorityLost) || errors.Is(err, engine.ErrConnectionLost)
}

// pollReports requests reports from the engine until ctx ends.
func (r *Runner) pollReports(ctx context.Context) error {
	tick := time.NewTicker(r.reportTick())
	defer tick.Stop()
	for {
		last := clock.Now()
		rep, err := r.cfg.Client.Report(ctx, r.target())
		r.cfg.Notices.RecordNotices(clock.Now(), notice.Endpoint{Name: r.cfg.Name, Started: r.cfg.Engine.Started}, rep.Notice)
		if err != nil {
			r.cfg.Scope.Counter("report_failures").Inc(1)
			if errors.Is(err, syscall.ECONNREFUSED) {
				// The engine process has ended. Its entry in discovery expires only seconds later.
				r.post(connectionRefused{})
			}
		} else {
			r.post(reportReceived{rep})
		}
		for due := false; !due; {
			select {
			case <-tick.C:
				due = r.isReportDue(last)
			case <-ctx.Done():
				return nil
			}
		}
	}
}
