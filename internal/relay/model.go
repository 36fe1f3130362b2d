package relay

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/policy"
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
	// grantSlack is added to the time that a request has left to get the lifetime of its grant.
	grantSlack = time.Second
	// firstEventObjectives is how many objectives a resumable stream may take until its first event. eventTimeout is the
	// longest time between two events. A stream that takes longer is resumed at another engine. Callers hang up after
	// two seconds at the earliest.
	firstEventObjectives = 2
	eventTimeout         = time.Second
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
	return r.delayRetryUntilPauseEnds(q, r.tryEngines(ctx, out, q))
}

// tryEngines sends a request to one engine after another until one of them has answered it.
func (r *Relay) tryEngines(ctx context.Context, out *output, q *request) *result.Error {
	avoid := map[string]bool{}
	lastEvent := q.head.LastEvent
	var lastErr *result.Error
	for q.canSend() {
		if rerr := r.checkQuarantine(q); rerr != nil {
			return rerr
		}
		if q.arrivals > 0 && !r.spendRetry(q, lastErr) {
			break
		}
		// The version is looked up for each try, because a newer one may have been published since.
		ref, version := r.latestRef(q)
		q.ref = ref.String()
		c, rerr := r.chooseEngine(ctx, q, ref, avoid)
		if rerr != nil {
			if lastErr == nil {
				lastErr = rerr
			}
			break
		}
		if r.isLeavingOrGone(q.service, c.name) {
			// The engine may have started to leave while the request waited for the grant.
			c.release(owner.EndWhole)
			avoid[c.name] = true
			continue
		}
		lastEvent, rerr = r.sendToEngine(ctx, out, q, c, Attempt{Version: version, LastEvent: lastEvent})
		r.reportOutcome(ctx, q, c.destination(), rerr)
		r.recordHolding(ref, c.name, rerr)
		if rerr == nil {
			return nil
		}
		avoid[c.name] = rerr.Code != result.NotHeld
		lastErr = rerr
		if out.started && !q.route.Idempotent() {
			break
		}
		if !r.canTryNext(q, rerr) {
			break
		}
	}
	return lastErr
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
// event.
func (r *Relay) sendToEngine(ctx context.Context, out *output, q *request, c *chosenEngine, a Attempt) (string, *result.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := r.startStallWatch(q, cancel)
	defer watch.stop()
	r.health.begin(c.name)
	resp, rerr := r.exchange(ctx, q, c.destination(), a)
	if rerr != nil {
		rerr = watch.stallError(rerr)
		if rerr.Code.Info().Ran != result.RanNo {
			q.possibleRuns++
		}
		r.health.end(c.name, clock.Now(), isEndpointFault(rerr))
		c.release(grantEnd(rerr))
		return a.LastEvent, rerr
	}
	defer func() { _ = resp.Body.Close() }()
	q.possibleRuns++
	lastEvent := a.LastEvent
	if resp.StatusCode != http.StatusOK || q.route.Kind != resource.RouteStream {
		rerr = r.forwardNonStream(out, q, resp)
	} else {
		out.onEvent = newEventCallback(c, watch)
		lastEvent, rerr = out.copyEvents(r.cfg.Wire, resp, a.LastEvent)
		rerr = watch.stallError(rerr)
	}
	r.health.end(c.name, clock.Now(), resp.StatusCode >= http.StatusInternalServerError || (rerr != nil && rerr.Code == result.StreamCut))
	c.release(grantEnd(rerr))
	return lastEvent, rerr
}

// newEventCallback returns the function to call for each event. Its first call notifies the owner that the engine has
// read the prompt.
func newEventCallback(c *chosenEngine, watch *stallWatch) func() {
	reportOnce := sync.OnceFunc(c.reportFirstToken)
	return func() {
		reportOnce()
		watch.resetTimer()
	}
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
		return owner.EndWhole
	default:
		return owner.EndBroken
	}
}

// stallWatch cancels an exchange whose stream has stalled, if the stream can be resumed at another engine.
type stallWatch struct {
	timer *time.Timer
	fired chan struct{}
}

// startStallWatch starts to watch a stream for stalls. The watch does nothing if the stream cannot be resumed.
func (r *Relay) startStallWatch(q *request, cancel context.CancelFunc) *stallWatch {
	w := &stallWatch{fired: make(chan struct{})}
	if !r.cfg.Policy.IsEnabled(policy.StallDetection) || !q.route.Idempotent() || q.possibleRuns+1 >= q.route.Attempts {
		return w
	}
	w.timer = time.AfterFunc(firstEventObjectives*time.Duration(q.route.Objective), func() {
		close(w.fired)
		cancel()
	})
	return w
}

// resetTimer restarts the timeout when an event has arrived.
func (w *stallWatch) resetTimer() {
	if w.timer != nil {
		w.timer.Reset(eventTimeout)
	}
}

func (w *stallWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// stallError returns an error that names the stall if a stall caused rerr, and rerr otherwise.
func (w *stallWatch) stallError(rerr *result.Error) *result.Error {
	if rerr == nil {
		return nil
	}
	select {
	case <-w.fired:
		return result.New(result.StreamCut, "the engine stopped sending events")
	default:
		return rerr
	}
}
