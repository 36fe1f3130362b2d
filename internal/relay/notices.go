package relay

import (
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/result"
)

// allLeaveRetry is when callers may come back, at the soonest, that found all endpoints leaving: those that replace them are in discovery a second or two
// after they have started. They come back spread over as long again.
const allLeaveRetry = time.Second

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
func (r *Relay) hear(q *request, to destination, head AnswerHead) {
	w := head.Notice
	if !isOwn(q, to, head) {
		if w.Leaving || w.Rest > 0 {
			r.cfg.Scope.Counter("notices_of_others").Inc(1)
			klog.InfoS("word of an answer that is not the endpoint's", "endpoint", to.name, "asked_as", q.head.ID, "answered_as", head.ID, "instance", head.Instance, "leaving", w.Leaving, "rest", w.Rest)
		}
		return
	}
	r.cfg.Notices.Heard(clock.Now(), to.life(), w)
}

// unwanted returns why a request may not be sent to an endpoint by what that has said of itself, nil if it may. It is asked again right before each send:
// what was chosen, or let in by an owner or a keeper, may have waited meanwhile.
func (r *Relay) unwanted(to destination) *result.Error {
	if !r.cfg.Notices.Leaves(clock.Now(), to.life()) {
		return nil
	}
	r.cfg.Scope.Counter("kept_from_leaving").Inc(1)
	return result.New(result.EndpointLeaving, "%s", to.name)
}

// allLeave reports whether a service has endpoints, all of which leave, by their own word or by discovery's.
func (r *Relay) allLeave(service string) bool {
	all := r.cfg.Catalog.Topology().Endpoints[service]
	for _, e := range all {
		if !e.Spec.Leaving {
			return false
		}
	}
	return len(all) > 0
}

// allLeaving refuses a request that only endpoints could take which leave: what ends at any moment is given no new work, and nothing is there to wait for.
func allLeaving(service string) *result.Error {
	rerr := result.New(result.EndpointLeaving, "%s", service)
	rerr.RetryAfter = allLeaveRetry + rand.N(allLeaveRetry)
	return rerr
}
