package gateway

import (
	"net/http"

	"github.com/bellgap/bellgap/internal/quarantine"
)

// newSuspect returns the identity of a customer's request for the quarantine.
// It excludes the host, because callers use the addresses of different boxes.
func newSuspect(r *http.Request, customer string, body []byte) quarantine.Suspect {
	return quarantine.Identity{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Customer: customer, Body: body}.Suspect()
}
