package relay

import (
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/result"
)

// allLeaveRetry is when callers may come back, at the soonest, that found all endpoints leaving: those that replace them are in discovery a second or two
// after they have started. They come back spread over as long again.
const allLeaveRetry = time.Second

// restSpread is over what time those come back that found all endpoints resting, from the end of the first rest on.
const restSpread = time.Second

// life returns the life of the endpoint that a request is sent to.
func (d destination) life() notice.Endpoint { return notice.Endpoint{Name: d.name, Started: d.started} }

// isOwn reports whether an answer to a request is that of the endpoint asked. Another one at its address, a surplus answer and whatever stands in between
// say nothing of it.
func isOwn(q *request, to destination, head AnswerHead) bool {
	if head.Elsewhere {
		return head.Instance == to.name
	}
	return head.ID != "" && head.ID == q.head.ID
}

// hear takes in what the head of an answer says of its endpoint.
func (r *Relay) hear(q *request, to destination, head AnswerHead, sound bool) {
	w := head.Notice
	if isOwn(q, to, head) {
		r.hearRate(to, w, sound)
		r.cfg.Notices.Heard(clock.Now(), to.life(), w)
		return
	}
	if w.Leaving || w.Rest > 0 || w.Rate.Limited {
		r.cfg.Scope.Counter("notices_of_others").Inc(1)
		klog.V(1).InfoS("word of an answer that is not the endpoint's", "endpoint", to.name, "asked_as", q.head.ID, "answered_as", head.ID, "instance", head.Instance,
			"leaving", w.Leaving, "rest", w.Rest, "rate", w.Rate.Rate)
	}
}

// unwanted returns why a request may not be sent to an endpoint by what that has said of itself, nil if it may. It is asked again right before each send:
// what was chosen, or let in by an owner or a keeper, may have waited meanwhile.
func (r *Relay) unwanted(to destination) *result.Error {
	now := clock.Now()
	if r.cfg.Notices.Leaves(now, to.life()) {
		r.cfg.Scope.Counter("kept_from_leaving").Inc(1)
		return result.New(result.EndpointLeaving, "%s", to.name)
	}
	wait, ok := r.cfg.Notices.Enter(now, to.life())
	if ok {
		return nil
	}
	r.cfg.Scope.Counter("kept_from_resting").Inc(1)
	rerr := result.New(result.EndpointResting, "%s", to.name)
	rerr.RetryAfter = wait
	return rerr
}

// rests reports whether an endpoint is to get nothing from this box now. It was not asked of other boxes: they go on sending there, and a request that came
// here is not handed to them, as that would be the same load by another way.
func (r *Relay) rests(e catalog.EndpointView) bool {
	return r.cfg.Notices.Any() && r.cfg.Notices.Rest(clock.Now(), notice.Endpoint{Name: e.Name, Started: e.Spec.Started}) > 0
}

// nobodyWants refuses a request if all endpoints that could take it leave, or rest; nil if there is another one.
func (r *Relay) nobodyWants(q *request) *result.Error {
	t := r.cfg.Catalog.Topology()
	now := clock.Now()
	var resting shortest
	there := 0
	for _, e := range t.Endpoints[q.service] {
		if view, ok := t.Engines[e.Name]; ok && q.head.Model != "" && view.Spec.BaseModel != q.head.Model {
			continue
		}
		there++
		if e.Spec.Leaving {
			continue
		}
		rest := r.cfg.Notices.Rest(now, notice.Endpoint{Name: e.Name, Started: e.Spec.Started})
		if rest == 0 {
			return nil
		}
		resting.add(rest)
	}
	switch {
	case resting.count > 0:
		rerr := result.New(result.EndpointResting, "%s", q.service)
		rerr.RetryAfter = resting.wait + rand.N(restSpread)
		return rerr
	case there > 0:
		// What ends at any moment is given no new work, and nothing is there to wait for.
		rerr := result.New(result.EndpointLeaving, "%s", q.service)
		rerr.RetryAfter = allLeaveRetry + rand.N(allLeaveRetry)
		return rerr
	default:
		return nil
	}
}

// notBeforeRest refuses anew what has not run, and what nobody would take now if it came back: before the first rest is over that would be in vain.
func (r *Relay) notBeforeRest(q *request, rerr *result.Error) *result.Error {
	if rerr == nil || q.sent > 0 || (rerr.Code != result.BackendRefused && rerr.Code != result.EndpointResting) {
		return rerr
	}
	if nobody := r.nobodyWants(q); nobody != nil {
		return nobody
	}
	return rerr
}
