package box

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/follow"
	"github.com/bellgap/bellgap/internal/grant"
	"github.com/bellgap/bellgap/internal/httpx"
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
	"github.com/bellgap/bellgap/internal/quota"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/record"
	"github.com/bellgap/bellgap/internal/relay"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/settings"
)

const (
	// orderMargin is added to the gap between two owners' orders, for messages on their way.
	orderMargin = 200 * time.Millisecond
	// silentBeats is how many heartbeats a box may miss before callers are not sent to it.
	silentBeats = 3
	// firstWatchBeats is for how many heartbeats after a start a box waits for its first before it watches the store itself: a coordinator is
	// there within one or two when all start at once.
	firstWatchBeats = 2
	// tellShare is the part of a box's link that may pass large changes on: heartbeats have to be answered in time beside them.
	tellShare    = 0.1
	bytesPerMbit = 1e6 / 8
	// packed is how many bytes of a large change go into one of a compressed message, at the least: maps shrink to a seventh.
	packed = 4
)

// Deployment is what a platform's adapter gives a routed box.
type Deployment struct {
	API     objects.API
	Source  follow.Source
	Engines owner.Engines
	Wire    relay.Wire
	// NewDirectoryHandler answers callers that ask for addresses, Ready the platform's checks.
	NewDirectoryHandler func(*Routed) http.Handler
	NewReadyHandler     func(*Routed) http.Handler
}

// RoutedConfig configures a Routed.
type RoutedConfig struct {
	Settings   settings.Settings
	Deployment Deployment
}

// Routed is a running box that serves routes to endpoints found by discovery.
type Routed struct {
	cfg      RoutedConfig
	done     chan struct{}
	root     *suture.Supervisor
	metrics  *metric.Metrics
	catalog  *catalog.Catalog
	follower *follow.Follower
	owners   *owner.Set
	node     *member.Node
	relay    *relay.Relay
	// ledger holds the quotas of the customers for which this box is accountable.
	ledger      *quota.Ledger
	accountable *accountable
	// keeper counts the requests at the endpoints that are this box's to count, places takes places of all.
	keeper *places.Keeper
	places *places.Client
	// rates is what endpoints say of how many requests a second they take.
	rates *ratelimit.Registry
	// notices is what else they have said of themselves, teller tells other boxes.
	notices *notice.Board
	teller  *notice.Client
	// quarantine knows which requests reach no endpoint.
	quarantine *quarantine.Client
	listeners  listeners
	ready      net.Listener
	directory  net.Listener
	// leftAt is when the box was told to leave, nil before.
	leftAt atomic.Pointer[time.Time]
	// closed is set when the box, having nothing in flight, takes nothing more.
	closed atomic.Bool
	// told is what callers were last told of the fleet.
	told told
}

// NewRouted opens the listeners and builds the parts; Run runs them.
func NewRouted(cfg RoutedConfig) (*Routed, error) {
	l := cfg.Settings.Listen
	ls, err := listen(l)
	if err != nil {
		return nil, err
	}
	b := &Routed{
		cfg: cfg, done: make(chan struct{}), listeners: ls, metrics: metric.New(cfg.Settings.Box.Name), catalog: catalog.New(),
		root: suture.New("box", suture.Spec{EventHook: logEvent}),
	}
	if b.ready, err = net.Listen("tcp", l.Ready.String()); err != nil {
		return nil, eris.Wrap(err, "box: listen")
	}
	if b.directory, err = net.Listen("tcp", l.Directory.String()); err != nil {
		return nil, eris.Wrap(err, "box: listen")
	}
	b.ledger, b.accountable = quota.NewLedger(quota.LedgerConfig{Bounds: quota.Bounds{
		Window: cfg.Settings.Customers.QuotaWindow, Excess: cfg.Settings.Customers.QuotaExcess, Tolerance: cfg.Settings.Customers.QuotaTolerance,
	}}), newAccountable(accountableConfig{
		Box: cfg.Settings.Box.Name, Beat: cfg.Settings.Timing.Beat, Catalog: b.catalog, Membership: func() member.Status { return b.node.Status() },
	})
	b.rates = ratelimit.NewRegistry(ratelimit.RegistryConfig{Boxes: b.boxes, Scope: b.metrics.Scope})
	b.buildNotices()
	b.keeper = places.NewKeeper(mathrand.Uint64())
	b.places = places.NewClient(places.ClientConfig{
		HTTP: &http.Client{Transport: httpx.NewTransport(connsPerPeer)}, Locator: b.accountable, Keeper: b.keeper, Rates: b.rates, Scope: b.metrics.Scope,
	})
	b.follower = follow.New(follow.Config{
		Source: cfg.Deployment.Source, Catalog: b.catalog, Kinds: followedKinds(cfg.Settings.Customers), Grace: cfg.Settings.Platform.MissingEndpointGrace, Scope: b.metrics.Scope,
		RelayTimeout: silentBeats * cfg.Settings.Timing.Beat, FirstWatchDelay: firstWatchBeats * cfg.Settings.Timing.Beat, RelayRate: tellShare * packed * bytesPerMbit * cfg.Settings.Box.LinkMbps,
	})
	b.quarantine = newQuarantine(cfg.Settings, b.catalog, b.metrics.Scope)
	peers := peer.NewClient(peer.ClientConfig{HTTP: &http.Client{Transport: httpx.NewTransport(connsPerPeer)}})
	grants := grant.NewClient(grant.ClientConfig{HTTP: &http.Client{Transport: httpx.NewTransport(connsPerPeer)}, Rates: b.rates, Scope: b.metrics.Scope})
	scheduler := b.buildOwners(peers)
	b.buildNode(peers)
	b.buildRelay(grants)
	b.serve(grants, scheduler)
	return b, nil
}

// buildNotices builds what is known of endpoints by their own word. The fleet's view has it at once; owners learn it, and other boxes are told.
func (b *Routed) buildNotices() {
	b.notices = notice.NewBoard(notice.BoardConfig{Scope: b.metrics.Scope, OnLeaving: func(e notice.Endpoint, heard bool) {
		b.catalog.InvalidateTopology()
		if runner, ok := b.owners.Get(e.Name); ok {
			runner.RecordLeaving()
		}
		if heard {
			b.teller.ReportLeaving(e)
		}
	}})
	b.catalog.SetLeavingFunc(func(endpoint string, started int64) bool {
		return b.notices.HasEntries() && b.notices.IsLeaving(clock.Now(), notice.Endpoint{Name: endpoint, Started: started})
	})
	b.teller = newTeller(tellerConfig{Board: b.notices, Catalog: b.catalog, Box: b.cfg.Settings.Box.Name, Scope: b.metrics.Scope})
}

// buildOwners builds the engines of this box. The weight store's budget limits base models; one box of the region schedules it.
func (b *Routed) buildOwners(peers *peer.Client) *loads.Local {
	scheduler := loads.NewLocal(loads.LocalConfig{Budget: b.loadBudget})
	fallback := loads.NewLocal(loads.LocalConfig{Budget: func() loads.Budget {
		budget := b.loadBudget()
		return loads.Budget{PerSecond: loads.FallbackShare * budget.PerSecond / float64(b.boxes()), MaxConcurrent: 1}
	}})
	b.root.Add(scheduler)
	b.root.Add(fallback)
	budgeted := loads.NewShared(loads.SharedConfig{
		OwnScheduler: scheduler, Fallback: fallback, Remote: peers, Scope: b.metrics.Scope,
		Scheduler: func() (string, bool) {
			m := b.scheduler()
			return m.Peer.String(), m.Box == b.cfg.Settings.Box.Name
		},
	})
	var adapters loads.Source = loads.Unlimited{}
	if b.cfg.Settings.Loads.Limit == settings.LimitAdapters {
		adapters = budgeted
	}
	b.owners = owner.NewSet(owner.SetConfig{
		Supervisor: b.root, Loads: adapters, BaseLoads: budgeted, Scope: b.metrics.Scope, Client: quarantinedOrders{b.cfg.Deployment.Engines, b.quarantine},
		PrefillRate: b.cfg.Settings.Routes.PrefillRate, Policy: b.cfg.Settings.Policy.Build(),
		Authority: func(name string, now time.Time) (uint64, bool) { return b.node.Authority(name, now) },
		Lookup:    b.lookupEngine, Rates: b.rates, Notices: b.notices,
		Leaving: func(name string) bool { return b.catalog.Topology().Engines[name].Leaving },
	})
	return scheduler
}

// loadBudget returns what the routing configuration allows, else what the settings say.
func (b *Routed) loadBudget() loads.Budget {
	budget := loads.Budget{PerSecond: b.cfg.Settings.Loads.PerSecond, MaxConcurrent: b.cfg.Settings.Loads.MaxConcurrent}
	t := b.catalog.Topology().Routes
	if t == nil {
		return budget
	}
	for _, s := range t.Services() {
		if s.Engine != nil && s.Engine.LoadsPerSecond > 0 {
			budget.PerSecond = min(budget.PerSecond, s.Engine.LoadsPerSecond)
		}
	}
	return budget
}

func (b *Routed) scheduler() coordinator.Member {
	return b.catalog.Topology().Schedulers[b.cfg.Settings.Box.Region]
}

// boxes returns how many boxes this one knows of, itself included.
func (b *Routed) boxes() int { return max(1, len(b.catalog.Topology().Boxes)) }

func (b *Routed) lookupEngine(name string) (owner.Declared, bool) {
	e, ok := b.catalog.Topology().Engines[name]
	if !ok {
		return owner.Declared{}, false
	}
	return owner.Declared{Engine: *e.Spec}, true
}

func (b *Routed) buildNode(peers *peer.Client) {
	s := b.cfg.Settings
	t := s.Timing
	b.node = member.New(member.Config{
		Cell: s.Box.Cell, Region: s.Box.Region, API: b.cfg.Deployment.API, Peers: peers, Catalog: b.catalog, Holder: b.owners, Scope: b.metrics.Scope, NewToken: rand.Text, Spread: b.follower,
		Quarantine: b.quarantine,
		Self: coordinator.Member{
			Box: s.Box.Name, Zone: s.Box.Zone, Incarnation: rand.Text(), Caller: addressOf(b.listeners.caller), Peer: b.listeners.advertised(s.Listen),
		},
		Timing: member.Timing{
			Beat: t.Beat, LeaseTTL: t.LeaseTTL, Term: t.Term, Drain: t.Drain, SilentAfter: silentBeats * t.Beat, OrderGap: t.OrderGap + orderMargin, Reclaim: t.Reclaim,
		},
	})
}

func (b *Routed) buildRelay(grants *grant.Client) {
	s := b.cfg.Settings
	b.relay = relay.New(relay.Config{
		Box: s.Box.Name, Zone: s.Box.Zone, Catalog: b.catalog, Owners: b.owners, Grants: grants, Wire: b.cfg.Deployment.Wire, Scope: b.metrics.Scope,
		Endpoints: &http.Client{Transport: httpx.NewTransport(connsPerEngine), CheckRedirect: noRedirect},
		Budget:    relay.BudgetConfig{RetriesPerRequest: s.Routes.RetryRatio, Allowance: s.Routes.RetryAllowance, Boxes: b.boxes},
		Policy:    s.Policy.Build(),
		Quotas:    quota.NewClient(quota.ClientConfig{HTTP: &http.Client{Transport: httpx.NewTransport(connsPerPeer)}, Accountable: b.accountable, Ledger: b.ledger, Scope: b.metrics.Scope}),
		Places:    b.places, Quarantine: b.quarantine, Rates: b.rates, Notices: b.notices,
		AgeLimits: relay.ConfigAgeLimits{
			ConfirmedAt: func() time.Time { return b.follower.ConfirmedAt(string(resource.KindRouting)) },
			MaxForKeys:  s.Customers.RevokedWithin, MaxForUnknown: s.Customers.InForceWithin,
		},
		StoreAge: b.follower.StoreAge, Leaving: b.leavingFor, Closing: b.closed.Load, LastStream: s.Timing.LastStream, LastRequest: max(0, s.Timing.Leave-lastRefusal),
	})
}

func (b *Routed) serve(grants *grant.Client, scheduler *loads.Local) {
	peerMux := http.NewServeMux()
	peer.NewHandler(peer.HandlerConfig{
		Catalog: b.catalog, Beat: b.node.Receive, Batch: b.node.HandleBatch, Permits: scheduler, NewID: rand.Text,
		IsScheduler: func() bool { return b.scheduler().Box == b.cfg.Settings.Box.Name },
	}).Register(peerMux)
	grant.NewServer(grant.ServerConfig{Owners: b.owners, Rates: b.rates}).Register(peerMux)
	notice.NewServer(notice.ServerConfig{Board: b.notices}).Register(peerMux)
	quarantine.NewServer(quarantine.ServerConfig{Client: b.quarantine}).Register(peerMux)
	places.NewServer(places.ServerConfig{Keeper: b.keeper, Rates: b.rates}).Register(peerMux)
	quota.NewServer(quota.ServerConfig{Ledger: b.ledger, Accountable: b.accountable, Customer: b.customer}).Register(peerMux)
	op := operator.New(operator.Config{
		Box: b.cfg.Settings.Box.Name, API: b.cfg.Deployment.API, Catalog: b.catalog, Metrics: b.metrics.Handler, IsReady: b.Ready,
		Membership: b.node.Status, Engines: b.owners.Status, InFlight: b.InFlight, Scope: b.metrics.Scope, RecentRequests: record.New(),
		Quarantine: b.quarantine, RateLimits: b.rates.Limits, Notices: b.notices, LastRestore: b.follower.LastRestore,
	})
	b.root.Add(server{b.listeners.caller, b.relay})
	b.root.Add(server{b.listeners.peer, peerMux})
	b.root.Add(server{b.listeners.operator, op.Handler()})
	b.root.Add(server{b.ready, b.cfg.Deployment.NewReadyHandler(b)})
	b.root.Add(server{b.directory, b.cfg.Deployment.NewDirectoryHandler(b)})
	b.root.Add(b.follower)
	b.root.Add(grants)
	b.root.Add(b.places)
	b.root.Add(b.teller)
	b.root.Add(b.quarantine)
	b.root.Add(afterReady{b.follower.Ready(), b.node})
}

// CallerAddress returns where callers connect.
func (b *Routed) CallerAddress() netip.AddrPort { return addressOf(b.listeners.caller) }

// DirectoryAddress returns where callers ask for addresses.
func (b *Routed) DirectoryAddress() netip.AddrPort { return addressOf(b.directory) }

// Topology returns the fleet as this box knows it.
func (b *Routed) Topology() *catalog.Topology { return b.catalog.Topology() }

// Done is closed when Run has ended.
func (b *Routed) Done() <-chan struct{} { return b.done }

// InFlight returns the requests in flight through this box.
func (b *Routed) InFlight() int { return b.relay.InFlight() }

// Ready reports whether this box takes requests: it knows routes and endpoints, and which of these leave, and is not leaving.
func (b *Routed) Ready() bool {
	t := b.catalog.Topology()
	return b.follower.IsReady() && t.Routes != nil && len(t.Endpoints) > 0 && b.leavingFor() == 0 && b.teller.IsCaughtUp()
}

// Run serves until ctx ends, then leaves.
func (b *Routed) Run(ctx context.Context) error {
	defer close(b.done)
	return runUntilLeft(ctx, b.root, b.metrics, b.leave)
}
