package gateway

import (
	"context"
	"net/http"

	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/result"
)

// suspect is a request as the quarantine sees it: one that comes again, to whichever box, is the same.
type suspect struct {
	Fingerprint quarantine.Fingerprint `json:"fingerprint"`
	What        string                 `json:"what"`
}

// suspectOf returns what a request of a customer is known by. Callers name boxes by address, so the host does not count.
func suspectOf(r *http.Request, customer string, body []byte) suspect {
	identity := quarantine.Identity{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Customer: customer, Body: body}
	return suspect{Fingerprint: identity.Fingerprint(), What: r.Method + " " + r.URL.Path + " of " + customer}
}

// settle takes in how a run ended for the back end that had the request.
func (g *Gateway) settle(ctx context.Context, s suspect, e quarantine.Endpoint, rerr *result.Error) {
	switch {
	case rerr == nil:
		g.cfg.Quarantine.Ran(s.Fingerprint)
	case rerr.BrokenOff:
		g.cfg.Quarantine.BrokenOff(ctx, s.Fingerprint, s.What, e)
	}
}
