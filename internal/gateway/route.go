package gateway

import (
	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/placement"
	"github.com/bellgap/bellgap/internal/resource"
)

// candidates returns the engines for an adapter version, best first; engines whose owner is suspected come last.
func (g *Gateway) candidates(ref resource.Ref, baseModel string) []catalog.EngineView {
	t := g.cfg.Catalog.Topology()
	var good, doubtful []catalog.EngineView
	for _, name := range placement.Top(ref.String(), t.ByModel[baseModel], t.MaxEngines(baseModel)) {
		e := t.Engines[name]
		if e.Owner.Box != g.cfg.Box && (e.Owner.Leaving || g.suspects.Has(e.Owner.Box, clock.Now())) {
			doubtful = append(doubtful, e)
			continue
		}
		good = append(good, e)
	}
	return append(good, doubtful...)
}

// next returns the engine that comes after the first n in the order for an adapter version.
func (g *Gateway) next(ref resource.Ref, baseModel string, n int) (catalog.EngineView, bool) {
	t := g.cfg.Catalog.Topology()
	names := placement.Top(ref.String(), t.ByModel[baseModel], n+1)
	if len(names) <= n {
		return catalog.EngineView{}, false
	}
	return t.Engines[names[n]], true
}
