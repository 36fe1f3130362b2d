package box

import (
	"net/netip"
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/customer"
	"github.com/bellgap/bellgap/internal/member"
	"github.com/bellgap/bellgap/internal/placement"
	"github.com/bellgap/bellgap/internal/quota"
)

// maxBeatsWithoutReply is the number of heartbeats for which a box without a reply from a coordinator stays accountable for customers' quotas.
// Replacing a coordinator takes that long. After that another box may be accountable, and both boxes would grant the whole quota.
const maxBeatsWithoutReply = 6

// locatorConfig configures a locator.
type locatorConfig struct {
	// Box is the name of this box. Beat is the interval between its heartbeats.
	Box     string
	Beat    time.Duration
	Catalog *catalog.Catalog
	// Membership returns the state of this box's heartbeats.
	Membership func() member.Status
}

// locator selects the box that is accountable for each customer's quota and the box that counts the requests at each plain endpoint.
// All boxes with the same cell map select the same box, so that they need neither an agreement nor stored assignments. If a box joins or leaves,
// only the assignments of this box change.
type locator struct {
	cfg locatorConfig
	// startedAt is the start time of this process. Shortly after the start, the coordinator may not have replied yet.
	startedAt time.Time

	mu sync.Mutex
	// candidates are taken from topology. selected caches the box that was selected among them for each name.
	topology   *catalog.Topology
	candidates []string
	selected   map[string]coordinator.Member
}

var _ quota.Accountable = (*locator)(nil)

func newLocator(cfg locatorConfig) *locator {
	return &locator{cfg: cfg, startedAt: clock.Now()}
}

// BoxFor implements quota.Accountable and places.Locator.
func (a *locator) BoxFor(name string) (address netip.AddrPort, here, ok bool) {
	m, ok := a.selectBox(name)
	if !ok {
		return netip.AddrPort{}, false, false
	}
	if m.Box != a.cfg.Box {
		return m.Peer, false, true
	}
	return m.Peer, true, !a.isCutOff()
}

// Boxes implements quota.Accountable.
func (a *locator) Boxes() int { return len(a.cfg.Catalog.Topology().Boxes) }

// isCutOff reports whether this box has had no reply from a coordinator for so long that another box may be accountable.
func (a *locator) isCutOff() bool {
	limit := maxBeatsWithoutReply * a.cfg.Beat
	return a.cfg.Membership().SinceReply > limit && clock.Since(a.startedAt) > limit
}

func (a *locator) selectBox(name string) (coordinator.Member, bool) {
	t := a.cfg.Catalog.Topology()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.topology != t {
		a.topology, a.candidates, a.selected = t, stayingBoxes(t), map[string]coordinator.Member{}
	}
	if m, known := a.selected[name]; known {
		return m, m.Box != ""
	}
	var m coordinator.Member
	if best := placement.Top(name, a.candidates, 1); len(best) == 1 {
		m = t.Boxes[best[0]]
	}
	a.selected[name] = m
	return m, m.Box != ""
}

// stayingBoxes returns the boxes that may be accountable: those that are neither silent nor leaving.
func stayingBoxes(t *catalog.Topology) []string {
	var names []string
	for name, m := range t.Boxes {
		if !m.Silent && !m.Leaving {
			names = append(names, name)
		}
	}
	return names
}

// customer returns a customer from the configuration that this box uses.
func (b *Routed) customer(name string) (*customer.Customer, bool) {
	t := b.catalog.Topology().Routes
	if t == nil {
		return nil, false
	}
	return t.Customers().ByName(name)
}
