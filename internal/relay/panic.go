package relay

import (
	"fmt"
	"runtime/debug"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/result"
)

// guardHead calls f, which reads the head of an answer. If f panics, the answer counts as lost, so that the request gives back its place at the endpoint and
// its caller gets an error.
func (r *Relay) guardHead(q *request, f func() *result.Error) *result.Error {
	rerr, cause := r.callRecovered(q, f)
	if cause != nil {
		return result.New(result.AnswerLost, "the head of the answer could not be read")
	}
	return rerr
}

// guardBody calls f, which forwards the body of an answer. If f panics, the answer counts as cut. It is then not known how much of it the caller has
// received, so the request is not sent again.
func (r *Relay) guardBody(q *request, f func() *result.Error) *result.Error {
	rerr, cause := r.callRecovered(q, f)
	if cause != nil {
		q.isForwardedUnknown = true
		return result.New(result.StreamCut, "the answer could not be forwarded")
	}
	return rerr
}

// callRecovered returns the result of f or, if it panics, the cause.
func (r *Relay) callRecovered(q *request, f func() *result.Error) (rerr *result.Error, cause any) {
	defer func() {
		if cause = recover(); cause == nil {
			return
		}
		r.cfg.Scope.Counter("answer_panics").Inc(1)
		klog.ErrorS(fmt.Errorf("panic: %v", cause), "answer could not be handled", "request", q.head.ID, "endpoint", q.lastEndpoint, "stack", string(debug.Stack()))
	}()
	return f(), nil
}
