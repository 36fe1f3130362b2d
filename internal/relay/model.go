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
	// startWithin is how many times its objective a request may wait for its start: with more, those that come late take the place of
	// those that could be in time; with less, more are refused than that gains.
	startWithin = 1.5
	// holdSlack is added to what is left of a request when its grant's life is set.
	holdSlack = time.Second
	// stallFirst is how many objectives, and stallAfter how long between two events, a resumable stream may be silent before
	// it is taken up elsewhere; callers hang up after two seconds at the earliest.
	stallFirst = 2
	stallAfter = time.Second
)

// refOf returns the adapter version that a request has to be answered by, in the newest version known here.
func (r *Relay) refOf(q *request) (resource.Ref, int64) {
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

// AdapterName returns the fleet-wide name of an adapter of a base model.
func AdapterName(model, adapter string) string { return model + "." + adapter }

// serveModel answers a request from an engine that holds its adapter version.
func (r *Relay) serveModel(ctx context.Context, out *output, q *request) *result.Error {
	return r.notBeforeRest(q, r.tryEngines(ctx, out, q))
}

// tryEngines sends a request to one engine after the other until one has answered it.
func (r *Relay) tryEngines(ctx context.Context, out *output, q *request) *result.Error {
	avoid := map[string]bool{}
	lastEvent := q.head.LastEvent
	var last *result.Error
	for q.maySend() {
		if rerr := r.held(q); rerr != nil {
			return rerr
		}
		if q.arrivals > 0 && !r.mayRepeat(q, last) {
			break
		}
		// Looked up each time: a newer version may have been named meanwhile.
		ref, version := r.refOf(q)
		q.ref = ref.String()
		c, rerr := r.choose(ctx, q, ref, avoid)
		if rerr != nil {
			if last == nil {
				last = rerr
			}
			break
		}
		if r.hasLeft(q.service, c.name) {
			// The grant was waited for; until it came the engine may have begun to leave.
			c.end(owner.EndWhole)
			avoid[c.name] = true
			continue
		}
		lastEvent, rerr = r.runOn(ctx, out, q, c, Attempt{Version: version, LastEvent: lastEvent})
		r.settle(ctx, q, c.destination(), rerr)
		r.remember(ref, c.name, rerr)
		if rerr == nil {
			return nil
		}
		avoid[c.name] = rerr.Code != result.NotHeld
		last = rerr
		if out.started && !q.route.Idempotent() {
			break
		}
		if !r.elsewhere(q, rerr) {
			break
		}
	}
	return last
}

// hasLeft reports whether an endpoint is gone or gets no new work, as this box knows now.
func (r *Relay) hasLeft(service, endpoint string) bool {
	all := r.cfg.Catalog.Topology().Endpoints[service]
	i := slices.IndexFunc(all, func(e catalog.EndpointView) bool { return e.Name == endpoint })
	return i < 0 || all[i].Spec.Leaving
}

// remember notes what the end of a request says of its engine's holdings.
func (r *Relay) remember(ref resource.Ref, engine string, rerr *result.Error) {
	switch {
	case rerr == nil:
		r.memory.answered(ref, engine, clock.Now())
	case rerr.Code == result.NotHeld:
		r.memory.lacks(ref, engine)
	}
}

// runOn sends a request to the chosen engine and passes its answer on. It returns the id of the last event passed on.
func (r *Relay) runOn(ctx context.Context, out *output, q *request, c *chosen, a Attempt) (string, *result.Error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := r.watchStall(q, cancel)
	defer watch.stop()
	r.health.begin(c.name)
	resp, rerr := r.exchange(ctx, q, c.destination(), a)
	if rerr != nil {
		rerr = watch.blame(rerr)
		if rerr.Code.Info().Ran != result.RanNo {
			q.sent++
		}
		r.health.end(c.name, clock.Now(), isFault(rerr))
		c.end(endOf(rerr))
		return a.LastEvent, rerr
	}
	defer func() { _ = resp.Body.Close() }()
	q.sent++
	last := a.LastEvent
	if resp.StatusCode != http.StatusOK || q.route.Kind != resource.RouteStream {
		rerr = r.passOther(out, q, resp)
	} else {
		out.beat = beats(c, watch)
		last, rerr = out.copyEvents(r.cfg.Wire, resp, a.LastEvent)
		rerr = watch.blame(rerr)
	}
	r.health.end(c.name, clock.Now(), resp.StatusCode >= http.StatusInternalServerError || (rerr != nil && rerr.Code == result.StreamCut))
	c.end(endOf(rerr))
	return last, rerr
}

// beats returns what is called for each event: the first one tells the owner that the prompt has been read.
func beats(c *chosen, watch *stallWatch) func() {
	first := sync.OnceFunc(c.read)
	return func() {
		first()
		watch.beat()
	}
}

// passOther passes an answer on that is no stream of events; a failure is an error where the request may run again.
func (r *Relay) passOther(out *output, q *request, resp *http.Response) *result.Error {
	if resp.StatusCode >= http.StatusInternalServerError && q.route.Idempotent() && q.sent < q.route.Attempts {
		return result.New(result.AnswerLost, "status %d", resp.StatusCode)
	}
	if out.started {
		return result.New(result.StreamCut, "status %d in place of the rest", resp.StatusCode)
	}
	return out.copyWhole(resp)
}

// endOf says what the end of a request means for its engine's adapter.
func endOf(rerr *result.Error) owner.End {
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

// stallWatch ends an exchange whose stream has fallen silent, where the stream can be taken up elsewhere.
type stallWatch struct {
	timer *time.Timer
	fired chan struct{}
}

func (r *Relay) watchStall(q *request, cancel context.CancelFunc) *stallWatch {
	w := &stallWatch{fired: make(chan struct{})}
	if !r.cfg.Policy.On(policy.Stalls) || !q.route.Idempotent() || q.sent+1 >= q.route.Attempts {
		return w
	}
	w.timer = time.AfterFunc(stallFirst*time.Duration(q.route.Objective), func() {
		close(w.fired)
		cancel()
	})
	return w
}

// beat says that an event has come.
func (w *stallWatch) beat() {
	if w.timer != nil {
		w.timer.Reset(stallAfter)
	}
}

func (w *stallWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// blame names the silence as the cause of a failure that it brought about.
func (w *stallWatch) blame(rerr *result.Error) *result.Error {
	if rerr == nil {
		return nil
	}
	select {
	case <-w.fired:
		return result.New(result.StreamCut, "the engine fell silent")
	default:
		return rerr
	}
}
