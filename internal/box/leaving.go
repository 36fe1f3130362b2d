package box

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/operator"
)

const (
	// leaveLogInterval is how often a leaving box logs the number of its requests in flight. If something else ends the process early, the last
	// log line shows when that happened and how many requests were in flight.
	leaveLogInterval = 500 * time.Millisecond
	// killMargin is the time between the end of a leaving box and the moment at which the platform would kill it.
	killMargin = 500 * time.Millisecond
	// answerMargin is the time before the end of a leaving box in which the final answers of requests in flight reach their callers.
	answerMargin = 200 * time.Millisecond
)

// answersEnd returns how long after it began to leave a box ends the requests in flight.
func answersEnd(leave time.Duration) time.Duration {
	return max(0, leave-killMargin-answerMargin)
}

// leavingDuration returns how long this box has been leaving, or zero if it is not leaving.
func (b *Routed) leavingDuration() time.Duration {
	at := b.leavingSince.Load()
	if at == nil {
		return 0
	}
	return max(1, clock.Since(*at))
}

// leaveStatus describes this box for operators while it is leaving. It returns nil if it is not.
func (b *Routed) leaveStatus() *operator.Leave {
	leavingFor := b.leavingDuration()
	if leavingFor == 0 {
		return nil
	}
	left := b.relay.LeaveStatus()
	return &operator.Leave{AnswersEndIn: max(0, answersEnd(b.cfg.Settings.Timing.Leave)-leavingFor), Refused: left.Refused, Unfinished: left.Unfinished}
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
// the configured leave time. Requests that are still in flight then have got a final answer.
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
			b.relay.EndLate()
		case <-ctx.Done():
			return
		}
	}
	left := b.relay.LeaveStatus()
	klog.InfoS("gone", "box", b.cfg.Settings.Box.Name, "in_flight", b.InFlight(), "refused", left.Refused, "unfinished", left.Unfinished, "after", clock.Since(startedAt))
}
