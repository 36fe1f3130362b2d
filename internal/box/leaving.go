package box

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
)

const (
	// lastRefusal is how long before the end a leaving box takes no new request: plain ones have 1.5 s at most.
	lastRefusal = 1700 * time.Millisecond
	// leaveTold is how often a leaving box says what it still has in flight: if its process is ended by something else than its own
	// decision, the last such line says when and with how much.
	leaveTold = 500 * time.Millisecond
	// killMargin is how long before the platform kills it a leaving box is gone.
	killMargin = 500 * time.Millisecond
)

// leavingFor returns how long this box has been leaving, zero if it is not.
func (b *Routed) leavingFor() time.Duration {
	at := b.leftAt.Load()
	if at == nil {
		return 0
	}
	return max(1, clock.Since(*at))
}

// idle reports whether the box may go: nothing is in flight and, as it was closed before that was looked at, nothing can be any more.
// A request that came between the look and the end of the process would have been passed on and not answered. Once closed the box
// stays so; a request that came just before is waited for.
func (b *Routed) idle() bool {
	if b.InFlight() > 0 {
		return false
	}
	b.closed.Store(true)
	return b.InFlight() == 0
}

// leave serves on for callers that do not know yet, until nothing is in flight, at most the time for leaving.
func (b *Routed) leave(ctx context.Context) {
	timing := b.cfg.Settings.Timing
	began := clock.Now()
	b.leftAt.Store(&began)
	klog.InfoS("leaving", "box", b.cfg.Settings.Box.Name, "in_flight", b.InFlight())
	b.node.Leave()
	tick := time.NewTicker(leavePoll)
	defer tick.Stop()
	tell := time.NewTicker(leaveTold)
	defer tell.Stop()
	for clock.Since(began) < timing.Leave-killMargin {
		if clock.Since(began) >= timing.Linger && b.idle() {
			break
		}
		select {
		case <-tell.C:
			klog.InfoS("still leaving", "box", b.cfg.Settings.Box.Name, "in_flight", b.InFlight(), "after", clock.Since(began))
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
	klog.InfoS("gone", "box", b.cfg.Settings.Box.Name, "in_flight", b.InFlight(), "after", clock.Since(began))
}
