package gateway

import (
	"net/http"

	"github.com/bellgap/bellgap/internal/quarantine"
)

// suspectOf returns what a request of a customer is known by. Callers name boxes by address, so the host does not count.
func suspectOf(r *http.Request, customer string, body []byte) quarantine.Suspect {
	return quarantine.Identity{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Customer: customer, Body: body}.Suspect()
}
