package box

import (
	"context"
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

// keepersPerCase is the number of boxes that store each quarantine case, so that the loss of one box loses no case.
const keepersPerCase = 2

// connsPerQuarantinePeer is the maximum number of idle connections to another box for quarantine messages, which are rare.
const connsPerQuarantinePeer = 1

// quarantineFleetConfig configures a quarantineFleet.
type quarantineFleetConfig struct {
	Catalog *catalog.Catalog
	// Box is the name of this box. Cell is the name of its cell.
	Box  string
	Cell string
}

// quarantineFleet provides the quarantine with the boxes of the fleet.
type quarantineFleet struct {
	cfg quarantineFleetConfig
	mu  sync.Mutex
	// lastTopology is the topology whose held requests were last returned.
	lastTopology *catalog.Topology
}

var _ quarantine.Fleet = (*quarantineFleet)(nil)

func newQuarantineFleet(cfg quarantineFleetConfig) *quarantineFleet {
	return &quarantineFleet{cfg: cfg}
}

// Keepers implements quarantine.Fleet. All boxes with the same cell maps select the same keepers, so that they need no agreement.
func (f *quarantineFleet) Keepers(fingerprint quarantine.Fingerprint) (others []netip.AddrPort, here bool) {
	t := f.cfg.Catalog.Topology()
	for _, name := range placement.Top(fingerprint.String(), stayingBoxes(t), keepersPerCase) {
		if name == f.cfg.Box {
			here = true
			continue
		}
		others = append(others, t.Boxes[name].Peer)
	}
	return others, here
}

// OtherBoxes implements quarantine.Fleet. It includes leaving boxes, since they still serve for a while. It omits silent boxes, since they later receive
// the messages that they missed with the cell map.
func (f *quarantineFleet) OtherBoxes() []netip.AddrPort {
	var all []netip.AddrPort
	for name, m := range f.cfg.Catalog.Topology().Boxes {
		if name != f.cfg.Box && !m.Silent {
			all = append(all, m.Peer)
		}
	}
	return all
}

// Coordinator implements quarantine.Fleet.
func (f *quarantineFleet) Coordinator() (netip.AddrPort, bool) {
	m, _, _ := f.cfg.Catalog.Map(f.cfg.Cell)
	for _, b := range m.Members {
		if b.Box == m.Coordinator {
			return b.Peer, b.Box != f.cfg.Box
		}
	}
	return netip.AddrPort{}, false
}

// PublishedHeld implements quarantine.Fleet.
func (f *quarantineFleet) PublishedHeld() (all []quarantine.Held, changed bool) {
	t := f.cfg.Catalog.Topology()
	f.mu.Lock()
	defer f.mu.Unlock()
	changed = t != f.lastTopology
	f.lastTopology = t
	return t.Quarantined, changed
}

// newQuarantine returns a box's quarantine client. isDown is quarantine.ClientConfig.IsDown.
func newQuarantine(s settings.Settings, c *catalog.Catalog, scope tally.Scope, isDown func(context.Context, netip.AddrPort) bool) *quarantine.Client {
	return quarantine.NewClient(quarantine.ClientConfig{
		HTTP:     httpx.NewClient(connsPerQuarantinePeer),
		Register: quarantine.NewRegister(quarantine.RegisterConfig{CrashLimit: s.Quarantine.Endpoints, HoldTime: s.Quarantine.Hold}),
		Fleet:    newQuarantineFleet(quarantineFleetConfig{Catalog: c, Box: s.Box.Name, Cell: s.Box.Cell}),
		Scope:    scope,
		IsDown:   isDown,
		Disabled: !s.Policy.Build().IsEnabled(policy.Quarantine),
	})
}
