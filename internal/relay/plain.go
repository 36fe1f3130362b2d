package relay

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/places"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

const (
	// maxArrivals bounds the endpoints that a request is sent to, including those that refuse it.
	maxArrivals = 4
	// maxConnectFailures bounds the additional tries at endpoints where nothing listens. Such tries cause no load and do
	// not count as retries. When they did, 417 requests failed at a crashed engine on a day on which a sixth of the
	// engines crashed, most of them because the retry budget was used up.
	maxConnectFailures = 4
)

// canSend reports whether a request may be sent to one more endpoint.
func (q *request) canSend() bool {
	return q.arrivals < maxArrivals && q.connectFailures < maxConnectFailures
}

// servePlain answers a request from any endpoint of its service.
func (r *Relay) servePlain(ctx context.Context, out *output, q *request) *result.Error {
	lastErr := result.New(result.NoEndpoint, "%s", q.service)
	tried := map[string]bool{}
	for q.canSend() {
		retry, rerr := r.tryPlain(ctx, out, q, tried, lastErr)
		if !retry {
			return r.delayRetryUntilPauseEnds(q, rerr)
		}
		lastErr = rerr
	}
	return r.delayRetryUntilPauseEnds(q, lastErr)
}

// tryPlain tries one endpoint. lastErr is the error of the previous try. retry reports whether another endpoint may
// be tried.
func (r *Relay) tryPlain(ctx context.Context, out *output, q *request, tried map[string]bool, lastErr *result.Error) (retry bool, rerr *result.Error) {
	release, rerr := r.waitForFirst(ctx, q)
	if rerr != nil {
		return false, rerr
	}
	defer release()
	if q.arrivals > 0 && (r.refuseLateRun(q) != nil || !r.spendRetry(q, lastErr)) {
		return false, lastErr
	}
	e, place, rerr := r.reserveEndpoint(ctx, q, tried)
	if rerr != nil {
		if q.arrivals > 0 {
			rerr = lastErr
		}
		return false, rerr
	}
	tried[e.Name] = true
	if !r.confirmVersion(ctx, q, e) {
		place.End(places.Outcome{})
		r.refundRetry(q)
		return true, lastErr
	}
	r.flights.setEndpoint(q.suspect.Fingerprint, e.Name)
	sentAt := clock.Now()
	held := r.unanswered.Add(func() { place.End(places.Outcome{}) })
	resp, rerr := r.callPlain(held.Trace(ctx), q, e)
	held.End(func() { place.End(r.placeOutcome(q, e, sentAt, resp, rerr)) })
	if rerr == nil {
		out.hasCrashed = r.crashCheck(ctx, q, endpointDestination(e))
		rerr = r.forwardPlain(out, resp, e, q)
	}
	q.pending.endRun()
	r.reportOutcome(ctx, q, endpointDestination(e), rerr)
	if rerr == nil || out.started {
		return false, rerr
	}
	return r.canTryNext(q, rerr), rerr
}

// plainAnswerShare is the part of the objective within which a plain answer must be expected. The rest is a margin
// for requests that take longer than most.
const plainAnswerShare = 0.7

// reserveEndpoint chooses an endpoint with room for one more request and reserves a place there. If there is none,
// the error contains the retry delay.
func (r *Relay) reserveEndpoint(ctx context.Context, q *request, tried map[string]bool) (catalog.EndpointView, *places.Place, *result.Error) {
	skipped := maps.Clone(tried)
	var fullEndpoints refusals
	q.rateLimited = refusals{}
	for {
		e, ok := r.choosePlainEndpoint(q, skipped)
		if !ok {
			return e, nil, r.noPlaceError(q, fullEndpoints)
		}
		skipped[e.Name] = true
		if r.isRateExhausted(q, e.Name) {
			q.rateLimited.add(0)
			continue
		}
		place, refusal := r.cfg.Places.Acquire(ctx, r.newPlaceRequest(q, e))
		switch {
		case place != nil:
			return e, place, nil
		case refusal.RateLimited:
			q.recordTry(e.Name, result.RateLimited.String())
			q.rateLimited.add(refusal.Wait)
			r.markRateExhausted(q, e.Name)
		case refusal.Brittle:
			q.recordTry(e.Name, "brittle")
			fullEndpoints.add(refusal.Wait)
		default:
			q.recordTry(e.Name, "full")
			fullEndpoints.add(refusal.Wait)
		}
	}
}

// newPlaceRequest returns the request for a place at an endpoint. It is sent to the keeper of the endpoint.
func (r *Relay) newPlaceRequest(q *request, e catalog.EndpointView) places.Request {
	a := places.Request{
		Endpoint: e.Name, Started: e.Spec.Started, Slots: e.Spec.Slots, MaxLatency: shareOf(q.route.Objective, plainAnswerShare) - clock.Since(q.receivedAt), Hold: q.timeLeft(),
		Urgency: q.urgency(), Customer: q.customerName(), Careful: r.cfg.Rates.IsAnyBrittle(clock.Now(), func() []string { return r.endpointNames(q.service) }),
	}
	if !r.cfg.Policy.IsEnabled(policy.ConcurrencyLimit) {
		a.Slots = places.UnlimitedSlots
	}
	return a
}

// noPlaceError returns the error for a request for which no endpoint has a place.
func (r *Relay) noPlaceError(q *request, fullEndpoints refusals) *result.Error {
	if rerr := r.refuseIfNoneAvailable(q); rerr != nil {
		return rerr
	}
	if fullEndpoints.count == 0 && q.rateLimited.count > 0 {
		return r.spreadRetry(q, result.New(result.RateLimited, "%s", q.service))
	}
	rerr := result.New(result.NoEndpoint, "%s", q.service)
	rerr.RetryAfter = fullEndpoints.shortestWait
	return rerr
}

// placeOutcome describes how a request to an endpoint ended, for the keeper of the endpoint.
func (r *Relay) placeOutcome(q *request, e catalog.EndpointView, sentAt time.Time, resp *http.Response, rerr *result.Error) places.Outcome {
	o := places.Outcome{Latency: answerTime(sentAt, resp)}
	if rerr != nil {
		o.Rejected, o.Down = r.isRoomRejection(q, endpointDestination(e), rerr), rerr.Code == result.NotListening
	}
	return o
}

// answerTime returns the time until the answer arrived, or zero if the answer does not show how fast the endpoint is.
func answerTime(sentAt time.Time, resp *http.Response) time.Duration {
	if resp == nil || resp.StatusCode >= http.StatusInternalServerError {
		return 0
	}
	return clock.Since(sentAt)
}

// spendRetry takes one retry from the budget and reports whether one was available. lastErr is the reason for the
// retry.
func (r *Relay) spendRetry(q *request, lastErr *result.Error) bool {
	if !r.budgets.spend(q.service) {
		r.cfg.Scope.Counter("repeats_over_budget").Inc(1)
		return false
	}
	r.cfg.Scope.Tagged(map[string]string{"reason": lastErr.Code.String()}).Counter("repeats").Inc(1)
	return true
}

// canTryNext reports whether another endpoint may be tried after rerr.
func (r *Relay) canTryNext(q *request, rerr *result.Error) bool {
	if q.timeLeft() <= 0 || rerr.Code == result.Quarantined || rerr.Code == result.Leaving || q.pending.isEnded() || q.isForwardedUnknown {
		return false
	}
	if rerr.Code.Info().Ran == result.RanNo {
		return true
	}
	return q.route.Idempotent() && q.possibleRuns < q.route.Attempts && rerr.Code != result.CallerGone && rerr.Code != result.CallerNotReading
}

// choosePlainEndpoint chooses among the endpoints that have not been tried and are neither leaving nor paused. While no
// request with the same fingerprint has run well, it prefers the endpoint of the first such request in flight.
// Otherwise it returns the endpoint with the fewest failures and requests in flight. A request that continues a stream goes to no endpoint that
// may have restarted with another version, and first to those that have surely not.
func (r *Relay) choosePlainEndpoint(q *request, tried map[string]bool) (catalog.EndpointView, bool) {
	type scoredEndpoint struct {
		view  catalog.EndpointView
		trust versionTrust
		score float64
	}
	now := clock.Now()
	sharedEndpoint := r.endpointOfFirst(q)
	var scoredEndpoints []scoredEndpoint
	for _, e := range r.cfg.Catalog.Topology().Endpoints[q.service] {
		if e.Spec.Leaving || tried[e.Name] || r.isPaused(e) || !r.allowsVersion(q, e.Spec.SoftwareVersion) {
			continue
		}
		trust := versionAssumed
		if q.binding.bound {
			trust = r.trustVersion(now, e.Spec.Address)
		}
		if trust == versionDoubted {
			continue
		}
		if e.Name == sharedEndpoint {
			return e, true
		}
		inFlight, failures := r.health.load(e.Name, now)
		// The hash breaks ties. It sends requests with the same fingerprint to the same endpoint, whichever box sends them.
		scoredEndpoints = append(scoredEndpoints, scoredEndpoint{e, trust, float64(inFlight) + failures*float64(max(1, e.Spec.Slots)) + hashFraction(q.suspect.Fingerprint, e.Name)})
	}
	if len(scoredEndpoints) == 0 {
		return catalog.EndpointView{}, false
	}
	best := slices.MinFunc(scoredEndpoints, func(a, b scoredEndpoint) int {
		return cmp.Or(cmp.Compare(b.trust, a.trust), cmp.Compare(a.score, b.score))
	})
	return best.view, true
}

// endpointOfFirst returns the endpoint of the first request in flight with the same fingerprint, so that requests
// that may crash their endpoint reach only one. It returns an empty string if there is none, or if such a request has
// already run well.
func (r *Relay) endpointOfFirst(q *request) string {
	if r.cfg.Quarantine.RanSuccessfully(q.suspect.Fingerprint) {
		return ""
	}
	return r.flights.endpointOf(q.suspect.Fingerprint)
}

// callPlain sends a request to an endpoint. A server error is returned as an error if the request may run again.
func (r *Relay) callPlain(ctx context.Context, q *request, e catalog.EndpointView) (*http.Response, *result.Error) {
	r.health.begin(e.Name)
	ctx, stopTimer := r.withTryTimeout(ctx, q)
	resp, rerr := r.exchange(ctx, q, endpointDestination(e), Attempt{})
	if timedOut := stopTimer(); timedOut && rerr != nil {
		rerr = result.New(result.AnswerLost, "no answer within the objective")
	}
	if rerr != nil {
		r.health.end(e.Name, clock.Now(), isEndpointFault(rerr))
		if rerr.Code.Info().Ran != result.RanNo {
			q.possibleRuns++
		}
		return nil, rerr
	}
	q.possibleRuns++
	if resp.StatusCode >= http.StatusInternalServerError && q.route.Idempotent() && q.possibleRuns < q.route.Attempts {
		_ = resp.Body.Close()
		r.health.end(e.Name, clock.Now(), true)
		return nil, result.New(result.AnswerLost, "status %d", resp.StatusCode)
	}
	return resp, nil
}

// withTryTimeout cancels a try that gets no answer within the objective, if the request may run again and has enough
// time left. The caller must call the returned function when the head of the answer has arrived. The function reports
// whether the try was cancelled.
func (r *Relay) withTryTimeout(ctx context.Context, q *request) (context.Context, func() bool) {
	limit := time.Duration(q.route.Objective)
	if !q.route.Idempotent() || q.possibleRuns+1 >= q.route.Attempts || q.timeLeft() < 2*limit {
		return ctx, func() bool { return false }
	}
	ctx, cancel := context.WithCancel(ctx)
	var isCancelled atomic.Bool
	timer := time.AfterFunc(limit, func() {
		// A leaving box that may not send the request again waits for its answer.
		if r.refuseLateRun(q) == nil {
			isCancelled.Store(true)
			cancel()
		}
	})
	return ctx, func() bool {
		timer.Stop()
		return isCancelled.Load()
	}
}

// isEndpointFault reports whether an error counts as a failure of the endpoint.
func isEndpointFault(rerr *result.Error) bool {
	switch rerr.Code {
	case result.CallerGone, result.CallerNotReading, result.NotHeld, result.Quarantined, result.EndpointLeaving, result.EndpointResting, result.NoPath, result.Leaving:
		return false
	default:
		return true
	}
}

// forwardPlain forwards an answer to the caller.
func (r *Relay) forwardPlain(out *output, resp *http.Response, e catalog.EndpointView, q *request) *result.Error {
	defer func() { _ = resp.Body.Close() }()
	failed := resp.StatusCode >= http.StatusInternalServerError
	rerr := r.guardBody(q, func() *result.Error {
		if q.route.Kind != resource.RouteStream {
			return out.copyAnswer(resp)
		}
		_, rerr := out.copyEvents(r.cfg.Wire, resp, q.head.LastEvent)
		return out.excuseCut(rerr)
	})
	r.recordUnfinished(q, endpointDestination(e), rerr)
	r.recordLongEvent(q, endpointDestination(e), out)
	r.health.end(e.Name, clock.Now(), failed || (rerr != nil && rerr.Code == result.StreamCut))
	return rerr
}
