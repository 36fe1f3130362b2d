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
	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/demand"
	"github.com/bellgap/bellgap/internal/engineload"
	"github.com/bellgap/bellgap/internal/figures"
	"github.com/bellgap/bellgap/internal/follow"
	"github.com/bellgap/bellgap/internal/grant"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/loads"
	"github.com/bellgap/bellgap/internal/member"
	"github.com/bellgap/bellgap/internal/metric"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/operator"
	"github.com/bellgap/bellgap/internal/origin"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/pairing"
	"github.com/bellgap/bellgap/internal/peer"
	"github.com/bellgap/bellgap/internal/places"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/quota"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/reach"
	"github.com/bellgap/bellgap/internal/record"
	"github.com/bellgap/bellgap/internal/relay"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/settings"
	"github.com/bellgap/bellgap/internal/share"
	"github.com/bellgap/bellgap/internal/slowpeer"
	"github.com/bellgap/bellgap/internal/softwareversion"
)

const (
	// orderMargin is added to the time between the orders of two successive owners, to allow for messages in transit.
	orderMargin = 200 * time.Millisecond
	// maxMissedBeats is the number of heartbeats a box may miss before it is considered silent and callers no longer receive its address.
	maxMissedBeats = 3
	// firstWatchDelayBeats is the number of heartbeat intervals a box waits after its start before it watches the store itself. If all boxes start at
	// once, a coordinator is available within one or two heartbeats and sends the changes.
	firstWatchDelayBeats = 2
	// relayLinkShare is the share of a box's link that may be used to relay large changes. The rest keeps heartbeat replies on time.
	relayLinkShare = 0.1
	bytesPerMbit   = 1e6 / 8
	// minCompression is the assumed minimum compression ratio of large changes. Cell maps shrink to a seventh of their size.
	minCompression = 4
)

// Deployment contains the parts of a routed box that depend on the platform.
type Deployment struct {
	API    objects.API
	Source follow.Source
	// NewEngines returns the client of the engines.
	NewEngines func(EngineClients) owner.Engines
	// ReadEndpoint reads the current entry of an endpoint from the store. Nil reads none.
	ReadEndpoint func(ctx context.Context, name string) (resource.Endpoint, error)
	// DialEndpoint opens connections to endpoints, nil uses TCP.
	DialEndpoint reach.DialFunc
	Wire         relay.Wire
	// NewDirectoryHandler returns the handler for callers' requests for addresses. Ready returns the handler for the platform's readiness
	// checks.
	NewDirectoryHandler func(*Routed) http.Handler
	NewReadyHandler     func(*Routed) http.Handler
}

// EngineClients are the HTTP clients with which a box calls its engines. They send no call twice.
type EngineClients struct {
	// Orders sends orders, over direct connections only. Reports fetches reports, also through other boxes.
	Orders  *http.Client
	Reports *http.Client
	// OnRate records what an engine said of its rate limit and of being brittle in the answer to an order.
	OnRate func(engine string, report ratelimit.Report)
	Scope  tally.Scope
}

// RoutedConfig configures a Routed.
type RoutedConfig struct {
	Settings   settings.Settings
	Deployment Deployment
}

// Routed is a running box that routes requests to endpoints found by discovery.
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
	callers  *slowpeer.Tracker
	// links are the connections to endpoints. pairing drops answers on them that belong to no request.
	links   *links
	pairing *pairing.Pairing
	// ledger counts the quota use of the customers for which this box is accountable.
	ledger  *quota.Ledger
	locator *locator
	// keeper counts the requests at the endpoints that are assigned to this box. places acquires places at all endpoints.
	keeper *places.Keeper
	places *places.Client
	// rates holds the rate limits that endpoints report.
	rates *ratelimit.Registry
	// engineLoads holds the loads of scarce engines. figures exchanges them with other boxes. Both are nil if no engine can be scarce.
	engineLoads *engineload.Table
	figures     *figures.Exchange
	// notices holds the other notices that endpoints have sent about themselves. noticeClient forwards notices of leaving endpoints to other
	// boxes.
	notices      *notice.Board
	noticeClient *notice.Client
	// demand counts the requests for scarce services and holds the shares in force. gate admits requests by these shares.
	demand *demand.Exchange
	gate   *share.Gate
	// origins records the software versions at which streams began. originRegister holds the records of this box.
	origins        *origin.Client
	originRegister *origin.Register
	// streamArchive keeps these records in the platform's store.
	streamArchive *origin.Archive
	// quarantine blocks requests that have crashed endpoints.
	quarantine        *quarantine.Client
	listeners         listeners
	readyListener     net.Listener
	directoryListener net.Listener
	// leavingSince is the time at which the box began to leave, nil before that.
	leavingSince atomic.Pointer[time.Time]
	// closed is set when a leaving box has no requests in flight and accepts no more.
	closed atomic.Bool
	// lastView is the last list of boxes that callers received.
	lastView lastView
}

// NewRouted opens the listeners and builds the parts. Run runs them.
func NewRouted(cfg RoutedConfig) (*Routed, error) {
	l := cfg.Settings.Listen
	ls, err := listen(l)
	if err != nil {
		return nil, err
	}
	b := &Routed{
		cfg: cfg, done: make(chan struct{}), listeners: ls, metrics: metric.New(cfg.Settings.Box.Name), catalog: catalog.New(),
		root: suture.New("box", suture.Spec{EventHook: logSupervisorEvent}),
	}
	if b.readyListener, err = net.Listen("tcp", l.Ready.String()); err != nil {
		return nil, eris.Wrap(err, "box: listen")
	}
	if b.directoryListener, err = net.Listen("tcp", l.Directory.String()); err != nil {
		return nil, eris.Wrap(err, "box: listen")
	}
	b.callers = newCallerTracker(cfg.Settings, b.metrics.Scope)
	b.links = newLinks(linksConfig{
		Settings: cfg.Settings, Catalog: b.catalog, Dial: cfg.Deployment.DialEndpoint, IsLeaving: func() bool { return b.leavingDuration() > 0 }, OnDetached: func() { b.relay.GiveUpUnanswered() },
		OnCarrierLost: func(box netip.AddrPort) { b.relay.GiveUpUnansweredThrough(box) }, Scope: b.metrics.Scope,
	})
	b.pairing = pairing.New(pairing.Config{ID: cfg.Deployment.Wire.ID, IsIDReturned: true, MaxRequests: cfg.Settings.Endpoints.MaxRequests, MaxSurplusBytes: cfg.Settings.Endpoints.MaxSurplusBytes(), Scope: b.metrics.Scope})
	b.catalog.SetScarceSlots(cfg.Settings.Capacity.ScarceSlots)
	b.catalog.SetAllSlots(cfg.Settings.Policy.Build().IsEnabled(policy.AllSlots))
	b.ledger, b.locator = quota.NewLedger(quota.LedgerConfig{Bounds: quota.Bounds{
		Window: cfg.Settings.Customers.QuotaWindow, Excess: cfg.Settings.Customers.QuotaExcess, Tolerance: cfg.Settings.Customers.QuotaTolerance,
	}}), newLocator(locatorConfig{
		Box: cfg.Settings.Box.Name, Beat: cfg.Settings.Timing.Beat, Catalog: b.catalog, Membership: func() member.Status { return b.node.Status() },
	})
	b.rates = ratelimit.NewRegistry(ratelimit.RegistryConfig{Boxes: b.boxCount, Scope: b.metrics.Scope})
	b.buildNotices()
	b.keeper = places.NewKeeper(mathrand.Uint64())
	b.places = places.NewClient(places.ClientConfig{
		HTTP: httpx.NewClient(connsPerPeer), Locator: b.locator, Keeper: b.keeper, Rates: b.rates, Scope: b.metrics.Scope,
	})
	b.follower = follow.New(follow.Config{
		Source: cfg.Deployment.Source, Catalog: b.catalog, Kinds: followedKinds(cfg.Settings.Customers), Grace: cfg.Settings.Platform.MissingEndpointGrace, Scope: b.metrics.Scope,
		RelayTimeout: maxMissedBeats * cfg.Settings.Timing.Beat, FirstWatchDelay: firstWatchDelayBeats * cfg.Settings.Timing.Beat, RelayRate: relayLinkShare * minCompression * bytesPerMbit * cfg.Settings.Box.LinkMbps,
	})
	b.quarantine = newQuarantine(cfg.Settings, b.catalog, b.metrics.Scope, b.links.detours.IsDown)
	if cfg.Settings.Capacity.ScarceSlots > 0 {
		b.engineLoads = engineload.NewTable(engineload.TableConfig{Scope: b.metrics.Scope})
	}
	peers := peer.NewClient(peer.ClientConfig{HTTP: httpx.NewClient(connsPerPeer)})
	grants := grant.NewClient(grant.ClientConfig{HTTP: httpx.NewClient(connsPerPeer), Rates: b.rates, EngineLoads: b.engineLoads, Scope: b.metrics.Scope})
	scheduler := b.buildOwners(peers)
	b.buildShares()
	b.buildFigures()
	b.buildNode(peers)
	b.buildOrigins()
	b.buildRelay(grants)
	b.addParts(grants, scheduler)
	return b, nil
}

// engineClients returns the clients for orders and reports.
func (b *Routed) engineClients() EngineClients {
	return EngineClients{
		Orders:  &http.Client{Transport: b.pairing.Transport(b.links.transport(httpx.NewTransport(connsPerOwnedEngine), b.links.detours.DialDirect))},
		Reports: &http.Client{Transport: b.pairing.Transport(b.links.anyWay(connsPerOwnedEngine))},
		OnRate:  b.recordRate,
		Scope:   b.metrics.Scope,
	}
}

// recordRate records the rate limit that an engine of this box reported.
func (b *Routed) recordRate(engine string, report ratelimit.Report) {
	e, ok := b.catalog.Topology().Engines[engine]
	if !ok {
		return
	}
	report.Started = e.Spec.Started
	if !b.rates.Record(clock.Now(), engine, report) {
		return
	}
	if runner, ok := b.owners.Get(engine); ok {
		runner.UpdateRate(report)
	}
}

// buildNotices builds the board of the notices that endpoints send about themselves. A notice that an endpoint is leaving takes effect in the topology
// immediately, is recorded by the owner of the endpoint and is forwarded to the other boxes.
func (b *Routed) buildNotices() {
	b.notices = notice.NewBoard(notice.BoardConfig{Scope: b.metrics.Scope, OnLeaving: func(e notice.Endpoint, firsthand bool) {
		b.catalog.InvalidateTopology()
		if runner, ok := b.owners.Get(e.Name); ok {
			runner.RecordLeaving()
		}
		if firsthand {
			b.noticeClient.ReportLeaving(e)
		}
	}})
	b.catalog.SetLeavingFunc(func(endpoint string, started int64) bool {
		return b.notices.HasEntries() && b.notices.IsLeaving(clock.Now(), notice.Endpoint{Name: endpoint, Started: started})
	})
	b.noticeClient = newNoticeClient(noticeClientConfig{Board: b.notices, Catalog: b.catalog, Box: b.cfg.Settings.Box.Name, Scope: b.metrics.Scope})
}

// buildOwners builds the owners of this box's engines. The weight store's budget limits the loads of base models and, depending on the settings, of
// adapters. One box of the region schedules this budget.
func (b *Routed) buildOwners(peers *peer.Client) *loads.Local {
	scheduler := loads.NewLocal(loads.LocalConfig{Budget: b.loadBudget})
	fallback := loads.NewLocal(loads.LocalConfig{Budget: func() loads.Budget {
		budget := b.loadBudget()
		return loads.Budget{PerSecond: loads.FallbackShare * budget.PerSecond / float64(b.boxCount()), MaxConcurrent: 1}
	}})
	b.root.Add(scheduler)
	b.root.Add(fallback)
	budgeted := loads.NewShared(loads.SharedConfig{
		OwnScheduler: scheduler, Fallback: fallback, Remote: peers, Scope: b.metrics.Scope,
		Scheduler: func() (string, bool) {
			m := b.schedulerMember()
			return m.Peer.String(), m.Box == b.cfg.Settings.Box.Name
		},
	})
	var adapters loads.Source = loads.Unlimited{}
	if b.cfg.Settings.Loads.Limit == settings.LimitAdapters {
		adapters = budgeted
	}
	b.owners = owner.NewSet(owner.SetConfig{
		Supervisor: b.root, Loads: adapters, BaseLoads: budgeted, Scope: b.metrics.Scope, Client: quarantiningEngines{b.cfg.Deployment.NewEngines(b.engineClients()), b.quarantine},
		PrefillRate: b.cfg.Settings.Routes.PrefillRate, Policy: b.cfg.Settings.Policy.Build(),
		Authority: b.orderAuthority, Lookup: b.lookupEngine, Rates: b.rates, Notices: b.notices, EngineLoads: b.engineLoads,
		Leaving: func(name string) bool { return b.catalog.Topology().Engines[name].Leaving },
	})
	return scheduler
}

// orderAuthority returns the epoch under which this box may send orders to an engine. A box that reaches no endpoint sends none: requests that need
// them then go to the engines of other boxes at once.
func (b *Routed) orderAuthority(engine string, now time.Time) (epoch uint64, ok bool) {
	epoch, ok = b.node.Authority(engine, now)
	return epoch, ok && !b.links.reach.IsDetached()
}

// loadBudget returns the budget from the settings, reduced to the lowest limit in the routing configuration.
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

func (b *Routed) schedulerMember() coordinator.Member {
	return b.catalog.Topology().Schedulers[b.cfg.Settings.Box.Region]
}

// boxCount returns the number of boxes that this box knows, including itself.
func (b *Routed) boxCount() int { return max(1, len(b.catalog.Topology().Boxes)) }

func (b *Routed) lookupEngine(name string) (owner.Declared, bool) {
	e, ok := b.catalog.Topology().Engines[name]
	if !ok {
		return owner.Declared{}, false
	}
	return owner.Declared{Engine: *e.Spec}, true
}

// buildFigures builds the exchange of figures with other boxes, if engines can be scarce.
func (b *Routed) buildFigures() {
	if b.engineLoads == nil {
		return
	}
	b.figures = figures.New(figures.Config{Box: b.cfg.Settings.Box.Name, OwnLoads: b.owners.Loads, Loads: b.engineLoads, Demand: b.demand, Scope: b.metrics.Scope})
}

// versionRetentions is how long the cell map lists a software version after its last endpoint is gone, in longest streams: one may have
// begun at the endpoint just before, and boxes may have known the endpoint for longer than the coordinator.
const versionRetentions = 2

func (b *Routed) buildNode(peers *peer.Client) {
	s := b.cfg.Settings
	t := s.Timing
	cfg := member.Config{
		Cell: s.Box.Cell, Region: s.Box.Region, API: b.cfg.Deployment.API, Peers: peers, Catalog: b.catalog, Holder: b.owners, Scope: b.metrics.Scope, NewToken: rand.Text, Spread: b.follower,
		Quarantine: b.quarantine, SoftwareVersions: softwareversion.NewTracker(softwareversion.TrackerConfig{Retention: versionRetentions * s.Streams.OriginTTL}),
		Self: coordinator.Member{
			Box: s.Box.Name, Zone: s.Box.Zone, Incarnation: rand.Text(), Caller: listenerAddress(b.listeners.caller), Peer: b.listeners.advertisedAddress(s.Listen),
		},
		Timing: member.Timing{
			Beat: t.Beat, LeaseTTL: t.LeaseTTL, Term: t.Term, Drain: t.Drain, SilentAfter: maxMissedBeats * t.Beat, OrderGap: t.OrderGap + orderMargin, Reclaim: t.Reclaim,
		},
	}
	cfg.IsDetached = func() bool { return !b.links.reach.CanOwnEngines() }
	if b.figures != nil {
		cfg.Figures = b.figures
	}
	b.node = member.New(cfg)
}

// buildOrigins builds the records of the software versions at which streams began.
func (b *Routed) buildOrigins() {
	s := b.cfg.Settings
	b.originRegister = origin.NewRegister(origin.RegisterConfig{MaxRecords: s.Streams.Origins, TTL: s.Streams.OriginTTL})
	fleet := newOriginFleet(b.catalog, s.Box.Name)
	b.streamArchive = origin.NewArchive(origin.ArchiveConfig{
		API: b.cfg.Deployment.API, Box: s.Box.Name, Interval: s.Streams.ArchiveInterval, Retention: versionRetentions * s.Streams.OriginTTL,
		Writers: fleet.Archivists, IsCleaner: fleet.IsArchivist, Scope: b.metrics.Scope,
	})
	b.origins = origin.NewClient(origin.ClientConfig{
		HTTP: httpx.NewClient(connsPerOriginPeer), Register: b.originRegister,
		Fleet: fleet, Archive: b.streamArchive, Scope: b.metrics.Scope,
	})
}

func (b *Routed) buildRelay(grants *grant.Client) {
	s := b.cfg.Settings
	cfg := relay.Config{
		Box: s.Box.Name, Zone: s.Box.Zone, Catalog: b.catalog, Owners: b.owners, Grants: grants, Wire: b.cfg.Deployment.Wire, Scope: b.metrics.Scope,
		Endpoints:   &http.Client{Transport: b.pairing.Transport(slowpeer.BoundWrites(b.links.anyWay(connsPerEngine), s.Callers.StallTimeout)), CheckRedirect: noRedirect},
		Connections: b.pairing, ReadEndpoint: b.cfg.Deployment.ReadEndpoint,
		Budget: relay.BudgetConfig{RetriesPerRequest: s.Routes.RetryRatio, Allowance: s.Routes.RetryAllowance, Boxes: b.boxCount},
		Policy: s.Policy.Build(), PrefillRate: s.Routes.PrefillRate,
		Quotas: quota.NewClient(quota.ClientConfig{HTTP: httpx.NewClient(connsPerPeer), Accountable: b.locator, Ledger: b.ledger, Scope: b.metrics.Scope}),
		Places: b.places, Quarantine: b.quarantine, Rates: b.rates, Notices: b.notices, Gate: b.gate, Demand: b.demand, Callers: b.callers,
		Origins: b.origins, StreamMemory: s.Streams.OriginTTL,
		VersionHistory: newVersionHistory(versionHistoryConfig{Catalog: b.catalog, API: b.cfg.Deployment.API}),
		AgeLimits: relay.ConfigAgeLimits{
			ConfirmedAt: func() time.Time { return b.follower.ConfirmedAt(string(resource.KindRouting)) },
			MaxForKeys:  s.Customers.RevokedWithin, MaxForUnknown: s.Customers.InForceWithin,
		},
		StoreAge: b.follower.StoreAge, Leaving: b.leavingDuration, Closing: b.closed.Load, LastStream: s.Timing.LastStream, AnswersEnd: answersEnd(s.Timing.Leave),
	}
	if b.engineLoads != nil {
		cfg.Loads = b.engineLoads
	}
	b.relay = relay.New(cfg)
}

func (b *Routed) addParts(grants *grant.Client, scheduler *loads.Local) {
	peerMux := http.NewServeMux()
	peer.NewHandler(peer.HandlerConfig{
		Catalog: b.catalog, Beat: b.node.Receive, Batch: b.node.HandleBatch, Permits: scheduler, NewID: rand.Text,
		IsScheduler: func() bool { return b.schedulerMember().Box == b.cfg.Settings.Box.Name },
	}).Register(peerMux)
	grant.NewServer(grant.ServerConfig{Owners: b.owners, Rates: b.rates}).Register(peerMux)
	notice.NewServer(notice.ServerConfig{Board: b.notices}).Register(peerMux)
	quarantine.NewServer(quarantine.ServerConfig{Client: b.quarantine}).Register(peerMux)
	places.NewServer(places.ServerConfig{Keeper: b.keeper, Rates: b.rates}).Register(peerMux)
	origin.NewServer(origin.ServerConfig{Register: b.originRegister, Archive: b.streamArchive}).Register(peerMux)
	b.links.addTo(b.root, peerMux)
	quota.NewServer(quota.ServerConfig{Ledger: b.ledger, Accountable: b.locator, Customer: b.customer}).Register(peerMux)
	all := newServers(b.cfg.Settings.Process, b.metrics.Scope)
	op := operator.New(operator.Config{
		Box: b.cfg.Settings.Box.Name, API: b.cfg.Deployment.API, Catalog: b.catalog, Metrics: b.metrics.Handler, IsReady: b.Ready,
		Membership: b.node.Status, Engines: b.owners.Status, InFlight: b.InFlight, Leaving: b.leaveStatus, Scope: b.metrics.Scope, RecentRequests: record.New(),
		Quarantine: b.quarantine, RateLimits: b.rates.Limits, BrittleEndpoints: b.rates.BrittleEndpoints, Notices: b.notices, LastRestore: b.follower.LastRestore, EngineLoads: b.EngineLoads, Shortages: b.gate.Shortages, SlowPeers: b.callers.Status, Reach: b.links.reach.Status, Detours: b.links.status,
		StreamOrigins: b.origins.Len, WaitingOrigins: b.streamArchive.Len, SurplusAnswers: b.pairing.Status, Intake: all.pool.Status, Promises: b.relay.Promises,
	})
	b.root.Add(all.add("caller", callerShare, b.listeners.caller, b.relay))
	b.root.Add(all.add("peer", peerShare, b.listeners.peer, peerMux))
	b.root.Add(all.add("operator", otherShare, b.listeners.operator, op.Handler()))
	b.root.Add(all.add("ready", otherShare, b.readyListener, b.cfg.Deployment.NewReadyHandler(b)))
	b.root.Add(all.add("directory", otherShare, b.directoryListener, b.cfg.Deployment.NewDirectoryHandler(b)))
	b.root.Add(b.follower)
	b.root.Add(b.callers)
	b.root.Add(grants)
	b.root.Add(b.places)
	b.root.Add(b.noticeClient)
	b.root.Add(b.quarantine)
	b.root.Add(b.origins)
	b.root.Add(b.streamArchive)
	b.root.Add(delayedNode{b.follower.Ready(), b.node})
}

// EngineLoads returns the known loads of scarce engines, those with the highest prefill rates first.
func (b *Routed) EngineLoads(now time.Time) []engineload.Sent {
	if b.engineLoads == nil {
		return nil
	}
	return b.engineLoads.Known(now)
}

// CallerAddress returns the address to which callers connect.
func (b *Routed) CallerAddress() netip.AddrPort { return listenerAddress(b.listeners.caller) }

// OperatorAddress returns the address to which operators connect.
func (b *Routed) OperatorAddress() netip.AddrPort { return listenerAddress(b.listeners.operator) }

// DirectoryAddress returns the address at which callers request the addresses of boxes.
func (b *Routed) DirectoryAddress() netip.AddrPort { return listenerAddress(b.directoryListener) }

// Topology returns this box's current view of the fleet.
func (b *Routed) Topology() *catalog.Topology { return b.catalog.Topology() }

// Done returns a channel that is closed when Run has returned.
func (b *Routed) Done() <-chan struct{} { return b.done }

// InFlight returns the number of requests in flight through this box, including those that it carries for other boxes.
func (b *Routed) InFlight() int { return b.relay.InFlight() + b.links.carrier.Open() }

// IsDetached reports whether this box reaches no endpoint.
func (b *Routed) IsDetached() bool { return b.links.reach.IsDetached() }

// QuarantineCases returns the requests that this box knows to have crashed endpoints, most crashes first.
func (b *Routed) QuarantineCases() []quarantine.Case { return b.quarantine.Cases() }

// Ready reports whether this box accepts requests: it knows the routes, the endpoints and which endpoints are leaving, and is not leaving itself.
func (b *Routed) Ready() bool {
	t := b.catalog.Topology()
	return b.follower.IsReady() && t.Routes != nil && len(t.Endpoints) > 0 && b.leavingDuration() == 0 && b.noticeClient.IsCaughtUp()
}

// Run serves until ctx ends, then leaves.
func (b *Routed) Run(ctx context.Context) error {
	defer close(b.done)
	return runAndLeave(ctx, b.root, b.metrics, b.leave)
}
