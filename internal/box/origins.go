package box

import (
	"net/netip"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/placement"
)

// connsPerOriginPeer is the maximum number of idle connections to another box for the origins of streams.
const connsPerOriginPeer = 2

// originFleet selects the boxes that keep the origins of streams.
type originFleet struct {
	catalog *catalog.Catalog
	// box is the name of this box.
	box string
}

// Keepers implements origin.Fleet. The best boxes of different availability zones come first, so that the loss of a zone leaves a record
// in another one.
func (f originFleet) Keepers(attempt string, n int) []netip.AddrPort {
	t := f.catalog.Topology()
	var first, others []netip.AddrPort
	zones := map[string]bool{}
	for _, name := range placement.Rank(attempt, stayingBoxes(t)) {
		m := t.Boxes[name]
		switch {
		case name == f.box:
		case zones[m.Zone]:
			others = append(others, m.Peer)
		default:
			zones[m.Zone] = true
			first = append(first, m.Peer)
		}
	}
	all := append(first, others...)
	return all[:min(n, len(all))]
}
