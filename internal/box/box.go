// Package box assembles the parts of a box and runs them until the box leaves the cell.
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
	"github.com/uber-go/tally/v4"
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
	"github.com/bellgap/bellgap/internal/pairing"
	"github.com/bellgap/bellgap/internal/peer"
	"github.com/bellgap/bellgap/internal/places"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/reach"
	"github.com/bellgap/bellgap/internal/record"
	"github.com/bellgap/bellgap/internal/repair"
	"github.com/bellgap/bellgap/internal/settings"
	"github.com/bellgap/bellgap/internal/slowpeer"
)

// Maximum number of idle connections to one peer, engine or service.
const (
	connsPerPeer   = 64
	connsPerEngine = 256
	// connsPerOwnedEngine is the number of idle connections to an engine for orders and reports.
	connsPerOwnedEngine = 4
	connsPerService     = 64
)

// leavePollInterval is how often a leaving box checks whether it may stop.
const leavePollInterval = 20 * time.Millisecond

// Config configures a Box.
type Config struct {
	Settings settings.Settings
	// DialEndpoint opens connections to engines and services, nil uses TCP.
	DialEndpoint reach.DialFunc
}

// Box is a running box that serves completions and service calls.
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
	callers   *slowpeer.Tracker
	// links are the connections to engines and services.
	links *links
	// pairing drops answers of engines and services that belong to no call.
	pairing *pairing.Pairing
	// quarantine blocks requests that have crashed back ends.
	quarantine *quarantine.Client
	// keeper counts the calls of the service addresses that are assigned to this box. places acquires places at all service addresses.
	// rates holds the rate limits that engines and services report.
	keeper *places.Keeper
	places *places.Client
	rates  *ratelimit.Registry
	// notices holds the other notices that engines and services have sent about themselves. noticeClient forwards notices of leaving endpoints to
	// other boxes.
	notices      *notice.Board
	noticeClient *notice.Client
	listeners    listeners
}

type listeners struct {
	caller, peer, operator net.Listener
}

// New opens the listeners and builds the parts. Run runs them.
func New(cfg Config) (*Box, error) {
	ls, err := listen(cfg.Settings.Listen)
	if err != nil {
		return nil, err
	}
	b := &Box{
		cfg: cfg, done: make(chan struct{}), listeners: ls, metrics: metric.New(cfg.Settings.Box.Name), catalog: catalog.New(),
		root: suture.New("box", suture.Spec{EventHook: logSupervisorEvent}),
	}
	b.links = newLinks(linksConfig{Settings: cfg.Settings, Catalog: b.catalog, Dial: cfg.DialEndpoint, IsLeaving: func() bool { return b.node.Leaving() }, OnDetached: func() { b.gateway.GiveUpUnanswered() }, Scope: b.metrics.Scope})
	b.pairing = pairing.New(pairing.Config{ID: engine.CallID, MaxRequests: cfg.Settings.Endpoints.MaxRequests, MaxSurplusBytes: cfg.Settings.Endpoints.MaxSurplusBytes(), Scope: b.metrics.Scope})
	b.engines = engine.NewClient(engine.ClientConfig{HTTP: &http.Client{Transport: b.pairing.Transport(slowpeer.BoundWrites(b.links.anyWay(connsPerEngine), cfg.Settings.Callers.StallTimeout))}})
	api := objects.NewClient(objects.ClientConfig{
		Address: cfg.Settings.Platform.Address.String(), HTTP: httpx.NewClient(connsPerPeer),
	})
	peers := peer.NewClient(peer.ClientConfig{HTTP: httpx.NewClient(connsPerPeer)})
	b.feed = feed.New(feed.Config{
		Catalog: b.catalog, Scope: b.metrics.Scope, PickSource: func() feed.Source { return b.changeSource(api, peers) },
		LostObjects: func(ctx context.Context) ([]objects.Object, error) { return b.lostObjects(ctx, api, peers) },
	})
	b.callers = newCallerTracker(cfg.Settings, b.metrics.Scope)
	b.quarantine = newQuarantine(cfg.Settings, b.catalog, b.metrics.Scope, b.links.detours.IsDown)
	b.rates = ratelimit.NewRegistry(ratelimit.RegistryConfig{Boxes: func() int { return len(b.catalog.Topology().Boxes) }, Scope: b.metrics.Scope})
	b.notices = notice.NewBoard(notice.BoardConfig{Scope: b.metrics.Scope, OnLeaving: func(e notice.Endpoint, firsthand bool) {
		if firsthand {
			b.noticeClient.ReportLeaving(e)
		}
	}})
	b.noticeClient = newNoticeClient(noticeClientConfig{Board: b.notices, Catalog: b.catalog, Box: cfg.Settings.Box.Name, Scope: b.metrics.Scope})
	b.keeper = places.NewKeeper(mathrand.Uint64())
	b.places = places.NewClient(places.ClientConfig{
		HTTP: httpx.NewClient(connsPerPeer), Keeper: b.keeper, Rates: b.rates, Scope: b.metrics.Scope,
		Locator: newLocator(locatorConfig{
			Box: cfg.Settings.Box.Name, Beat: cfg.Settings.Timing.Beat, Catalog: b.catalog, Membership: func() member.Status { return b.node.Status() },
		}),
	})
	records := record.New()
	b.buildLoads(peers)
	b.buildOwners()
	b.buildNode(api, peers)
	b.buildGateway(records)
	b.addParts(api, records)
	return b, nil
}

func listen(l settings.Listen) (listeners, error) {
	var ls listeners
	for _, p := range []struct {
		address  netip.AddrPort
		listener *net.Listener
	}{{l.Caller, &ls.caller}, {l.Peer, &ls.peer}, {l.Operator, &ls.operator}} {
		var err error
		if *p.listener, err = net.Listen("tcp", p.address.String()); err != nil {
			return ls, eris.Wrap(err, "box: listen")
		}
	}
	return ls, nil
}

// advertisedAddress returns the address at which other boxes reach the peer listener.
func (ls listeners) advertisedAddress(l settings.Listen) netip.AddrPort {
	if l.PeerAdvertised.IsValid() {
		return l.PeerAdvertised
	}
	return listenerAddress(ls.peer)
}

func logSupervisorEvent(e suture.Event) {
	klog.InfoS("supervisor", "event", e.String())
}

// changeSource returns the source of changes: the coordinator if there is one, otherwise the platform. With the coordinator as source, the
// platform's load does not grow with the number of boxes.
func (b *Box) changeSource(api *objects.Client, peers *peer.Client) feed.Source {
	if address, ok := b.node.CoordinatorAddress(); ok {
		return peers.Source(address)
	}
	return api
}

// lostObjects requests the objects that the platform has lost from the cell's coordinator. Without these objects, a new box would serve an older
// configuration than the other boxes.
func (b *Box) lostObjects(ctx context.Context, api objects.API, peers *peer.Client) ([]objects.Object, error) {
	l := lease.New(lease.Config{API: api, Name: member.LeaseName(b.cfg.Settings.Box.Cell)})
	if err := l.Refresh(ctx); err != nil {
		return nil, err
	}
	address := l.Record().Address
	if address == "" || address == b.listeners.advertisedAddress(b.cfg.Settings.Listen).String() {
		return nil, nil
	}
	return peers.LostObjects(ctx, address)
}

func (b *Box) buildOwners() {
	b.owners = owner.NewSet(owner.SetConfig{
		Supervisor: b.root, Loads: b.loads, Scope: b.metrics.Scope,
		Client:    quarantiningEngines{b.engines, b.quarantine},
		Authority: func(name string, now time.Time) (uint64, bool) { return b.node.Authority(name, now) },
		Lookup:    b.lookupEngine, Rates: b.rates,
		Leaving: func(name string) bool { return b.catalog.Topology().Engines[name].Leaving },
	})
}

// buildLoads builds the schedulers for loads from the weight store. One box per region schedules the loads within the store's budget. A box that
// cannot reach this scheduler uses a fixed share of the budget.
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

// isScheduler reports whether this box schedules its region's loads.
func (b *Box) isScheduler() bool {
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
			Box: s.Box.Name, Zone: s.Box.Zone, Incarnation: rand.Text(), Caller: b.CallerAddress(), Peer: b.listeners.advertisedAddress(b.cfg.Settings.Listen),
		},
		Timing: member.Timing{Beat: s.Timing.Beat, LeaseTTL: s.Timing.LeaseTTL, Term: s.Timing.Term, Drain: s.Timing.Drain},
	})
}

func listenerAddress(l net.Listener) netip.AddrPort {
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
		Box: s.Box.Name, Catalog: b.catalog, Owners: b.owners, Callers: b.callers, Record: records, Scope: b.metrics.Scope, NewID: rand.Text,
		Engines:              b.engines,
		PeerClient:           httpx.NewClient(connsPerPeer),
		Services:             &http.Client{Transport: b.pairing.Transport(slowpeer.BoundWrites(b.links.anyWay(connsPerService), s.Callers.StallTimeout)), CheckRedirect: noRedirect},
		UnrepeatableServices: &http.Client{Transport: httpx.Checked(slowpeer.BoundWrites(b.links.transport(httpx.NewSingleUseTransport(), b.links.detours.Dial), s.Callers.StallTimeout)), CheckRedirect: noRedirect},
		Limits: gateway.Limits{
			BodyBytes: s.Request.BodyBytes, BodyTime: s.Request.BodyTime, DefaultWait: s.Request.DefaultWait,
			MaxDuration: s.Request.MaxDuration, LocateTTL: s.Request.LocateKeep,
		},
		Ready: b.feed.IsReady, Leaving: func() bool { return b.node.Leaving() }, Quarantine: b.quarantine, Places: b.places, Rates: b.rates, Notices: b.notices,
	})
}

// newCallerTracker returns the tracker of callers and endpoints that do not read.
func newCallerTracker(s settings.Settings, scope tally.Scope) *slowpeer.Tracker {
	return slowpeer.New(slowpeer.Config{
		Limits: slowpeer.Limits{StallTimeout: s.Callers.StallTimeout, HoldBytes: s.Process.HoldBytes()}, Scope: scope,
	})
}

// noRedirect makes an HTTP client return a redirect, which the box then sends to the caller, instead of following it.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (b *Box) addParts(api objects.API, records *record.Log) {
	peerMux := http.NewServeMux()
	peer.NewHandler(peer.HandlerConfig{
		Catalog: b.catalog, Beat: b.node.Receive, Batch: b.node.HandleBatch, Permits: b.scheduler, IsScheduler: b.isScheduler, NewID: rand.Text,
	}).Register(peerMux)
	b.gateway.RegisterPeer(peerMux)
	b.links.addTo(b.root, peerMux)
	notice.NewServer(notice.ServerConfig{Board: b.notices}).Register(peerMux)
	quarantine.NewServer(quarantine.ServerConfig{Client: b.quarantine}).Register(peerMux)
	places.NewServer(places.ServerConfig{Keeper: b.keeper, Rates: b.rates}).Register(peerMux)
	all := newServers(b.cfg.Settings.Process, b.metrics.Scope)
	op := operator.New(operator.Config{
		Box: b.cfg.Settings.Box.Name, API: api, Catalog: b.catalog, Metrics: b.metrics.Handler, IsReady: b.feed.IsReady,
		Membership: b.node.Status, Engines: b.owners.Status, InFlight: b.InFlight, Scope: b.metrics.Scope,
		RecentRequests: records, Quarantine: b.quarantine, RateLimits: b.rates.Limits, BrittleEndpoints: b.rates.BrittleEndpoints, Notices: b.notices, SlowPeers: b.callers.Status, SurplusAnswers: b.pairing.Status, Intake: all.pool.Status,
		Reach: b.links.reach.Status, Detours: b.links.status,
	})
	b.root.Add(all.add("caller", callerShare, b.listeners.caller, b.gateway.Handler()))
	b.root.Add(all.add("peer", peerShare, b.listeners.peer, peerMux))
	b.root.Add(all.add("operator", otherShare, b.listeners.operator, op.Handler()))
	b.root.Add(b.feed)
	b.root.Add(b.callers)
	b.root.Add(b.quarantine)
	b.root.Add(b.places)
	b.root.Add(b.noticeClient)
	b.root.Add(repair.New(repair.Config{API: api, Catalog: b.catalog, Active: b.isScheduler, Scope: b.metrics.Scope}))
	b.root.Add(delayedNode{b.feed.Ready(), b.node})
}

// delayedNode starts membership after the catalog is loaded, so that a box never owns an engine that it does not know.
type delayedNode struct {
	ready <-chan struct{}
	node  *member.Node
}

// Serve implements suture.Service.
func (a delayedNode) Serve(ctx context.Context) error {
	select {
	case <-a.ready:
		return a.node.Serve(ctx)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// CallerAddress returns the address to which callers connect.
func (b *Box) CallerAddress() netip.AddrPort { return listenerAddress(b.listeners.caller) }

// OperatorAddress returns the address to which operators connect.
func (b *Box) OperatorAddress() netip.AddrPort { return listenerAddress(b.listeners.operator) }

// Topology returns this box's current view of the fleet.
func (b *Box) Topology() *catalog.Topology { return b.catalog.Topology() }

// Done returns a channel that is closed when Run has returned.
func (b *Box) Done() <-chan struct{} { return b.done }

// InFlight returns the number of requests in flight through this box and on its engines, including those that it carries for other boxes.
func (b *Box) InFlight() int {
	return b.gateway.InFlight() + b.owners.InFlight() + b.links.carrier.Open()
}

// Run serves until ctx ends, then leaves: it refuses new requests, hands over its engines and finishes the requests in flight.
func (b *Box) Run(ctx context.Context) error {
	defer close(b.done)
	return runAndLeave(ctx, b.root, b.metrics, b.leave)
}

// runAndLeave runs a box's parts until ctx ends, then calls leave. The parts keep running until leave has returned.
func runAndLeave(ctx context.Context, root *suture.Supervisor, metrics *metric.Metrics, leave func(ctx context.Context)) error {
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

// leave waits until no requests are in flight and the engines are handed over, at most until shortly before the end of the configured leave time.
// Requests that are still in flight then get a final answer.
// If the handover is not complete two terms after the last request, there is no box that can take the engines, and leave returns.
func (b *Box) leave(ctx context.Context) {
	timing := b.cfg.Settings.Timing
	klog.InfoS("leaving", "box", b.cfg.Settings.Box.Name)
	b.node.Leave()
	endCalls := time.NewTimer(answersEnd(timing.Leave))
	defer endCalls.Stop()
	limit := time.NewTimer(answersEnd(timing.Leave) + answerMargin)
	defer limit.Stop()
	tick := time.NewTicker(leavePollInterval)
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
		case <-endCalls.C:
			klog.InfoS("leave time expires, ending the requests in flight", "in_flight", b.InFlight())
			b.gateway.EndCalls()
		case <-limit.C:
			klog.InfoS("leave time expired", "in_flight", b.InFlight(), "unfinished", b.gateway.LeftUnfinished())
			return
		case <-ctx.Done():
			return
		}
	}
}
