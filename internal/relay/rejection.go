package relay

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/result"
)

// unprovenLogInterval is the time between two log lines on the unproven rejections of one endpoint.
const unprovenLogInterval = 10 * time.Second

// rejectionMemory is how long a second copy of a rejection is expected on the connection of the first one. Idle connections end sooner.
const rejectionMemory = time.Minute

// rejection identifies the rejection of a request by an endpoint.
type rejection struct{ endpoint, id string }

// recordRejection records that an endpoint has rejected a request.
func (r *Relay) recordRejection(q *request, to destination, rerr *result.Error) {
	if q.head.ID != "" && rerr.Code.Info().Ran == result.RanNo {
		r.rejections.Add(rejection{to.name, q.head.ID}, clock.Now())
	}
}

// Reasons why a rejection does not show that its request did not run.
const (
	unprovenNoID        = "no_id"
	unprovenNoStatement = "no_statement"
)

// unprovenReason returns why an answer that reads like a rejection does not show that the request did not run. It is empty for answers that
// do, and for all other answers.
func unprovenReason(q *request, status int, head AnswerHead) string {
	switch {
	case head.NotRun && head.ID == "" && q.head.ID != "":
		return unprovenNoID
	case !head.NotRun && impliesNotRun(status):
		return unprovenNoStatement
	default:
		return ""
	}
}

// recordUnproven counts and logs an answer that reads like a rejection but does not show that the request did not run.
func (r *Relay) recordUnproven(q *request, to destination, status int, head AnswerHead) {
	reason := unprovenReason(q, status, head)
	if reason == "" {
		return
	}
	r.cfg.Scope.Tagged(map[string]string{"reason": reason}).Counter("rejections_unproven").Inc(1)
	now := clock.Now()
	if r.loggedUnproven.Has(to.name, now) {
		return
	}
	r.loggedUnproven.Add(to.name, now)
	klog.InfoS("rejection does not show whether its request ran", "request", q.head.ID, "endpoint", to.name, "route", q.route.Name, "status", status, "reason", reason, "signed", head.Signed)
}
