package relay

import (
	"context"

	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/result"
)

// reportOutcome reports the result of a try to the quarantine. If the endpoint crashed, reportOutcome returns only
// after all boxes that must know it have been notified. Otherwise the next try of this box or of the caller could
// reach a box that has not been notified.
func (r *Relay) reportOutcome(ctx context.Context, q *request, to destination, rerr *result.Error) {
	suspect := q.suspect
	if rerr == nil && !q.wasRun {
		// An answer such as an error does not show that the endpoint ran the prompt.
		suspect.Parts = nil
	}
	r.cfg.Quarantine.RecordOutcome(ctx, suspect, quarantine.Endpoint{Name: to.name, Address: to.address, Started: to.started}, rerr)
}

// checkQuarantine returns an error if the request is held in quarantine.
func (r *Relay) checkQuarantine(q *request) *result.Error {
	return r.cfg.Quarantine.Refusal(q.suspect)
}

// suspectOf returns the identity of a request, by which any box recognizes it if it is sent again, even with another
// id.
func suspectOf(q *request) quarantine.Suspect {
	suspect := quarantine.Identity{
		Method: q.incoming.Method, Host: q.incoming.Host, Path: q.incoming.URL.Path, Query: q.incoming.URL.RawQuery, Customer: q.customerName(), Body: q.body,
	}.Suspect()
	suspect.Parts = quarantine.PartsOf(q.head.SharedParts)
	return suspect
}
