package box

import (
	"net/netip"
	"sync"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/placement"
)

// connsPerOriginPeer is the maximum number of idle connections to another box for the origins of streams.
const connsPerOriginPeer = 2

// keeperCandidates is the number of best-ranked boxes from which keepers of different availability zones are selected.
const keeperCandidates = 16

// originFleet selects the boxes that keep the origins of streams.
type originFleet struct {
	catalog *catalog.Catalog
	// box is the name of this box.
	box string

	mu sync.Mutex
	// candidates are the boxes of topology that may keep records.
	topology   *catalog.Topology
	candidates []string
}

func newOriginFleet(c *catalog.Catalog, box string) *originFleet {
	return &originFleet{catalog: c, box: box}
}

// Keepers implements origin.Fleet. The best boxes of different availability zones come first, so that the loss of a zone leaves a record
// in another one.
func (f *originFleet) Keepers(attempt string, n int) []netip.AddrPort {
	t, candidates := f.currentCandidates()
	var onePerZone, others []netip.AddrPort
	zones := map[string]bool{}
	for _, name := range placement.Top(attempt, candidates, keeperCandidates) {
		m := t.Boxes[name]
		switch {
		case name == f.box:
		case zones[m.Zone]:
			others = append(others, m.Peer)
		default:
			zones[m.Zone] = true
			onePerZone = append(onePerZone, m.Peer)
		}
	}
	all := append(onePerZone, others...)
	return all[:min(n, len(all))]
}

// currentCandidates returns the topology and the boxes in it that may keep records.
func (f *originFleet) currentCandidates() (*catalog.Topology, []string) {
	t := f.catalog.Topology()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.topology != t {
		f.topology, f.candidates = t, stayingBoxes(t)
	}
	return t, f.candidates
}
