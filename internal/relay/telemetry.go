package relay

import (
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/result"
)

// latencyBuckets are the bounds of the latency histograms. They cover the objectives, from tens of milliseconds to a
// second, and extend to the longest timeouts.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond,
	400 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond,
	5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// recordLatencies records the latencies of a request that was answered.
func (r *Relay) recordLatencies(q *request) {
	scope := r.cfg.Scope.Tagged(map[string]string{"kind": string(q.route.Kind)})
	scope.Histogram("routed_until_sent", latencyBuckets).RecordDuration(q.untilSent)
	scope.Histogram("routed_until_answered", latencyBuckets).RecordDuration(q.untilAnswered)
	scope.Histogram("routed_until_done", latencyBuckets).RecordDuration(clock.Since(q.receivedAt))
}

func (r *Relay) countResult(c result.Code) {
	r.cfg.Scope.Tagged(map[string]string{"result": c.String()}).Counter("routed_requests").Inc(1)
}

// logRequest writes the log line for a request, with its result and what decided it. Failures are always logged. The
// lines per second for served requests are limited.
func (r *Relay) logRequest(q *request, rerr *result.Error) {
	skipped := int64(0)
	if rerr.Code == result.OK {
		var ok bool
		if skipped, ok = r.sampler.allow(clock.Now()); !ok {
			return
		}
	}
	routeName, configVersion := "", int64(0)
	if q.route != nil {
		routeName = q.route.Name
	}
	if q.routing.table != nil {
		configVersion = q.routing.table.Version()
	}
	klog.InfoS("request", "request", q.head.ID, "fingerprint", q.suspect.Fingerprint, "result", rerr.Code.String(), "detail", rerr.Detail, "status", q.status, "ground", q.ground, "route", routeName, "config", configVersion, "config_age", q.routing.ageFor(q),
		"service", q.service, "customer", q.customerName(), "adapter", q.head.Adapter, "ref", q.ref, "software", q.binding.version, "resumes", q.head.Resumes, "resume_after", q.head.LastEvent, "origin", q.resumption, "tries", q.tries, "endpoint", q.lastEndpoint, "arrivals", q.arrivals,
		"waited", q.untilSent, "first", q.untilAnswered, "gap", q.longestGap, "took", clock.Since(q.receivedAt), "left", q.timeLeft(), "store_age", r.cfg.StoreAge(), "left_out", skipped)
}
