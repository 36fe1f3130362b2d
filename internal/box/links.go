package box

import (
	"maps"
	"net/http"
	"net/netip"
	"slices"

	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/detour"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/reach"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/settings"
)

// linksConfig configures links.
type linksConfig struct {
	Settings settings.Settings
	Catalog  *catalog.Catalog
	// Dial opens direct connections to endpoints, nil uses TCP.
	Dial reach.DialFunc
	// IsLeaving reports whether this box is leaving.
	IsLeaving func() bool
	// OnDetached is called after all endpoints have become unreachable, OnCarrierLost after the box at an address, which connected to endpoints for this
	// one, has stopped doing so. Nil calls nothing.
	OnDetached    func()
	OnCarrierLost func(box netip.AddrPort)
	Scope         tally.Scope
}

// links are a box's connections to endpoints: direct ones, and those through other boxes.
type links struct {
	cfg linksConfig
	// reach records which endpoints this box can connect to. detours connects to endpoints through other boxes, carrier connects other boxes to
	// endpoints.
	reach   *reach.Tracker
	detours *detour.Client
	carrier *detour.Server
	// transports are the transports that use these connections.
	transports []*http.Transport
}

func newLinks(cfg linksConfig) *links {
	l := &links{cfg: cfg}
	l.reach = reach.New(reach.Config{Dial: cfg.Dial, Endpoints: l.endpointAddresses, OnChange: l.handleChange, Scope: cfg.Scope})
	l.detours = detour.NewClient(detour.ClientConfig{Reach: l.reach, Boxes: l.carriers, CloseIdle: l.closeIdle, OnLost: l.handleLostCarrier, HTTP: httpx.NewClient(1), Scope: cfg.Scope})
	l.carrier = detour.NewServer(detour.ServerConfig{
		Reach: l.reach, IsEndpoint: func(a netip.AddrPort) bool { return slices.Contains(l.endpointAddresses(), a) },
		IsLeaving: cfg.IsLeaving, MaxConns: cfg.Settings.Detours.MaxConns, Scope: cfg.Scope,
	})
	return l
}

// handleChange makes the next requests use new connections after the box was detached or attached again.
func (l *links) handleChange(detached bool) {
	l.closeIdle()
	if detached && l.cfg.OnDetached != nil {
		l.cfg.OnDetached()
	}
}

// handleLostCarrier gives back what requests through a lost box hold.
func (l *links) handleLostCarrier(box netip.AddrPort) {
	if l.cfg.OnCarrierLost != nil {
		l.cfg.OnCarrierLost(box)
	}
}

// addTo adds the supervised parts to a supervisor and the handler for other boxes to the mux of the peer listener.
func (l *links) addTo(root *suture.Supervisor, peerMux *http.ServeMux) {
	l.carrier.Register(peerMux)
	root.Add(l.reach)
	root.Add(l.detours)
}

// transport makes a transport open its connections with dial, and returns it.
func (l *links) transport(t *http.Transport, dial reach.DialFunc) *http.Transport {
	t.DialContext = dial
	l.transports = append(l.transports, t)
	return t
}

// anyWay returns a transport for calls to endpoints, over direct connections or through other boxes.
func (l *links) anyWay(connsPerHost int) *http.Transport {
	return l.transport(httpx.NewTransport(connsPerHost), l.detours.Dial)
}

// closeIdle closes the idle connections to endpoints, so that the next requests use new ones.
func (l *links) closeIdle() {
	for _, t := range l.transports {
		t.CloseIdleConnections()
	}
}

// carriers returns the other boxes that may connect this box to endpoints.
func (l *links) carriers() []detour.Box {
	var all []detour.Box
	for name, m := range l.cfg.Catalog.Topology().Boxes {
		if name != l.cfg.Settings.Box.Name && !m.Silent && !m.Detached && l.cfg.Settings.Detours.MaxConns > 0 {
			all = append(all, detour.Box{Name: name, Address: m.Peer, Leaving: m.Leaving})
		}
	}
	return all
}

// endpointAddresses returns the addresses of all known endpoints, engines and services.
func (l *links) endpointAddresses() []netip.AddrPort {
	t := l.cfg.Catalog.Topology()
	known := map[netip.AddrPort]bool{}
	for _, endpoints := range t.Endpoints {
		for _, e := range endpoints {
			known[e.Spec.Address] = true
		}
	}
	for _, e := range t.Engines {
		known[e.Spec.Address] = true
	}
	for _, name := range l.cfg.Catalog.Names(string(resource.KindService)) {
		if s, ok := l.cfg.Catalog.Service(name); ok {
			for _, a := range s.Addresses {
				known[a] = true
			}
		}
	}
	return slices.Collect(maps.Keys(known))
}

// status counts the open detours.
func (l *links) status() detour.Status {
	return detour.Status{Used: l.detours.Open(), Carried: l.carrier.Open()}
}
