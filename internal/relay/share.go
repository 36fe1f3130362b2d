package relay

import (
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/demand"
	"github.com/bellgap/bellgap/internal/result"
)

// restrict decides whether a request for a scarce service is over the share of its urgency or of its customer. Such a request may only take room
// that no other request needs.
func (r *Relay) restrict(q *request) {
	if r.cfg.Gate == nil || !r.isModelRequest(q) || !r.cfg.Catalog.Topology().IsScarce(q.service) {
		return
	}
	q.isDemand = true
	q.restriction = r.cfg.Gate.Check(clock.Now(), q.service, q.urgency(), q.customerName())
}

// countTaken counts a request that an engine took or may have run. It is no longer restricted: its tries at other engines continue a run that was granted.
func (r *Relay) countTaken(q *request) {
	q.restriction = nil
	r.recordDemand(q, demand.Served)
}

// countUntaken counts a request that ended without an engine having taken it, if that was due to a lack of capacity. Other failures tell nothing
// about what the engines can serve.
func (r *Relay) countUntaken(q *request, code result.Code) {
	switch {
	case q.overShare != "":
		r.recordDemand(q, q.overShare.Outcome())
	case isLackOfCapacity(code):
		r.recordDemand(q, demand.Unserved)
	}
}

// recordDemand counts a request once.
func (r *Relay) recordDemand(q *request, outcome demand.Outcome) {
	if !q.isDemand {
		return
	}
	q.isDemand = false
	r.cfg.Demand.Record(clock.Now(), demand.Request{
		Service: q.service, Urgency: q.urgency(), Customer: q.customerName(), Tokens: q.head.Prompt + q.head.Output, Outcome: outcome,
	})
}

// isLackOfCapacity reports whether a request ended with a code because no engine could start it in time.
func isLackOfCapacity(code result.Code) bool {
	switch code {
	case result.DeadlineUnmet, result.QueueFull, result.Crowded, result.TryNext, result.RateLimited, result.OverShare:
		return true
	default:
		return false
	}
}
