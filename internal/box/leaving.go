package box

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
)

const (
	// refusalPeriod is the final part of the leave time, during which a box refuses new requests. Plain requests take at most 1.5 s.
	refusalPeriod = 1700 * time.Millisecond
	// leaveLogInterval is how often a leaving box logs the number of its requests in flight. If something else ends the process early, the last
	// log line shows when that happened and how many requests were in flight.
	leaveLogInterval = 500 * time.Millisecond
	// killMargin is the time between the end of a leaving box and the moment at which the platform would kill it.
	killMargin = 500 * time.Millisecond
)

// leavingDuration returns how long this box has been leaving, or zero if it is not leaving.
func (b *Routed) leavingDuration() time.Duration {
	at := b.leavingSince.Load()
	if at == nil {
		return 0
	}
	return max(1, clock.Since(*at))
}

// closeIfIdle closes the box to new requests if none are in flight, and reports whether the box may stop. It checks for requests in flight again
// after closing, since a request that arrived between the first check and the end of the process would be forwarded but get no response.
// Once closed, the box stays closed. If a request arrived just before, a later call of closeIfIdle reports when this request has ended.
func (b *Routed) closeIfIdle() bool {
	if b.InFlight() > 0 {
		return false
	}
	b.closed.Store(true)
	return b.InFlight() == 0
}

// leave keeps serving callers that do not know yet that the box is leaving. It returns when no requests are in flight, or shortly before the end of
// the configured leave time.
func (b *Routed) leave(ctx context.Context) {
	timing := b.cfg.Settings.Timing
	startedAt := clock.Now()
	b.leavingSince.Store(&startedAt)
	klog.InfoS("leaving", "box", b.cfg.Settings.Box.Name, "in_flight", b.InFlight())
	b.node.Leave()
	pollTick := time.NewTicker(leavePollInterval)
	defer pollTick.Stop()
	logTick := time.NewTicker(leaveLogInterval)
	defer logTick.Stop()
	for clock.Since(startedAt) < timing.Leave-killMargin {
		if clock.Since(startedAt) >= timing.Linger && b.closeIfIdle() {
			break
		}
		select {
		case <-logTick.C:
			klog.InfoS("still leaving", "box", b.cfg.Settings.Box.Name, "in_flight", b.InFlight(), "after", clock.Since(startedAt))
		case <-pollTick.C:
		case <-ctx.Done():
			return
		}
	}
	klog.InfoS("gone", "box", b.cfg.Settings.Box.Name, "in_flight", b.InFlight(), "after", clock.Since(startedAt))
}
