package relay

import (
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/notice"
)

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

// tellSent tells of a request that is sent to an endpoint which has said that it wants none.
func (r *Relay) tellSent(q *request, to destination) {
	left, rest := r.cfg.Notices.Said(clock.Now(), to.life())
	if left == 0 && rest == 0 {
		return
	}
	r.cfg.Scope.Counter("sent_unwanted").Inc(1)
	klog.V(1).InfoS("request sent to an endpoint that wants none", "request", q.head.ID, "endpoint", to.name, "said_ago", left, "rest_left", rest, "waited", clock.Since(q.came), "arrivals", q.arrivals)
}
