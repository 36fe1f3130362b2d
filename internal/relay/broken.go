package relay

import (
	"context"

	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/result"
)

// settle takes in how a try ended for the endpoint that ran it. It returns once what an ended endpoint says of the request is known where it has to
// be, so that neither this box's next try nor the caller's meets a box that does not know.
func (r *Relay) settle(ctx context.Context, q *request, to destination, rerr *result.Error) {
	switch {
	case !r.cfg.Policy.On(policy.Quarantine):
	case rerr == nil:
		r.cfg.Quarantine.Ran(q.fingerprint)
	case rerr.BrokenOff:
		r.cfg.Quarantine.BrokenOff(ctx, q.fingerprint, q.what(), quarantine.Endpoint{Name: to.name, Address: to.address, Started: to.started})
	}
}

// held refuses a request that is held.
func (r *Relay) held(q *request) *result.Error {
	if !r.cfg.Policy.On(policy.Quarantine) {
		return nil
	}
	return r.cfg.Quarantine.Refusal(q.fingerprint)
}

// fingerprintOf returns what a request is known by when it comes again, under whatever id and to whichever box.
func fingerprintOf(q *request) quarantine.Fingerprint {
	return quarantine.Identity{
		Method: q.in.Method, Host: q.in.Host, Path: q.in.URL.Path, Query: q.in.URL.RawQuery, Customer: q.customerName(), Body: q.body,
	}.Fingerprint()
}

// what names the request for operators, without its query and body.
func (q *request) what() string {
	text := q.in.Method + " " + q.in.Host + q.in.URL.Path
	if name := q.customerName(); name != "" {
		text += " of " + name
	}
	return text
}
