package gateway

import (
	"net/http"
	"strings"

	"github.com/bellgap/bellgap/internal/customer"
	"github.com/bellgap/bellgap/internal/result"
)

// authorize checks the caller's token for a co-operative (the customer that owns the adapter) or a service, and counts the
// request as in flight. The caller must call end when the request has ended.
func (g *Gateway) authorize(r *http.Request, cooperative string) (end func(), err *result.Error) {
	c, ok := g.cfg.Catalog.Cooperative(cooperative)
	limit := 0
	if ok {
		limit = c.MaxInFlight
		if !c.TokenSHA256.IsZero() && !tokenMatches(r, c.TokenSHA256) {
			return nil, result.New(result.Unauthorized, "invalid token for co-operative %s", cooperative)
		}
	}
	if !g.beginRequest(cooperative, limit) {
		return nil, result.New(result.CooperativeCap, "limit of %d requests in flight reached for %s", limit, cooperative)
	}
	return func() { g.endRequest(cooperative) }, nil
}

func tokenMatches(r *http.Request, digest customer.Digest) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return ok && digest.Matches(token)
}
