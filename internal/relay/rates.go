package relay

import (
	"time"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/result"
)

// hearRate takes in what an endpoint says of its rate. That there is none any more is believed of a sound answer alone, as others may lack any header.
func (r *Relay) hearRate(to destination, w notice.Word, sound bool) {
	if w.RateErr != nil {
		r.cfg.Rates.Ignored(clock.Now(), to.name, w.RateErr)
		return
	}
	if !w.Rate.Limited && (!sound || !r.cfg.Rates.Any()) {
		return
	}
	w.Rate.Started = to.started
	if r.cfg.Rates.Heard(clock.Now(), to.name, w.Rate) {
		r.tellOwner(to.name, w.Rate)
	}
}

// tellOwner tells an engine's owner at once what the engine said: the end of a stream may be seconds away. Who counts the requests at a plain endpoint
// hears it with the end of this one.
func (r *Relay) tellOwner(engine string, w ratelimit.Word) {
	if runner, ok := r.cfg.Owners.Get(engine); ok {
		runner.HearRate(w)
		return
	}
	if e, ok := r.cfg.Catalog.Topology().Engines[engine]; ok && e.Owner.Box != "" && e.Owner.Box != r.cfg.Box {
		r.cfg.Grants.TellRate(e.Owner.Peer, engine, w)
	}
}

// usedUp names an endpoint whose rate left nothing for requests of an urgency.
type usedUp struct {
	endpoint string
	urgency  int
}

// usedUpFor is for how long an endpoint is not asked again for requests of the same urgency: callers by the hundred would otherwise have every box ask
// for each of them. What becomes free meanwhile is saved up.
const usedUpFor = 100 * time.Millisecond

// rateUsedUp reports whether an endpoint's rate lately left nothing for requests like this one.
func (r *Relay) rateUsedUp(q *request, endpoint string) bool {
	return r.cfg.Rates.Any() && r.usedUp.Has(usedUp{endpoint, q.urgency()}, clock.Now())
}

// noteUsedUp notes that an endpoint's rate left nothing for a request.
func (r *Relay) noteUsedUp(q *request, endpoint string) {
	r.usedUp.Add(usedUp{endpoint, q.urgency()}, clock.Now())
}

// shortest counts refusals and keeps the shortest wait that they told.
type shortest struct {
	count int
	wait  time.Duration
}

func (s *shortest) add(wait time.Duration) {
	if s.count == 0 || wait < s.wait {
		s.wait = wait
	}
	s.count++
}

// leftOut counts an endpoint that was asked and has nothing left.
func (q *request) leftOut(rerr *result.Error) {
	q.limited.add(rerr.RetryAfter)
	q.limitedAsks++
}

// spreadReturn says when a request is to come back that no endpoint may take for its rate. Other failures stay as they are.
func (r *Relay) spreadReturn(q *request, rerr *result.Error) *result.Error {
	if rerr == nil || rerr.Code != result.RateLimited {
		return rerr
	}
	rerr.RetryAfter = r.cfg.Rates.ComeBack(clock.Now(), q.service, func() []string { return r.endpointsOf(q.service) }, q.limited.wait)
	return rerr
}

// endpointsOf returns the names of a service's endpoints.
func (r *Relay) endpointsOf(service string) []string {
	var names []string
	for _, e := range r.cfg.Catalog.Topology().Endpoints[service] {
		names = append(names, e.Name)
	}
	return names
}
