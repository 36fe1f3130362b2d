package relay

import (
	"context"

	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/result"
)

// settle takes in how a try ended for the endpoint that ran it. It returns once what an ended endpoint says of the request is known where it has to
// be, so that neither this box's next try nor the caller's meets a box that does not know.
func (r *Relay) settle(ctx context.Context, q *request, to destination, rerr *result.Error) {
	r.cfg.Quarantine.Settle(ctx, q.suspect, quarantine.Endpoint{Name: to.name, Address: to.address, Started: to.started}, rerr)
}

// held refuses a request that is held.
func (r *Relay) held(q *request) *result.Error {
	return r.cfg.Quarantine.Refusal(q.suspect.Fingerprint)
}

// suspectOf returns what a request is known by when it comes again, under whatever id and to whichever box.
func suspectOf(q *request) quarantine.Suspect {
	return quarantine.Identity{
		Method: q.in.Method, Host: q.in.Host, Path: q.in.URL.Path, Query: q.in.URL.RawQuery, Customer: q.customerName(), Body: q.body,
	}.Suspect()
}
