package relay

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
)

// unprovenLogInterval is the time between two log lines on the unproven rejections of one endpoint.
const unprovenLogInterval = 10 * time.Second

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
