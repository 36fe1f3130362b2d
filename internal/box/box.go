// Package box puts the parts of one box together and runs them until it leaves.
package box

import (
	"context"
	"crypto/rand"
	"errors"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/feed"
	"github.com/bellgap/bellgap/internal/gateway"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/lease"
	"github.com/bellgap/bellgap/internal/loads"
	"github.com/bellgap/bellgap/internal/member"
	"github.com/bellgap/bellgap/internal/metric"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/operator"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/peer"
	"github.com/bellgap/bellgap/internal/places"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/record"
	"github.com/bellgap/bellgap/internal/repair"
	"github.com/bellgap/bellgap/internal/settings"
)

// Connections kept open to one peer, engine or service.
const (
	connsPerPeer    = 64
	connsPerEngine  = 256
	connsPerService = 64
)

// leavePoll is how often a leaving box looks whether it may go.
const leavePoll = 20 * time.Millisecond

// Config configures a Box.
type Config struct {
	Settings settings.Settings
}

// Box is one running box.
type Box struct {
	cfg       Config
	done      chan struct{}
	root      *suture.Supervisor
	metrics   *metric.Metrics
	catalog   *catalog.Catalog
	feed      *feed.Feed
	engines   *engine.Client
	scheduler *loads.Local
	loads     *loads.Shared
	owners    *owner.Set
	node      *member.Node
	gateway   *gateway.Gateway
	// quarantine knows which requests reach no back end.
	quarantine *quarantine.Client
	// keeper counts the calls of the services' addresses that are this box's to count, places takes places of all; rates is what engines and services
	// say of how many requests a second they take.
	keeper *places.Keeper
	places *places.Client
	rates  *ratelimit.Registry
	// notices is what else they have said of themselves, teller tells other boxes.
	notices   *notice.Board
	teller    *notice.Client
	listeners listeners
}

type listeners struct {
	caller, peer, operator net.Listener
}

// New opens the listeners and builds the parts; Run runs them.
func New(cfg Config) (*Box, error) {
	ls, err := listen(cfg.Settings.Listen)
	if err != nil {
		return nil, err
	}
	b := &Box{
		cfg: cfg, done: make(chan struct{}), listeners: ls, metrics: metric.New(cfg.Settings.Box.Name), catalog: catalog.New(),
		engines: engine.NewClient(engine.ClientConfig{HTTP: &http.Client{Transport: httpx.NewTransport(connsPerEngine)}}),
		root:    suture.New("box", suture.Spec{EventHook: logEvent}),
	}
	api := objects.NewClient(objects.ClientConfig{
		Address: cfg.Settings.Platform.Address.String(), HTTP: &http.Client{Transport: httpx.NewTransport(connsPerPeer)},
	})
	peers := peer.NewClient(peer.ClientConfig{HTTP: &http.Client{Transport: httpx.NewTransport(connsPerPeer)}})
	b.feed = feed.New(feed.Config{
		Catalog: b.catalog, Scope: b.metrics.Scope, PickSource: func() feed.Source { return b.source(api, peers) },
		LostObjects: func(ctx context.Context) ([]objects.Object, error) { return b.lost(ctx, api, peers) },
	})
	b.quarantine = newQuarantine(cfg.Settings, b.catalog, b.metrics.Scope)
	b.rates = ratelimit.NewRegistry(ratelimit.RegistryConfig{Boxes: func() int { return len(b.catalog.Topology().Boxes) }, Scope: b.metrics.Scope})
	b.notices = notice.NewBoard(notice.BoardConfig{Scope: b.metrics.Scope, OnLeaving: func(e notice.Endpoint, heard bool) {
		if heard {
			b.teller.ReportLeaving(e)
		}
	}})
	b.teller = newTeller(tellerConfig{Board: b.notices, Catalog: b.catalog, Box: cfg.Settings.Box.Name, Scope: b.metrics.Scope})
	b.keeper = places.NewKeeper(mathrand.Uint64())
	b.places = places.NewClient(places.ClientConfig{
		HTTP: &http.Client{Transport: httpx.NewTransport(connsPerPeer)}, Keeper: b.keeper, Rates: b.rates, Scope: b.metrics.Scope,
		Locator: newAccountable(accountableConfig{
			Box: cfg.Settings.Box.Name, Beat: cfg.Settings.Timing.Beat, Catalog: b.catalog, Membership: func() member.Status { return b.node.Status() },
		}),
	})
	records := record.New()
	b.buildLoads(peers)
	b.buildOwners()
	b.buildNode(api, peers)
	b.buildGateway(records)
	b.serve(api, records)
	return b, nil
}

func listen(l settings.Listen) (listeners, error) {
	var ls listeners
	for _, p := range []struct {
		address netip.AddrPort
		into    *net.Listener
	}{{l.Caller, &ls.caller}, {l.Peer, &ls.peer}, {l.Operator, &ls.operator}} {
		var err error
		if *p.into, err = net.Listen("tcp", p.address.String()); err != nil {
			return ls, eris.Wrap(err, "box: listen")
		}
	}
	return ls, nil
}

// advertised returns where other boxes reach the peer listener.
func (ls listeners) advertised(l settings.Listen) netip.AddrPort {
	if l.PeerAdvertised.IsValid() {
		return l.PeerAdvertised
	}
	return addressOf(ls.peer)
}

func logEvent(e suture.Event) {
	klog.InfoS("supervisor", "event", e.String())
}

// source returns where changes come from: the coordinator, so that the platform's load does not grow with the boxes, else the platform.
func (b *Box) source(api *objects.Client, peers *peer.Client) feed.Source {
	if address, ok := b.node.CoordinatorAddress(); ok {
		return peers.Source(address)
	}
	return api
}

// lost asks the cell's coordinator what the platform has lost, so that a new box does not serve an older configuration than others do.
func (b *Box) lost(ctx context.Context, api objects.API, peers *peer.Client) ([]objects.Object, error) {
	l := lease.New(lease.Config{API: api, Name: member.LeaseName(b.cfg.Settings.Box.Cell)})
	if err := l.Refresh(ctx); err != nil {
		return nil, err
	}
	address := l.Record().Address
	if address == "" || address == b.listeners.advertised(b.cfg.Settings.Listen).String() {
		return nil, nil
	}
	return peers.LostObjects(ctx, address)
}

func (b *Box) buildOwners() {
	b.owners = owner.NewSet(owner.SetConfig{
		Supervisor: b.root, Loads: b.loads, Scope: b.metrics.Scope,
		Client:    quarantinedOrders{b.engines, b.quarantine},
		Authority: func(name string, now time.Time) (uint64, bool) { return b.node.Authority(name, now) },
		Lookup:    b.lookupEngine, Rates: b.rates,
		Leaving: func(name string) bool { return b.catalog.Topology().Engines[name].Leaving },
	})
}

// buildLoads shares the weight store's budget: one box of the region schedules, cut-off boxes use a fixed share.
func (b *Box) buildLoads(peers *peer.Client) {
	budget := loads.Budget{PerSecond: b.cfg.Settings.Loads.PerSecond, MaxConcurrent: b.cfg.Settings.Loads.MaxConcurrent}
	b.scheduler = loads.NewLocal(loads.LocalConfig{Budget: func() loads.Budget { return budget }})
	fallback := loads.NewLocal(loads.LocalConfig{Budget: func() loads.Budget {
		boxes := max(1, len(b.catalog.Topology().Boxes))
		return loads.Budget{PerSecond: loads.FallbackShare * budget.PerSecond / float64(boxes), MaxConcurrent: 1}
	}})
	b.root.Add(b.scheduler)
	b.root.Add(fallback)
	b.loads = loads.NewShared(loads.SharedConfig{
		OwnScheduler: b.scheduler, Fallback: fallback, Remote: peers, Scope: b.metrics.Scope,
		Scheduler: func() (string, bool) {
			m, ok := b.catalog.Topology().Schedulers[b.cfg.Settings.Box.Region]
			if !ok {
				return "", false
			}
			return m.Peer.String(), m.Box == b.cfg.Settings.Box.Name
		},
	})
}

// schedules reports whether this box schedules its region's loads.
func (b *Box) schedules() bool {
	return b.catalog.Topology().Schedulers[b.cfg.Settings.Box.Region].Box == b.cfg.Settings.Box.Name
}

func (b *Box) lookupEngine(name string) (owner.Declared, bool) {
	t := b.catalog.Topology()
	e, ok := t.Engines[name]
	if !ok {
		return owner.Declared{}, false
	}
	return owner.Declared{Engine: *e.Spec, Serving: t.Serving[e.Spec.BaseModel]}, true
}

func (b *Box) buildNode(api objects.API, peers *peer.Client) {
	s := b.cfg.Settings
	b.node = member.New(member.Config{
		Cell: s.Box.Cell, Region: s.Box.Region, API: api, Peers: peers, Catalog: b.catalog, Holder: b.owners, Scope: b.metrics.Scope, NewToken: rand.Text,
		Quarantine: b.quarantine,
		Self: coordinator.Member{
			Box: s.Box.Name, Zone: s.Box.Zone, Incarnation: rand.Text(), Caller: b.CallerAddress(), Peer: b.listeners.advertised(b.cfg.Settings.Listen),
		},
		Timing: member.Timing{Beat: s.Timing.Beat, LeaseTTL: s.Timing.LeaseTTL, Term: s.Timing.Term, Drain: s.Timing.Drain},
	})
}

func addressOf(l net.Listener) netip.AddrPort {
	a, ok := l.Addr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	ap := a.AddrPort()
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port())
}

func (b *Box) buildGateway(records *record.Log) {
	s := b.cfg.Settings
	b.gateway = gateway.New(gateway.Config{
		Box: s.Box.Name, Catalog: b.catalog, Owners: b.owners, Record: records, Scope: b.metrics.Scope, NewID: rand.Text,
		Engines:              b.engines,
		PeerClient:           &http.Client{Transport: httpx.NewTransport(connsPerPeer)},
		Services:             &http.Client{Transport: httpx.NewTransport(connsPerService), CheckRedirect: noRedirect},
		UnrepeatableServices: &http.Client{Transport: httpx.NewSingleUseTransport(), CheckRedirect: noRedirect},
		Limits: gateway.Limits{
			BodyBytes: s.Request.BodyBytes, BodyTime: s.Request.BodyTime, DefaultWait: s.Request.DefaultWait,
			MaxDuration: s.Request.MaxDuration, LocateTTL: s.Request.LocateKeep,
		},
		Ready: b.feed.IsReady, Leaving: func() bool { return b.node.Leaving() }, Quarantine: b.quarantine, Places: b.places, Rates: b.rates, Notices: b.notices,
	})
}

// noRedirect passes a service's redirect on to the caller instead of following it.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (b *Box) serve(api objects.API, records *record.Log) {
	peerMux := http.NewServeMux()
	peer.NewHandler(peer.HandlerConfig{
		Catalog: b.catalog, Beat: b.node.Receive, Batch: b.node.HandleBatch, Permits: b.scheduler, IsScheduler: b.schedules, NewID: rand.Text,
	}).Register(peerMux)
	b.gateway.RegisterPeer(peerMux)
	notice.NewServer(notice.ServerConfig{Board: b.notices}).Register(peerMux)
	quarantine.NewServer(quarantine.ServerConfig{Client: b.quarantine}).Register(peerMux)
	places.NewServer(places.ServerConfig{Keeper: b.keeper, Rates: b.rates}).Register(peerMux)
	op := operator.New(operator.Config{
		Box: b.cfg.Settings.Box.Name, API: api, Catalog: b.catalog, Metrics: b.metrics.Handler, IsReady: b.feed.IsReady,
		Membership: b.node.Status, Engines: b.owners.Status, InFlight: b.InFlight, Scope: b.metrics.Scope,
		RecentRequests: records, Quarantine: b.quarantine, RateLimits: b.rates.Limits, Notices: b.notices,
	})
	b.root.Add(server{b.listeners.caller, b.gateway.Handler()})
	b.root.Add(server{b.listeners.peer, peerMux})
	b.root.Add(server{b.listeners.operator, op.Handler()})
	b.root.Add(b.feed)
	b.root.Add(b.quarantine)
	b.root.Add(b.places)
	b.root.Add(b.teller)
	b.root.Add(repair.New(repair.Config{API: api, Catalog: b.catalog, Active: b.schedules, Scope: b.metrics.Scope}))
	b.root.Add(afterReady{b.feed.Ready(), b.node})
}

// server is a listener's service.
type server struct {
	listener net.Listener
	handler  http.Handler
}

// Serve implements suture.Service.
func (s server) Serve(ctx context.Context) error {
	err := httpx.Serve(ctx, httpx.NewServer(s.handler), s.listener)
	if ctx.Err() == nil {
		// A listener that broke cannot be opened again by a restart of this part.
		return errors.Join(err, suture.ErrTerminateSupervisorTree)
	}
	return err
}

// afterReady starts membership once the catalog is there, so that a box owns nothing it does not know.
type afterReady struct {
	ready <-chan struct{}
	node  *member.Node
}

// Serve implements suture.Service.
func (a afterReady) Serve(ctx context.Context) error {
	select {
	case <-a.ready:
		return a.node.Serve(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// CallerAddress returns where callers connect.
func (b *Box) CallerAddress() netip.AddrPort { return addressOf(b.listeners.caller) }

// OperatorAddress returns where operators connect.
func (b *Box) OperatorAddress() netip.AddrPort { return addressOf(b.listeners.operator) }

// Topology returns the fleet as this box knows it.
func (b *Box) Topology() *catalog.Topology { return b.catalog.Topology() }

// Done is closed when Run has ended.
func (b *Box) Done() <-chan struct{} { return b.done }

// InFlight returns the requests in flight through this box and on its engines.
func (b *Box) InFlight() int { return b.gateway.InFlight() + b.owners.InFlight() }

// Run serves until ctx ends, then leaves: it takes nothing new, hands its engines over and finishes what is in flight.
func (b *Box) Run(ctx context.Context) error {
	defer close(b.done)
	return runUntilLeft(ctx, b.root, b.metrics, b.leave)
}

// runUntilLeft runs a box's parts until ctx ends and leave, which may use them still, has returned.
func runUntilLeft(ctx context.Context, root *suture.Supervisor, metrics *metric.Metrics, leave func(ctx context.Context)) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var group errgroup.Group
	group.Go(func() error { return root.Serve(running) })
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			leave(running)
		case <-running.Done():
		}
		return nil
	})
	err := group.Wait()
	if cerr := metrics.Close(); cerr != nil {
		klog.ErrorS(cerr, "metrics")
	}
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// leave waits until nothing is in flight and the cell knows that, at most the time for leaving.
// Handing over may take two terms from then on; after that there is nobody to take the engines.
func (b *Box) leave(ctx context.Context) {
	timing := b.cfg.Settings.Timing
	klog.InfoS("leaving", "box", b.cfg.Settings.Box.Name)
	b.node.Leave()
	limit := time.NewTimer(timing.Leave)
	defer limit.Stop()
	tick := time.NewTicker(leavePoll)
	defer tick.Stop()
	idleSince := clock.Now()
	for {
		if b.InFlight() > 0 {
			idleSince = clock.Now()
		} else if b.node.IsHandedOver() || clock.Since(idleSince) > 2*timing.Term {
			return
		}
		select {
		case <-tick.C:
		case <-limit.C:
			klog.InfoS("leaving with requests in flight", "in_flight", b.InFlight())
			return
		case <-ctx.Done():
			return
		}
	}
}
