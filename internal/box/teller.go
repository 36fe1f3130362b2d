package box

import (
	"net/http"
	"net/netip"

	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/notice"
)

// tellerConfig configures what newTeller returns.
type tellerConfig struct {
	Board   *notice.Board
	Catalog *catalog.Catalog
	// Box is the name of this box.
	Box   string
	Scope tally.Scope
}

// newTeller returns what tells other boxes which endpoints leave. It talks to any box now and then, so that it keeps no connections.
func newTeller(cfg tellerConfig) *notice.Client {
	return notice.NewClient(notice.ClientConfig{
		HTTP: &http.Client{Transport: httpx.NewSingleUseTransport()}, Board: cfg.Board, Scope: cfg.Scope,
		OtherBoxes: func() []netip.AddrPort { return othersOf(cfg.Catalog, cfg.Box) },
	})
}

// othersOf returns the boxes in the cell maps that are not silent, but for one. It reads the maps and not the fleet's view, which is made anew after each
// change: a box that starts asks this fifty times a second while thousands of endpoints become known.
func othersOf(c *catalog.Catalog, box string) []netip.AddrPort {
	var all []netip.AddrPort
	for _, cell := range c.Names(coordinator.MapKind) {
		m, _, _ := c.Map(cell)
		for _, b := range m.Members {
			if b.Box != box && !b.Silent {
				all = append(all, b.Peer)
			}
		}
	}
	return all
}
