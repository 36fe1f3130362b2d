package relay

import (
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/demand"
	"github.com/bellgap/bellgap/internal/result"
)

// checkShare refuses a request for a scarce service that is over the share of its urgency or of its customer. It is called before any owner is asked, and
// returns the charged units of a refused request.
func (r *Relay) checkShare(q *request) *result.Error {
	if r.cfg.Gate == nil || !r.cfg.Catalog.Topology().IsScarce(q.service) {
		return nil
	}
	q.isDemand = true
	refusal := r.cfg.Gate.Check(clock.Now(), q.service, q.urgency(), q.customerName())
	if refusal == nil {
		return nil
	}
	q.overShare = refusal.Reason
	r.refundUnits(q)
	rerr := result.New(result.OverShare, "%s", refusal)
	rerr.RetryAfter = refusal.RetryAfter
	return rerr
}

// countDemand counts the end of a request that is part of the demand on its service.
func (r *Relay) countDemand(q *request, code result.Code) {
	if !q.isDemand || !countsAsAsked(code) {
		return
	}
	outcome := demand.Unserved
	switch {
	case q.overShare != "":
		outcome = q.overShare.Outcome()
	case code == result.OK:
		outcome = demand.Served
	}
	r.cfg.Demand.Record(clock.Now(), demand.Request{
		Service: q.service, Urgency: q.urgency(), Customer: q.customerName(), Tokens: q.head.Prompt + q.head.Output, Outcome: outcome,
	})
}

// countsAsAsked reports whether a request that ended with a code is part of what was asked of its service. A request that its caller has given up, that is
// held in quarantine, or whose key was revoked while it waited, does not tell what the engines can serve.
func countsAsAsked(code result.Code) bool {
	switch code {
	case result.CallerGone, result.Quarantined, result.Unauthorized, result.ConfigOld:
		return false
	default:
		return true
	}
}
