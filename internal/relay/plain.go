package relay

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/places"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

const (
	// maxArrivals bounds how many endpoints a request is sent to, refusals included.
	maxArrivals = 4
	// maxUnreached bounds how many it is tried to be sent to beside those, as nothing listens there. Such tries are no load to anybody and count for
	// no repeat: on a day on which a sixth of the engines crashed 417 requests ended at one, most for want of a repeat in the budget.
	maxUnreached = 4
)

// maySend reports whether a request may be tried at one more endpoint.
func (q *request) maySend() bool { return q.arrivals < maxArrivals && q.unreached < maxUnreached }

// servePlain answers a request from any endpoint of its service.
func (r *Relay) servePlain(ctx context.Context, out *output, q *request) *result.Error {
	last := result.New(result.NoEndpoint, "%s", q.service)
	tried := map[string]bool{}
	for q.maySend() {
		again, rerr := r.tryPlain(ctx, out, q, tried, last)
		if !again {
			return r.notBeforeRest(q, rerr)
		}
		last = rerr
	}
	return r.notBeforeRest(q, last)
}

// tryPlain tries one endpoint, after another has failed with last. It reports whether a further one may be tried.
func (r *Relay) tryPlain(ctx context.Context, out *output, q *request, tried map[string]bool, last *result.Error) (again bool, rerr *result.Error) {
	leave, rerr := r.inTurn(ctx, q)
	if rerr != nil {
		return false, rerr
	}
	defer leave()
	if q.arrivals > 0 && !r.mayRepeat(q, last) {
		return false, last
	}
	e, place, rerr := r.placePlain(ctx, q, tried)
	if rerr != nil {
		if q.arrivals > 0 {
			rerr = last
		}
		return false, rerr
	}
	tried[e.Name] = true
	r.alike.chose(q.suspect.Fingerprint, e.Name)
	sentAt := clock.Now()
	resp, rerr := r.callPlain(ctx, q, e)
	place.End(answeredIn(sentAt, resp))
	if rerr == nil {
		rerr = r.passPlain(out, resp, e, q)
	}
	r.settle(ctx, q, destination{e.Name, e.Spec.Address, e.Spec.Started}, rerr)
	if rerr == nil || out.started {
		return false, rerr
	}
	return r.elsewhere(q, rerr), rerr
}

// plainShare is the part of the objective within which a plain answer is to be expected; the rest is for those that take longer than most.
const plainShare = 0.7

// placePlain chooses an endpoint with room for one more request. If there is none the error says when to come back.
func (r *Relay) placePlain(ctx context.Context, q *request, tried map[string]bool) (catalog.EndpointView, *places.Place, *result.Error) {
	passed := maps.Clone(tried)
	var full shortest
	q.limited = shortest{}
	for {
		e, ok := r.choosePlain(q, passed)
		if !ok {
			return e, nil, r.noPlace(q, full)
		}
		passed[e.Name] = true
		if r.rateUsedUp(q, e.Name) {
			q.limited.add(0)
			continue
		}
		place, refusal := r.cfg.Places.Take(ctx, r.askPlace(q, e))
		switch {
		case place != nil:
			return e, place, nil
		case refusal.Limited:
			q.tried(e.Name, result.RateLimited.String())
			q.limited.add(refusal.Wait)
			r.noteUsedUp(q, e.Name)
		default:
			q.tried(e.Name, "full")
			full.add(refusal.Wait)
		}
	}
}

// askPlace returns what is asked of the box that counts the requests at an endpoint.
func (r *Relay) askPlace(q *request, e catalog.EndpointView) places.Ask {
	a := places.Ask{
		Endpoint: e.Name, Started: e.Spec.Started, Slots: e.Spec.Slots, Within: shareOf(q.route.Objective, plainShare) - clock.Since(q.came), Hold: q.left(),
		Urgency: q.urgency(), Customer: q.customerName(),
	}
	if !r.cfg.Policy.On(policy.Places) {
		a.Slots = places.AnySlots
	}
	return a
}

// noPlace refuses a request for which no endpoint has a place.
func (r *Relay) noPlace(q *request, full shortest) *result.Error {
	if rerr := r.nobodyWants(q); rerr != nil {
		return rerr
	}
	if full.count == 0 && q.limited.count > 0 {
		return r.spreadReturn(q, result.New(result.RateLimited, "%s", q.service))
	}
	rerr := result.New(result.NoEndpoint, "%s", q.service)
	rerr.RetryAfter = full.wait
	return rerr
}

// answeredIn returns the time until an answer came that shows how fast the endpoint is, else zero.
func answeredIn(sentAt time.Time, resp *http.Response) time.Duration {
	if resp == nil || resp.StatusCode >= http.StatusInternalServerError {
		return 0
	}
	return clock.Since(sentAt)
}

// mayRepeat takes one repeat from the budget.
func (r *Relay) mayRepeat(q *request, last *result.Error) bool {
	if !r.budgets.spend(q.service) {
		r.cfg.Scope.Counter("repeats_over_budget").Inc(1)
		return false
	}
	r.cfg.Scope.Tagged(map[string]string{"reason": last.Code.String()}).Counter("repeats").Inc(1)
	return true
}

// elsewhere says whether another endpoint may be tried after rerr.
func (r *Relay) elsewhere(q *request, rerr *result.Error) bool {
	if q.left() <= 0 || rerr.Code == result.Quarantined {
		return false
	}
	if rerr.Code.Info().Ran == result.RanNo {
		return true
	}
	return q.route.Idempotent() && q.sent < q.route.Attempts && rerr.Code != result.CallerGone
}

// choosePlain returns the endpoint at which requests are that look alike, while none of these has run well, else the one with the fewest failures and
// requests, of those that have not been tried.
func (r *Relay) choosePlain(q *request, tried map[string]bool) (catalog.EndpointView, bool) {
	type scored struct {
		view  catalog.EndpointView
		score float64
	}
	now := clock.Now()
	together := r.together(q)
	var all []scored
	for _, e := range r.cfg.Catalog.Topology().Endpoints[q.service] {
		if e.Spec.Leaving || tried[e.Name] || r.rests(e) {
			continue
		}
		if e.Name == together {
			return e, true
		}
		inFlight, failures := r.health.load(e.Name, now)
		// The share spreads equal choices, and brings requests that look alike to one endpoint, from whichever box.
		all = append(all, scored{e, float64(inFlight) + failures*float64(max(1, e.Spec.Slots)) + share(q.suspect.Fingerprint, e.Name)})
	}
	if len(all) == 0 {
		return catalog.EndpointView{}, false
	}
	best := slices.MinFunc(all, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	return best.view, true
}

// together returns the endpoint that a request goes to as others are there that look alike and may end it, empty if there is none.
func (r *Relay) together(q *request) string {
	if r.cfg.Quarantine.RanWell(q.suspect.Fingerprint) {
		return ""
	}
	return r.alike.where(q.suspect.Fingerprint)
}

// callPlain sends a request to an endpoint. An answer that says the endpoint failed is an error where the request may run again.
func (r *Relay) callPlain(ctx context.Context, q *request, e catalog.EndpointView) (*http.Response, *result.Error) {
	r.health.begin(e.Name)
	ctx, answered := r.limitTry(ctx, q)
	resp, rerr := r.exchange(ctx, q, destination{e.Name, e.Spec.Address, e.Spec.Started}, Attempt{})
	if silent := answered(); silent && rerr != nil {
		rerr = result.New(result.AnswerLost, "no answer within the objective")
	}
	if rerr != nil {
		r.health.end(e.Name, clock.Now(), isFault(rerr))
		if rerr.Code.Info().Ran != result.RanNo {
			q.sent++
		}
		return nil, rerr
	}
	q.sent++
	if resp.StatusCode >= http.StatusInternalServerError && q.route.Idempotent() && q.sent < q.route.Attempts {
		_ = resp.Body.Close()
		r.health.end(e.Name, clock.Now(), true)
		return nil, result.New(result.AnswerLost, "status %d", resp.StatusCode)
	}
	return resp, nil
}

// limitTry ends a try that has no answer within the objective, where the request may run again and has the time to. The function
// returned is called once the answer's head has come, and reports whether the try was ended.
func (r *Relay) limitTry(ctx context.Context, q *request) (context.Context, func() bool) {
	limit := time.Duration(q.route.Objective)
	if !q.route.Idempotent() || q.sent+1 >= q.route.Attempts || q.left() < 2*limit {
		return ctx, func() bool { return false }
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(limit, cancel)
	return ctx, func() bool { return !timer.Stop() }
}

// isFault reports whether a failure speaks against the endpoint.
func isFault(rerr *result.Error) bool {
	switch rerr.Code {
	case result.CallerGone, result.NotHeld, result.Quarantined, result.EndpointLeaving, result.EndpointResting:
		return false
	default:
		return true
	}
}

// passPlain passes an answer on.
func (r *Relay) passPlain(out *output, resp *http.Response, e catalog.EndpointView, q *request) *result.Error {
	defer func() { _ = resp.Body.Close() }()
	failed := resp.StatusCode >= http.StatusInternalServerError
	var rerr *result.Error
	if q.route.Kind == resource.RouteStream {
		_, rerr = out.copyEvents(r.cfg.Wire, resp, q.head.LastEvent)
	} else {
		rerr = out.copyWhole(resp)
	}
	r.health.end(e.Name, clock.Now(), failed || (rerr != nil && rerr.Code == result.StreamCut))
	return rerr
}
