package gateway

import (
	"net/http"
	"strings"

	"github.com/bellgap/bellgap/internal/customer"
	"github.com/bellgap/bellgap/internal/result"
)

// authorize checks the caller's token against the co-operative's and counts the request in.
func (g *Gateway) authorize(r *http.Request, cooperative string) (leave func(), err *result.Error) {
	c, ok := g.cfg.Catalog.Cooperative(cooperative)
	limit := 0
	if ok {
		limit = c.MaxInFlight
		if !c.TokenSHA256.IsZero() && !tokenMatches(r, c.TokenSHA256) {
			return nil, result.New(result.Unauthorized, "co-operative %s", cooperative)
		}
	}
	if !g.enter(cooperative, limit) {
		return nil, result.New(result.CooperativeCap, "%d requests of %s are in flight", limit, cooperative)
	}
	return func() { g.exit(cooperative) }, nil
}

func tokenMatches(r *http.Request, want customer.Digest) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return ok && want.Matches(token)
}
