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

// allLeavingRetryAfter is the minimum retry delay for callers that found all endpoints leaving. Replacements are
// listed in discovery a second or two after they have started. The retries are spread over the same time again.
const allLeavingRetryAfter = time.Second

// pauseRetrySpread is the time over which the retries of callers that found all endpoints paused are spread. It
// begins when the first of these pauses ends. An endpoint is paused for the time in which it wants no requests from
// this box, according to its Retry-After.
const pauseRetrySpread = time.Second

// noticeEndpoint returns the name and start of the endpoint, by which its notices are stored.
func (d destination) noticeEndpoint() notice.Endpoint {
	return notice.Endpoint{Name: d.name, Started: d.started}
}

// isFromDestination reports whether an answer comes from the endpoint that the request was sent to. Answers from another
// endpoint at its address, surplus answers, and answers from proxies in between say nothing about the endpoint.
func isFromDestination(q *request, to destination, head AnswerHead) bool {
	if head.ID != "" && head.ID != q.head.ID {
		return false
	}
	if head.Misdirected {
		return head.Instance == to.name
	}
	return head.ID != ""
}

// handleNotice records the notice in the head of an answer. It ignores notices that do not come from the endpoint
// itself. valid is set if the answer passed all checks.
func (r *Relay) handleNotice(q *request, to destination, head AnswerHead, valid bool) {
	notices := head.Notice
	if isFromDestination(q, to, head) {
		r.handleRate(to, notices, valid)
		r.cfg.Notices.RecordNotices(clock.Now(), to.noticeEndpoint(), notices)
		return
	}
	if notices.Leaving || notices.RetryAfter > 0 || notices.Rate.IsSet() {
		r.cfg.Scope.Counter("notices_of_others").Inc(1)
		klog.V(1).InfoS("ignored a notice that did not come from the endpoint itself", "endpoint", to.name, "asked_as", q.head.ID, "answered_as", head.ID, "instance", head.Instance,
			"leaving", notices.Leaving, "rest", notices.RetryAfter, "rate", notices.Rate.Rate)
	}
}

// checkNotices returns an error if the notices of an endpoint forbid sending it a request. Otherwise the request counts
// as sent. checkNotices is called right before each send: the notices may have changed since the endpoint was chosen,
// or since an owner or a keeper admitted the request.
func (r *Relay) checkNotices(to destination) *result.Error {
	now := clock.Now()
	if r.cfg.Notices.IsLeaving(now, to.noticeEndpoint()) {
		r.cfg.Scope.Counter("kept_from_leaving").Inc(1)
		return result.New(result.EndpointLeaving, "%s", to.name)
	}
	wait, ok := r.cfg.Notices.AllowRequest(now, to.noticeEndpoint())
	if ok {
		return nil
	}
	r.cfg.Scope.Counter("kept_from_resting").Inc(1)
	rerr := result.New(result.EndpointResting, "%s", to.name)
	rerr.RetryAfter = wait
	return rerr
}

// isPaused reports whether an endpoint currently wants no requests from this box. The pause does not apply to other
// boxes, which continue to send. A request at this box is not forwarded to them, because the load on the endpoint
// would be the same.
func (r *Relay) isPaused(e catalog.EndpointView) bool {
	return r.cfg.Notices.HasEntries() && r.cfg.Notices.RemainingPause(clock.Now(), notice.Endpoint{Name: e.Name, Started: e.Spec.Started}) > 0
}

// refuseIfNoneAvailable refuses a request if all endpoints that could take it are leaving or paused. It returns nil
// if there is another endpoint, or no endpoint at all.
func (r *Relay) refuseIfNoneAvailable(q *request) *result.Error {
	t := r.cfg.Catalog.Topology()
	now := clock.Now()
	var paused refusals
	total := 0
	for _, e := range t.Endpoints[q.service] {
		if view, ok := t.Engines[e.Name]; ok && q.head.Model != "" && view.Spec.BaseModel != q.head.Model {
			continue
		}
		if !r.allowsVersion(q, e.Spec.SoftwareVersion) {
			continue
		}
		total++
		if e.Spec.Leaving {
			continue
		}
		pause := r.cfg.Notices.RemainingPause(now, notice.Endpoint{Name: e.Name, Started: e.Spec.Started})
		if pause == 0 {
			return nil
		}
		paused.add(pause)
	}
	switch {
	case paused.count > 0:
		rerr := result.New(result.EndpointResting, "%s", q.service)
		rerr.RetryAfter = paused.shortestWait + rand.N(pauseRetrySpread)
		return rerr
	case total > 0:
		// Endpoints that are leaving may end at any moment, so they get no new requests, and waiting for them is useless.
		rerr := result.New(result.EndpointLeaving, "%s", q.service)
		rerr.RetryAfter = allLeavingRetryAfter + rand.N(allLeavingRetryAfter)
		return rerr
	default:
		return nil
	}
}

// delayRetryUntilPauseEnds replaces the error of a request that did not run, if all endpoints are leaving or paused.
// The new error delays the caller's retry until the first pause ends, since an earlier retry would be refused again.
func (r *Relay) delayRetryUntilPauseEnds(q *request, rerr *result.Error) *result.Error {
	if rerr == nil || q.possibleRuns > 0 || (rerr.Code != result.BackendRefused && rerr.Code != result.EndpointResting) {
		return rerr
	}
	if unavailable := r.refuseIfNoneAvailable(q); unavailable != nil {
		return unavailable
	}
	return rerr
}
