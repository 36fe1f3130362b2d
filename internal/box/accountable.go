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

// deafBeats is for how many heartbeats a box that hears nothing of a coordinator stays accountable for customers' quotas: as long as it takes to
// replace a coordinator. After that another box may be accountable, and both would grant the whole quota.
const deafBeats = 6

// accountableConfig configures an accountable.
type accountableConfig struct {
	// Box is the name of this box, Beat the time between two of its heartbeats.
	Box     string
	Beat    time.Duration
	Catalog *catalog.Catalog
	// Membership is what this box shows of its heartbeats.
	Membership func() member.Status
}

// accountable chooses the box that is accountable for each customer's quota, and the one that counts the requests at each plain endpoint: all boxes that
// have the same cell map choose the same one, so nothing has to be agreed or stored, and a box that comes or goes moves only what is its own.
type accountable struct {
	cfg accountableConfig
	// startedAt is when this process began: it may not have heard anything yet.
	startedAt time.Time

	mu sync.Mutex
	// of is the topology that names were taken from, chosen what was worked out by them.
	of     *catalog.Topology
	names  []string
	chosen map[string]coordinator.Member
}

var _ quota.Accountable = (*accountable)(nil)

func newAccountable(cfg accountableConfig) *accountable {
	return &accountable{cfg: cfg, startedAt: clock.Now()}
}

// BoxFor implements quota.Accountable.
func (a *accountable) BoxFor(name string) (address netip.AddrPort, here, ok bool) {
	m, ok := a.choose(name)
	if !ok {
		return netip.AddrPort{}, false, false
	}
	if m.Box != a.cfg.Box {
		return m.Peer, false, true
	}
	return m.Peer, true, !a.deaf()
}

// Boxes implements quota.Accountable.
func (a *accountable) Boxes() int { return len(a.cfg.Catalog.Topology().Boxes) }

// deaf reports whether this box has not heard of a coordinator for so long that another one may be accountable.
func (a *accountable) deaf() bool {
	limit := deafBeats * a.cfg.Beat
	return a.cfg.Membership().SinceReply > limit && clock.Since(a.startedAt) > limit
}

func (a *accountable) choose(name string) (coordinator.Member, bool) {
	t := a.cfg.Catalog.Topology()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.of != t {
		a.of, a.names, a.chosen = t, takers(t), map[string]coordinator.Member{}
	}
	if m, known := a.chosen[name]; known {
		return m, m.Box != ""
	}
	var m coordinator.Member
	if best := placement.Top(name, a.names, 1); len(best) == 1 {
		m = t.Boxes[best[0]]
	}
	a.chosen[name] = m
	return m, m.Box != ""
}

// takers returns the boxes that may be accountable: those that are there and stay.
func takers(t *catalog.Topology) []string {
	var names []string
	for name, m := range t.Boxes {
		if !m.Silent && !m.Leaving {
			names = append(names, name)
		}
	}
	return names
}

// customer returns a customer of the configuration in force here.
func (b *Routed) customer(name string) (*customer.Customer, bool) {
	t := b.catalog.Topology().Routes
	if t == nil {
		return nil, false
	}
	return t.Customers().ByName(name)
}
