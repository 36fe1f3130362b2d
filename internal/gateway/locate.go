package gateway

import (
	"net/http"
	"slices"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/placement"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// maxAddresses is the maximum number of addresses in a locate response.
const maxAddresses = 3

// LocateResponse is the response to GET /locate.
type LocateResponse struct {
	// Addresses lists the addresses to send the request to, best first.
	Addresses []string `json:"addresses"`
	// KeepSeconds is how long the response may be cached.
	KeepSeconds int `json:"keep_seconds"`
}

// handleLocate serves GET /locate?model=adapter@version and GET /locate?service=name.
func (g *Gateway) handleLocate(w http.ResponseWriter, r *http.Request) {
	addresses, rerr := g.locate(r.FormValue("model"), r.FormValue("service"))
	if rerr != nil {
		g.refuse(w, "", rerr)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, LocateResponse{addresses, int(g.cfg.Limits.LocateTTL.Seconds())})
}

// locate returns the addresses of boxes for a model or, if service is not empty, for a service.
func (g *Gateway) locate(model, service string) ([]string, *result.Error) {
	if !g.cfg.Ready() {
		return nil, result.New(result.NotReady, "%s", g.cfg.Box)
	}
	if service != "" {
		if _, ok := g.cfg.Catalog.Service(service); !ok {
			return nil, result.New(result.UnknownService, "%s", service)
		}
		return g.boxAddresses(service, nil), nil
	}
	ref, err := resource.ParseRef(model)
	if err != nil {
		return nil, result.New(result.BadRequest, "invalid model: %v", err)
	}
	a, ok := g.cfg.Catalog.Adapter(ref.Adapter)
	if !ok {
		return nil, result.New(result.UnknownAdapter, "%s", ref.Adapter)
	}
	if _, ok := g.cfg.Catalog.Version(ref); !ok {
		return nil, result.New(result.UnknownVersion, "%s", ref)
	}
	var owners []string
	for _, e := range g.candidates(ref, a.BaseModel) {
		owners = append(owners, e.Owner.Box)
	}
	return g.boxAddresses(ref.String(), owners), nil
}

// boxAddresses returns the addresses for callers of the preferred boxes, then of others. It omits boxes that are leaving or
// unresponsive.
func (g *Gateway) boxAddresses(key string, preferred []string) []string {
	t := g.cfg.Catalog.Topology()
	boxNames := make([]string, 0, len(t.Boxes))
	for name := range t.Boxes {
		boxNames = append(boxNames, name)
	}
	slices.Sort(boxNames)
	addresses := []string{}
	for _, name := range append(preferred, placement.Top(key, boxNames, 2*maxAddresses)...) {
		b := t.Boxes[name]
		address := b.Caller.String()
		if b.Leaving || g.unresponsive.Has(name, clock.Now()) || slices.Contains(addresses, address) {
			continue
		}
		addresses = append(addresses, address)
		if len(addresses) == maxAddresses {
			break
		}
	}
	return addresses
}

// otherBoxes returns the addresses for callers of other boxes.
func (g *Gateway) otherBoxes() []string {
	self := g.cfg.Catalog.Topology().Boxes[g.cfg.Box].Caller.String()
	return slices.DeleteFunc(g.boxAddresses(g.cfg.Box, nil), func(a string) bool { return a == self })
}
