package relay

import (
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/result"
)

// latencies are the bounds of the latency histograms: around the objectives of tens of milliseconds to a second, up to the
// longest time-outs.
var latencies = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond,
	400 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond,
	5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// measure records the times of a request that was answered.
func (r *Relay) measure(q *request) {
	scope := r.cfg.Scope.Tagged(map[string]string{"kind": string(q.route.Kind)})
	scope.Histogram("routed_until_sent", latencies).RecordDuration(q.waited)
	scope.Histogram("routed_until_answered", latencies).RecordDuration(q.first)
	scope.Histogram("routed_until_done", latencies).RecordDuration(clock.Since(q.came))
}

func (r *Relay) count(c result.Code) {
	r.cfg.Scope.Tagged(map[string]string{"result": c.String()}).Counter("routed_requests").Inc(1)
}

// log writes the line that says how a request ended and what decided it. Failures are always told; of the others, as many a
// second as keep the volume bounded.
func (r *Relay) log(q *request, rerr *result.Error) {
	leftOut := int64(0)
	if rerr.Code == result.OK {
		var ok bool
		if leftOut, ok = r.sample.take(clock.Now()); !ok {
			return
		}
	}
	name, version := "", int64(0)
	if q.route != nil {
		name = q.route.Name
	}
	if t := r.cfg.Catalog.Topology().Routes; t != nil {
		version = t.Version()
	}
	klog.InfoS("request", "request", q.head.ID, "fingerprint", q.suspect.Fingerprint, "result", rerr.Code.String(), "detail", rerr.Detail, "route", name, "config", version,
		"service", q.service, "customer", q.customerName(), "adapter", q.head.Adapter, "ref", q.ref, "tries", q.tries, "endpoint", q.endpoint, "arrivals", q.arrivals,
		"waited", q.waited, "first", q.first, "took", clock.Since(q.came), "left", q.left(), "store_age", r.cfg.StoreAge(), "left_out", leftOut)
}
