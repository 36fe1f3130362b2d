package box

import (
	"net/http"
	"net/netip"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/placement"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/settings"
)

// casesKept is how many boxes keep each case: a single loss loses none.
const casesKept = 2

// connsPerCase is how many connections to another box stay open for cases, which are rare.
const connsPerCase = 1

// fleetConfig configures a fleet.
type fleetConfig struct {
	Catalog *catalog.Catalog
	// Box is the name of this box, Cell its cell.
	Box  string
	Cell string
}

// fleet is the boxes as the quarantine sees them.
type fleet struct {
	cfg fleetConfig
	mu  sync.Mutex
	// published is the topology whose held requests were last returned.
	published *catalog.Topology
}

var _ quarantine.Fleet = (*fleet)(nil)

func newFleet(cfg fleetConfig) *fleet { return &fleet{cfg: cfg} }

// Keepers implements quarantine.Fleet. All boxes that have the same cell maps choose the same ones, so nothing has to be agreed.
func (f *fleet) Keepers(of quarantine.Fingerprint) (others []netip.AddrPort, here bool) {
	t := f.cfg.Catalog.Topology()
	for _, name := range placement.Top(of.String(), takers(t), casesKept) {
		if name == f.cfg.Box {
			here = true
			continue
		}
		others = append(others, t.Boxes[name].Peer)
	}
	return others, here
}

// OtherBoxes implements quarantine.Fleet. Leaving boxes serve for a while; silent ones learn what they missed from the cell map.
func (f *fleet) OtherBoxes() []netip.AddrPort {
	var all []netip.AddrPort
	for name, m := range f.cfg.Catalog.Topology().Boxes {
		if name != f.cfg.Box && !m.Silent {
			all = append(all, m.Peer)
		}
	}
	return all
}

// Coordinator implements quarantine.Fleet.
func (f *fleet) Coordinator() (netip.AddrPort, bool) {
	m, _, _ := f.cfg.Catalog.Map(f.cfg.Cell)
	for _, b := range m.Members {
		if b.Box == m.Coordinator {
			return b.Peer, b.Box != f.cfg.Box
		}
	}
	return netip.AddrPort{}, false
}

// PublishedHeld implements quarantine.Fleet.
func (f *fleet) PublishedHeld() (all []quarantine.Held, changed bool) {
	t := f.cfg.Catalog.Topology()
	f.mu.Lock()
	defer f.mu.Unlock()
	changed = t != f.published
	f.published = t
	return t.Quarantined, changed
}

// newQuarantine returns a box's part in the quarantine.
func newQuarantine(s settings.Settings, c *catalog.Catalog, scope tally.Scope) *quarantine.Client {
	return quarantine.NewClient(quarantine.ClientConfig{
		HTTP:     &http.Client{Transport: httpx.NewTransport(connsPerCase)},
		Register: quarantine.NewRegister(quarantine.RegisterConfig{CrashLimit: s.Quarantine.Endpoints, HoldTime: s.Quarantine.Hold}),
		Fleet:    newFleet(fleetConfig{Catalog: c, Box: s.Box.Name, Cell: s.Box.Cell}),
		Scope:    scope,
		Disabled: !s.Policy.Build().IsEnabled(policy.Quarantine),
	})
}
