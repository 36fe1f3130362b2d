package box

import (
	"net/netip"
	"slices"
	"sync"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/placement"
)

// connsPerOriginPeer is the maximum number of idle connections to another box for the origins of streams.
const connsPerOriginPeer = 2

// keeperCandidates is the number of best-ranked boxes from which keepers of different availability zones are selected.
const keeperCandidates = 16

const (
	// boxesPerArchivist is the number of boxes to each box that writes the stream archive.
	boxesPerArchivist = 24
	// archiveReaders is the number of boxes of a large fleet that are asked to read the archive for an attempt.
	archiveReaders = 2
	// archivistKey ranks the boxes that write the archive.
	archivistKey = "stream-archive"
)

// originFleet selects the boxes that keep the origins of streams.
type originFleet struct {
	catalog *catalog.Catalog
	// box is the name of this box.
	box string

	mu sync.Mutex
	// candidates are the boxes of topology that may keep records.
	topology   *catalog.Topology
	candidates []string
	// archivists are those among them that write the stream archive.
	archivists []string
}

func newOriginFleet(c *catalog.Catalog, box string) *originFleet {
	return &originFleet{catalog: c, box: box}
}

// Keepers implements origin.Fleet. The best boxes of different availability zones come first, so that the loss of a zone leaves a record
// in another one.
func (f *originFleet) Keepers(attempt string, n int) []netip.AddrPort {
	t, candidates, _ := f.current()
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

// IsArchived implements origin.Fleet. Records are archived while more than one software version has served lately, while versions or routes
// may be missing in the list, and if a stream may be resumed at another service of its route.
func (f *originFleet) IsArchived(service string) (archived bool, era int64) {
	t, _, _ := f.current()
	for _, h := range t.SoftwareVersions {
		if h == nil {
			continue
		}
		archived = archived || !h.Complete || !h.RoutesComplete
		for _, s := range h.Services {
			archived = archived || (service == "" || s.Service == service) && len(s.Versions) > 1
		}
		for _, r := range h.Moved() {
			archived = archived || service == "" || slices.Contains(r.Services, service)
		}
	}
	archived = archived || len(t.SoftwareVersions) > 0 && t.Routes != nil && t.Routes.IsSplit(service)
	return archived, t.MapEra
}

// Archivist implements origin.Fleet.
func (f *originFleet) Archivist(attempt string) (box netip.AddrPort, isHere, ok bool) {
	t, _, archivists := f.current()
	top := placement.Top(attempt, archivists, 1)
	if len(top) == 0 {
		return netip.AddrPort{}, false, false
	}
	return t.Boxes[top[0]].Peer, top[0] == f.box, true
}

// ArchiveReaders implements origin.Fleet. In a small fleet each box reads the archive itself. In a large one that would take too many
// bytes when all boxes start at once.
func (f *originFleet) ArchiveReaders(attempt string) []netip.AddrPort {
	t, candidates, archivists := f.current()
	if len(candidates) <= boxesPerArchivist {
		return nil
	}
	var readers []netip.AddrPort
	for _, name := range placement.Top(attempt, archivists, archiveReaders) {
		if name == f.box {
			return nil
		}
		readers = append(readers, t.Boxes[name].Peer)
	}
	return readers
}

// IsArchivist reports whether this box writes the stream archive.
func (f *originFleet) IsArchivist() bool {
	_, _, archivists := f.current()
	return slices.Contains(archivists, f.box)
}

// Archivists returns the number of boxes that write the stream archive.
func (f *originFleet) Archivists() int {
	_, _, archivists := f.current()
	return len(archivists)
}

// current returns the topology, the boxes in it that may keep records, and those among them that write the stream archive.
func (f *originFleet) current() (t *catalog.Topology, candidates, archivists []string) {
	t = f.catalog.Topology()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.topology != t {
		f.topology, f.candidates = t, stayingBoxes(t)
		n := (len(f.candidates) + boxesPerArchivist - 1) / boxesPerArchivist
		f.archivists = placement.Top(archivistKey, f.candidates, n)
	}
	return t, f.candidates, f.archivists
}
