package gateway

import (
	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/placement"
	"github.com/bellgap/bellgap/internal/resource"
)

// candidates returns the engines for an adapter version, best first. Engines whose owner is leaving or unresponsive come last.
func (g *Gateway) candidates(ref resource.Ref, baseModel string) []catalog.EngineView {
	t := g.cfg.Catalog.Topology()
	var preferred, fallback []catalog.EngineView
	for _, name := range placement.Top(ref.String(), t.ByModel[baseModel], t.MaxEngines(baseModel)) {
		e := t.Engines[name]
		if e.Owner.Box != g.cfg.Box && (e.Owner.Leaving || g.unresponsive.Has(e.Owner.Box, clock.Now())) {
			fallback = append(fallback, e)
			continue
		}
		preferred = append(preferred, e)
	}
	return append(preferred, fallback...)
}

// nextEngine returns the engine after the first n engines in the order for an adapter version.
func (g *Gateway) nextEngine(ref resource.Ref, baseModel string, n int) (catalog.EngineView, bool) {
	t := g.cfg.Catalog.Topology()
	names := placement.Top(ref.String(), t.ByModel[baseModel], n+1)
	if len(names) <= n {
		return catalog.EngineView{}, false
	}
	return t.Engines[names[n]], true
}
