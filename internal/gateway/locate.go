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

// maxAddresses is how many addresses a locate answer names.
const maxAddresses = 3

// Located is the answer to GET /locate.
type Located struct {
	// Addresses lists where to send the request, best first.
	Addresses []string `json:"addresses"`
	// KeepSeconds is how long the answer is good for.
	KeepSeconds int `json:"keep_seconds"`
}

// handleLocate serves GET /locate?model=adapter@version and GET /locate?service=name.
func (g *Gateway) handleLocate(w http.ResponseWriter, r *http.Request) {
	addresses, rerr := g.locate(r.FormValue("model"), r.FormValue("service"))
	if rerr != nil {
		g.fail(w, "", rerr)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, Located{addresses, int(g.cfg.Limits.LocateKeep.Seconds())})
}

func (g *Gateway) locate(model, service string) ([]string, *result.Error) {
	if !g.cfg.Ready() {
		return nil, result.New(result.NotReady, "%s", g.cfg.Box)
	}
	if service != "" {
		if _, ok := g.cfg.Catalog.Service(service); !ok {
			return nil, result.New(result.UnknownService, "%s", service)
		}
		return g.addresses(service, nil), nil
	}
	ref, err := resource.ParseRef(model)
	if err != nil {
		return nil, result.New(result.BadRequest, "model %v", err)
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
	return g.addresses(ref.String(), owners), nil
}

// addresses returns the caller addresses of preferred boxes, then of others, without leaving and suspected ones.
func (g *Gateway) addresses(key string, preferred []string) []string {
	t := g.cfg.Catalog.Topology()
	names := make([]string, 0, len(t.Boxes))
	for name := range t.Boxes {
		names = append(names, name)
	}
	slices.Sort(names)
	addresses := []string{}
	for _, name := range append(preferred, placement.Top(key, names, 2*maxAddresses)...) {
		b := t.Boxes[name]
		address := b.Caller.String()
		if b.Leaving || g.suspects.Has(name, clock.Now()) || slices.Contains(addresses, address) {
			continue
		}
		addresses = append(addresses, address)
		if len(addresses) == maxAddresses {
			break
		}
	}
	return addresses
}

// otherBoxes returns addresses of boxes other than this one.
func (g *Gateway) otherBoxes() []string {
	self := g.cfg.Catalog.Topology().Boxes[g.cfg.Box].Caller.String()
	return slices.DeleteFunc(g.addresses(g.cfg.Box, nil), func(a string) bool { return a == self })
}
