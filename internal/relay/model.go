package relay

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

const (
	// firstVersion is the version of an adapter that has never been replaced.
	firstVersion = 1
	// maxStartObjectives is how many objectives a request may wait for its start. With a higher value, late requests
	// take the place of requests that could still be in time. With a lower one, more requests are refused than
	// additionally answered in time.
	maxStartObjectives = 1.5
	// inTimeStartObjectives replaces maxStartObjectives for scarce services, whose queues fill up to the limit. In trials, 0.75 refused
	// more requests, and fewer were in time.
	inTimeStartObjectives = 1.0
	// maxPromptShare is the part of the objective that the prompt of a request may take for inTimeStartObjectives to apply.
	maxPromptShare = 0.5
	// grantSlack is added to the time that a request has left to get the lifetime of its grant.
	grantSlack = time.Second
)

// latestRef returns the adapter version that must answer a request, as a reference and as a number. It is the newest
// version that this box knows.
func (r *Relay) latestRef(q *request) (resource.Ref, int64) {
	if q.head.Adapter == "" {
		return resource.Ref{}, 0
	}
	name := AdapterName(q.head.Model, q.head.Adapter)
	version, ok := r.cfg.Catalog.LatestVersion(name)
	if !ok {
		version = firstVersion
	}
	return resource.Ref{Adapter: name, Version: strconv.FormatInt(version, 10)}, version
}

// AdapterName returns the name that identifies an adapter of a base model in the whole fleet.
func AdapterName(model, adapter string) string { return model + "." + adapter }

// serveModel answers a request from an engine that holds its adapter version.
func (r *Relay) serveModel(ctx context.Context, out *output, q *request) *result.Error {
	return r.delayRetryUntilPauseEnds(q, out.excuseCut(r.tryEngines(ctx, out, q)))
}

// tryEngines sends a request to one engine after another until one of them has answered it.
func (r *Relay) tryEngines(ctx context.Context, out *output, q *request) *result.Error {
	defer r.returnContinuation(q)
	avoid := map[string]bool{}
	lastEvent := q.head.LastEvent
	previous := ""
	var lastErr *result.Error
	for q.canSend() {
		if rerr := r.checkQuarantine(q); rerr != nil {
			return rerr
		}
		next := q.takeContinuation()
		if next == nil {
			var rerr *result.Error
			if next, rerr = r.chooseNext(ctx, q, avoid, lastErr); rerr != nil {
				lastErr = rerr
				break
			}
		}
		c := next.engine
		if r.isLeavingOrGone(q.service, c.name) {
			// The engine may have started to leave while the request waited for the grant.
			c.release(owner.EndUnused)
			r.refundRetry(q)
			avoid[c.name] = true
			continue
		}
		if !q.binding.allows(c.softwareVersion) {
			// The search for this engine began before the first event.
			r.logVersionMismatch(q, c)
			c.release(owner.EndUnused)
			r.refundRetry(q)
			avoid[c.name] = true
			continue
		}
		q.ref = next.ref.String()
		if q.possibleRuns > 0 && q.route.Kind == resource.RouteStream {
			r.logContinuation(q, previous, c, lastEvent)
		}
		var rerr *result.Error
		lastEvent, rerr = r.sendToEngine(ctx, out, q, c, avoid, Attempt{Version: next.version, LastEvent: lastEvent})
		q.pending.endRun()
		r.reportOutcome(ctx, q, c.destination(), rerr)
		r.recordHolding(next.ref, c.name, rerr)
		if rerr == nil {
			return nil
		}
		avoid[c.name] = rerr.Code != result.NotHeld
		previous, lastErr = c.name, rerr
		if out.started && !q.route.Idempotent() {
			break
		}
		if !r.canTryNext(q, rerr) {
			break
		}
		r.allowContinuation(q)
	}
	return lastErr
}

// chooseNext chooses the engine for the next try, and takes a retry from the budget if the request has arrived at an engine
// before. lastErr is the error of the previous try, which chooseNext returns if there is no next one.
func (r *Relay) chooseNext(ctx context.Context, q *request, avoid map[string]bool, lastErr *result.Error) (*continuation, *result.Error) {
	if q.arrivals > 0 && (r.refuseLateRun(q) != nil || !r.spendRetry(q, lastErr)) {
		return nil, lastErr
	}
	// The version is looked up for each try, because a newer one may have been published since.
	ref, version := r.latestRef(q)
	q.ref = ref.String()
	choose := r.chooseEngine
	if q.restriction != nil {
		choose = r.chooseSpare
	}
	c, rerr := choose(ctx, q, ref, avoid)
	if rerr == nil {
		return &continuation{engine: c, ref: ref, version: version}, nil
	}
	r.refundRetry(q)
	if lastErr != nil {
		// The request ends with the error of its earlier try.
		q.overShare = ""
		return nil, lastErr
	}
	return nil, rerr
}

// refundRetry returns the retry that was taken for a try that is not sent.
func (r *Relay) refundRetry(q *request) {
	if q.arrivals > 0 {
		r.budgets.refund(q.service)
	}
}

// isLeavingOrGone reports whether an endpoint is gone or receives no new requests, according to this box's catalog.
func (r *Relay) isLeavingOrGone(service, endpoint string) bool {
	all := r.cfg.Catalog.Topology().Endpoints[service]
	i := slices.IndexFunc(all, func(e catalog.EndpointView) bool { return e.Name == endpoint })
	return i < 0 || all[i].Spec.Leaving
}

// recordHolding records whether an engine holds an adapter version, according to the result of a request.
func (r *Relay) recordHolding(ref resource.Ref, engine string, rerr *result.Error) {
	switch {
	case rerr == nil:
		r.holdings.add(ref, engine, clock.Now())
	case rerr.Code == result.NotHeld:
		r.holdings.remove(ref, engine)
	}
}

// sendToEngine sends a request to the chosen engine and forwards the answer. It returns the id of the last forwarded
// event. avoid lists the engines at which the stream does not continue if this one stalls.
func (r *Relay) sendToEngine(ctx context.Context, out *output, q *request, c *chosenEngine, avoid map[string]bool, a Attempt) (string, *result.Error) {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := r.startStreamWatch(ctx, q, c, avoid, cancel)
	r.health.begin(c.name)
	place := r.unanswered.Add(func() { c.release(owner.EndBroken) })
	resp, rerr := r.exchange(place.Trace(runCtx), q, c.destination(), a)
	if rerr != nil {
		watch.stop(q)
		rerr = watch.stallError(rerr)
		if rerr.Code.Info().Ran != result.RanNo {
			q.possibleRuns++
			r.countTaken(q)
		}
		r.health.end(c.name, clock.Now(), isEndpointFault(rerr))
		end := grantEnd(rerr)
		if r.isRoomRejection(q, c.destination(), rerr) {
			end = owner.EndRejected
		}
		place.End(func() { c.release(end) })
		return a.LastEvent, rerr
	}
	place.RecordAnswer()
	// Closing the unread body closes the connection, so that the run has ended before the stream continues elsewhere.
	defer func() { _ = resp.Body.Close() }()
	q.possibleRuns++
	r.countTaken(q)
	lastEvent := a.LastEvent
	out.hasCrashed = r.crashCheck(ctx, q, c.destination())
	if resp.StatusCode != http.StatusOK || q.route.Kind != resource.RouteStream {
		out.onEvent = watch.recordArrival
		rerr = r.guardBody(q, func() *result.Error { return r.forwardNonStream(out, q, resp) })
		watch.stop(q)
	} else {
		out.onEvent, out.onForwarded = watch.newArrivalCallback(c), watch.recordForwarded
		rerr = r.guardBody(q, func() (rerr *result.Error) {
			lastEvent, rerr = out.copyEvents(r.cfg.Wire, resp, a.LastEvent)
			return rerr
		})
		watch.stop(q)
		if out.started {
			q.bindTo(c.softwareVersion)
		}
	}
	rerr = watch.stallError(rerr)
	r.recordUnfinished(q, c.destination(), rerr)
	r.recordLongEvent(q, c.destination(), out)
	cut := rerr != nil && rerr.Code == result.StreamCut && !out.isExcused(rerr)
	if cut {
		watch.stream.RecordCut(clock.Now())
	}
	c.recordGap(watch.stream.LongestGap())
	r.health.end(c.name, clock.Now(), resp.StatusCode >= http.StatusInternalServerError || cut)
	place.End(func() { c.release(grantEnd(rerr)) })
	return lastEvent, rerr
}

// forwardNonStream forwards an answer that is not a stream of events. A server error is returned as an error if the
// request may run again.
func (r *Relay) forwardNonStream(out *output, q *request, resp *http.Response) *result.Error {
	if resp.StatusCode >= http.StatusInternalServerError && q.route.Idempotent() && q.possibleRuns < q.route.Attempts {
		return result.New(result.AnswerLost, "status %d", resp.StatusCode)
	}
	if out.started {
		return result.New(result.StreamCut, "status %d instead of the rest of the stream", resp.StatusCode)
	}
	return out.copyAnswer(resp)
}

// grantEnd converts the result of a request to the end of its grant, as reported to the owner of the engine.
func grantEnd(rerr *result.Error) owner.End {
	switch {
	case rerr == nil:
		return owner.EndWhole
	case rerr.Code == result.NotHeld:
		return owner.EndNotLoaded
	case rerr.Code == result.NotListening:
		return owner.EndNotListening
	case rerr.Code.Info().Ran == result.RanNo:
		return owner.EndUnused
	default:
		return owner.EndBroken
	}
}
