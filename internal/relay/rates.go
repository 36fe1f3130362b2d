package relay

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/result"
)

// handleRate records the rate limit that an endpoint reported. Only a valid answer can lift a limit, because other
// answers may lack any header.
func (r *Relay) handleRate(to destination, notices notice.HeaderNotices, valid bool) {
	if notices.RateErr != nil {
		r.cfg.Rates.RecordInvalid(clock.Now(), to.name, notices.RateErr)
		return
	}
	if !notices.Rate.IsSet() && (!valid || !r.cfg.Rates.HasReports()) {
		return
	}
	notices.Rate.Started = to.started
	if r.cfg.Rates.Record(clock.Now(), to.name, notices.Rate) {
		r.forwardRateToOwner(to.name, notices.Rate)
	}
}

// forwardRateToOwner sends the rate limit of an engine to the engine's owner at once, because the end of a stream may
// be seconds away. The keeper of a plain endpoint receives the limit when this request ends.
func (r *Relay) forwardRateToOwner(engine string, report ratelimit.Report) {
	if runner, ok := r.cfg.Owners.Get(engine); ok {
		runner.UpdateRate(report)
		return
	}
	if e, ok := r.cfg.Catalog.Topology().Engines[engine]; ok && e.Owner.Box != "" && e.Owner.Box != r.cfg.Box {
		r.cfg.Grants.QueueRate(e.Owner.Peer, engine, report)
	}
}

// isRoomRejection reports whether an endpoint rejected a request for want of room, and counts the rejections of brittle endpoints.
func (r *Relay) isRoomRejection(q *request, to destination, rerr *result.Error) bool {
	if rerr == nil || rerr.Code != result.BackendRefused {
		return false
	}
	if r.isBrittle(to.name, to.started) {
		r.cfg.Scope.Counter("brittle_rejections").Inc(1)
		klog.V(1).InfoS("brittle endpoint rejected a request", "request", q.head.ID, "endpoint", to.name)
	}
	return true
}

// isBrittle reports whether an endpoint is brittle, as far as this box knows.
func (r *Relay) isBrittle(endpoint string, started int64) bool {
	report := r.cfg.Rates.LatestReport(clock.Now(), endpoint, started)
	return report != nil && report.Brittle
}

// exhaustedRate identifies an endpoint whose rate limit left nothing for requests of one urgency.
type exhaustedRate struct {
	endpoint string
	urgency  int
}

// exhaustedRateTTL is how long an endpoint is not asked again for requests of the same urgency. Otherwise, with
// hundreds of callers, every box would ask for each of their requests. Capacity that becomes free in this time is not
// lost, because it is saved up.
const exhaustedRateTTL = 100 * time.Millisecond

// isRateExhausted reports whether an endpoint's rate limit recently left nothing for requests of the same urgency.
func (r *Relay) isRateExhausted(q *request, endpoint string) bool {
	return r.cfg.Rates.HasReports() && r.exhaustedRates.Has(exhaustedRate{endpoint, q.urgency()}, clock.Now())
}

// markRateExhausted records that an endpoint's rate limit left nothing for a request.
func (r *Relay) markRateExhausted(q *request, endpoint string) {
	r.exhaustedRates.Add(exhaustedRate{endpoint, q.urgency()}, clock.Now())
}

// refusals counts refusals and keeps the shortest wait that they reported.
type refusals struct {
	count        int
	shortestWait time.Duration
}

func (s *refusals) add(wait time.Duration) {
	if s.count == 0 || wait < s.shortestWait {
		s.shortestWait = wait
	}
	s.count++
}

// addRateLimited counts an endpoint whose rate limit has no capacity left according to its owner.
func (q *request) addRateLimited(rerr *result.Error) {
	q.rateLimited.add(rerr.RetryAfter)
	q.rateLimitedAsks++
}

// spreadRetry sets when to retry a request that no endpoint could take because of its rate limit. It returns other
// errors unchanged.
func (r *Relay) spreadRetry(q *request, rerr *result.Error) *result.Error {
	if rerr == nil || rerr.Code != result.RateLimited {
		return rerr
	}
	rerr.RetryAfter = r.cfg.Rates.RetryAfter(clock.Now(), q.service, func() []string { return r.endpointNames(q.service) }, q.rateLimited.shortestWait)
	return rerr
}

// endpointNames returns the names of a service's endpoints.
func (r *Relay) endpointNames(service string) []string {
	var names []string
	for _, e := range r.cfg.Catalog.Topology().Endpoints[service] {
		names = append(names, e.Name)
	}
	return names
}
