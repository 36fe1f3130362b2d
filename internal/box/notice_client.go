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

// noticeClientConfig configures newNoticeClient.
type noticeClientConfig struct {
	Board   *notice.Board
	Catalog *catalog.Catalog
	// Box is the name of this box.
	Box   string
	Scope tally.Scope
}

// newNoticeClient returns a client that reports leaving endpoints to other boxes. It rarely sends to any particular box, so its connections are not
// kept open.
func newNoticeClient(cfg noticeClientConfig) *notice.Client {
	return notice.NewClient(notice.ClientConfig{
		HTTP: &http.Client{Transport: httpx.Checked(httpx.NewSingleUseTransport())}, Board: cfg.Board, Scope: cfg.Scope,
		OtherBoxes: func() []netip.AddrPort { return peerAddresses(cfg.Catalog, cfg.Box) },
	})
}

// peerAddresses returns the peer addresses of all boxes in the cell maps, except silent boxes and the named box. It reads the cell maps instead of the
// topology, because the topology is rebuilt after each change: a starting box calls this function fifty times per second while it receives thousands
// of endpoints.
func peerAddresses(c *catalog.Catalog, box string) []netip.AddrPort {
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
