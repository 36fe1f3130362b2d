package box

import (
	"net/http"

	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/catalog"
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
		HTTP: &http.Client{Transport: httpx.NewOnceTransport()}, Board: cfg.Board, Scope: cfg.Scope,
		Others: newFleet(fleetConfig{Catalog: cfg.Catalog, Box: cfg.Box}).Others,
	})
}
