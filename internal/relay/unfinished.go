package relay

import (
	"io"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/result"
)

// unfinishedLogInterval is the time between two log lines on the unfinished answers, and on the long events, of one endpoint.
const unfinishedLogInterval = 10 * time.Second

// countedBody counts the bytes that are read from the body of an answer.
type countedBody struct {
	io.ReadCloser
	bytes *int64
}

// Read implements io.Reader.
func (b countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	*b.bytes += int64(n)
	return n, err
}

// recordUnfinished counts and logs an answer that had begun and not ended when the time of its request was over. rerr is the result of the
// request.
func (r *Relay) recordUnfinished(q *request, to destination, rerr *result.Error) {
	if rerr == nil || rerr.Code != result.StreamCut || rerr.BrokenOff || q.timeLeft() > 0 {
		return
	}
	r.cfg.Scope.Counter("answers_unfinished").Inc(1)
	now := clock.Now()
	if r.loggedUnfinished.Has(to.name, now) {
		return
	}
	r.loggedUnfinished.Add(to.name, now)
	klog.InfoS("answer had not ended when the time of its request was over", "request", q.head.ID, "endpoint", to.name, "route", q.route.Name, "bytes", q.answerBytes, "took", now.Sub(q.receivedAt))
}

// recordLongEvent counts and logs a stream that was cut because an event exceeded the limits.
func (r *Relay) recordLongEvent(q *request, to destination, out *output) {
	if !out.isEventTooLong {
		return
	}
	out.isEventTooLong = false
	r.cfg.Scope.Counter("events_too_long").Inc(1)
	now := clock.Now()
	if r.loggedLongEvents.Has(to.name, now) {
		return
	}
	r.loggedLongEvents.Add(to.name, now)
	klog.InfoS("stream cut, an event exceeds the limits", "request", q.head.ID, "endpoint", to.name, "route", q.route.Name, "bytes", q.answerBytes)
}
