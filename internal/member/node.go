// Package member keeps one box in its cell: heartbeats, the coordinator's lease, and the grants that follow.
package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/aggregator"
	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/lease"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/part"
	"github.com/bellgap/bellgap/internal/quarantine"
)

// Peers sends heartbeats to other boxes. It is an interface at the network boundary.
type Peers interface {
	Beat(ctx context.Context, address string, b coordinator.Beat) (coordinator.Reply, error)
	BeatBatch(ctx context.Context, address string, b coordinator.Batch) (coordinator.BatchReply, error)
}

// Holder is what the node tells about and updates: the engines of this box.
type Holder interface {
	Update(grants []coordinator.Ownership, release []string)
	Released() (released, draining []string)
}

// Quarantine is what the cell map says of requests that reach no endpoint.
type Quarantine interface {
	// ToPublish returns what the next map is to name, Inherit takes in what the last map of another coordinator named.
	ToPublish() []quarantine.Held
	Inherit(all []quarantine.Held)
}

// Timing holds the periods of membership.
type Timing struct {
	// Beat is the time between heartbeats.
	Beat time.Duration
	// LeaseTTL is how long the lease is valid after a renewal.
	LeaseTTL time.Duration
	// Term is how long a grant is valid after its heartbeat was sent.
	Term time.Duration
	// Drain is how long after its term a silent box may have requests in flight.
	Drain time.Duration
	// SilentAfter, OrderGap and Reclaim are as in coordinator.Config.
	SilentAfter time.Duration
	OrderGap    time.Duration
	Reclaim     bool
}

// DefaultTiming returns the periods for boxes about a millisecond apart.
func DefaultTiming() Timing {
	return Timing{Beat: time.Second, LeaseTTL: 3 * time.Second, Term: 4 * time.Second, Drain: 10 * time.Minute}
}

// Config configures a Node.
type Config struct {
	// Cell names the boxes and engines that are coordinated together.
	Cell    string
	Region  string
	Self    coordinator.Member
	API     objects.API
	Peers   Peers
	Catalog *catalog.Catalog
	Holder  Holder
	Timing  Timing
	Scope   tally.Scope
	// Spread passes changes on with heartbeats; nil passes none.
	Spread Spread
	// Quarantine is published with the cell map; nil publishes nothing.
	Quarantine Quarantine
	// NewToken returns a token that no other write carries.
	NewToken func() string
}

const (
	// maxCandidates is how many boxes seek a free lease one after the other before all others do.
	maxCandidates = 3
	// earlyBeat is the part of the time between heartbeats after which one is sent early.
	earlyBeat = 20
	// boxListBeats is how many heartbeats lie between two reads of the platform's box list.
	boxListBeats = 2
	// dutyShare is the part of the lease's time that one duty of a round may take.
	dutyShare = 3
	// seekShare is the part of the lease's time between two looks at it of a box that others go before.
	seekShare = 2
	// renewBelow is the part of the lease's time left below which it is renewed.
	renewBelow = 0.7
	// missedBeats is how many heartbeats may go unanswered before the coordinator counts as out of reach.
	missedBeats = 3
	// unheardBeats is how many heartbeats after a takeover a box may go unheard before callers are not sent to it. All boxes are told of
	// the takeover by the map, so that they answer within one; the box may have been lost seconds before the coordinator that had not
	// noticed it yet.
	unheardBeats = 2
)

type grant struct {
	coordinator.Ownership
	until time.Time
	// released says that a heartbeat has offered the engine to others: no order may follow.
	released bool
}

// Node is this box's membership of its cell.
type Node struct {
	cfg  Config
	done chan struct{}

	// The fields below belong to the loop of Serve.
	lease      *lease.Lease
	mapVersion objects.Position
	published  coordinator.Map
	lastSeek   time.Time
	lastBoxes  time.Time
	// missed says that the last heartbeat was not answered, beatTo under which epoch of the lease it was sent.
	missed bool
	beatTo uint64
	// soughtFor is the epoch of the newest lease for which the lease has been read because a map named it.
	soughtFor uint64
	// lapsed is the box whose lease ran out before this one took it, until a map says so.
	lapsed string
	// granted is what the last reply granted, basis the last heartbeat in full that was answered.
	granted []coordinator.Ownership
	basis   basis
	// sequence is that of the last heartbeat.
	sequence uint64
	chosen   chosen
	// avoided holds until when the aggregators that did not answer are passed over, by peer address.
	avoided map[string]time.Time
	// ending says that the next heartbeat is the last one, which cannot wait for others.
	ending bool
	// unheardUntil is when, after a takeover, boxes that have not been heard are to be shown as silent.
	unheardUntil time.Time

	mu sync.Mutex
	// state is set while this box coordinates.
	state *coordinator.State
	// tenure is what the loop last knew of the lease.
	tenure    tenure
	grants    map[string]grant
	leaving   bool
	frozen    bool
	lastReply time.Time
	// history holds the maps that this coordinator published last, or those that this box passes on, mapStored the version of the newest.
	history   coordinator.History
	mapStored objects.Position
	// aggregator names the box that passed the last heartbeat on, and passesOn is the size of the last batch, for the status.
	aggregator string
	passesOn   int
	// collector holds the heartbeats that this box is to pass on.
	collector *aggregator.Collector[waiting]

	// batches holds those that are being passed on; each ends by itself. None begins once ended is set.
	batches errgroup.Group
	ended   bool
}

// tenure is the part of the lease that others than the loop read.
type tenure struct {
	record     lease.Record
	version    objects.Position
	validUntil time.Time
}

// LeaseName returns the name of a cell's coordinator lease.
func LeaseName(cell string) string { return "cell-" + cell }

// New returns a Node; its Serve has to run.
func New(cfg Config) *Node {
	l := lease.New(lease.Config{
		API: cfg.API, Name: LeaseName(cfg.Cell), Holder: cfg.Self.Box, Address: cfg.Self.Peer.String(),
		TTL: cfg.Timing.LeaseTTL, NewToken: cfg.NewToken, Reclaim: cfg.Timing.Reclaim,
	})
	return &Node{
		cfg: cfg, done: make(chan struct{}), lease: l, grants: map[string]grant{}, avoided: map[string]time.Time{},
		collector: aggregator.NewCollector[waiting](aggregator.CollectorConfig{Window: cfg.Timing.Beat / windowShare, StallAfter: cfg.Timing.Beat}),
	}
}

// Done is closed when Serve has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// Status is what a Node shows of itself.
type Status struct {
	Cell        string `json:"cell"`
	Coordinator string `json:"coordinator"`
	Coordinates bool   `json:"coordinates"`
	// Frozen says that the coordinator cannot renew its lease: no engine changes hands.
	Frozen bool `json:"frozen"`
	// SinceReply is the time since the coordinator last answered.
	SinceReply time.Duration `json:"since_reply"`
	// Aggregator names the box that passes this one's heartbeats on, empty if they go straight to the coordinator.
	Aggregator string `json:"aggregator,omitempty"`
	// PassesOn is how many heartbeats were in the last batch that this box passed on.
	PassesOn int  `json:"passes_on,omitempty"`
	Leaving  bool `json:"leaving"`
}

// Status returns what the node shows of itself.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := clock.Now()
	return Status{
		Cell: n.cfg.Cell, Coordinator: n.tenure.record.Holder, Coordinates: now.Before(n.tenure.validUntil),
		Frozen: n.frozen, SinceReply: now.Sub(n.lastReply), Leaving: n.leaving,
		Aggregator: n.aggregator, PassesOn: n.passesOn,
	}
}

// Leave makes every further heartbeat say that this box is leaving.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
}

// Leaving reports whether this box is leaving, by its own word or by the platform's box list.
func (n *Node) Leaving() bool {
	m, _, _ := n.cfg.Catalog.Map(n.cfg.Cell)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving || slices.Contains(m.Leaving, n.cfg.Self.Box)
}

// Authority returns the epoch under which this box may give the engine orders, and whether it may now.
func (n *Node) Authority(engine string, now time.Time) (uint64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	g, ok := n.grants[engine]
	if !ok || g.released {
		return 0, false
	}
	if now.Before(g.until) {
		return g.Epoch, true
	}
	// An engine that checks orders settles by itself who its owner is.
	e, declared := n.cfg.Catalog.Engine(engine)
	return g.Epoch, declared && e.ChecksOrders
}

// Serve beats and, while it holds the lease, coordinates, until ctx ends.
func (n *Node) Serve(ctx context.Context) error {
	defer part.CloseAtEnd(ctx, n.done)
	n.awaitTurn(ctx)
	for ctx.Err() == nil {
		n.round(ctx)
		n.rest(ctx)
	}
	n.giveUp(ctx)
	n.endBatches()
	return ctx.Err()
}

// awaitTurn spreads the boxes of a cell that starts for the first time over one heartbeat, so that most of them find a coordinator
// and do not all write the lease at once. A cell that has a map has a coordinator or an order of those who seek its lease.
func (n *Node) awaitTurn(ctx context.Context) {
	if _, _, known := n.cfg.Catalog.Map(n.cfg.Cell); !known {
		part.Sleep(ctx, rand.N(n.cfg.Timing.Beat))
	}
}

// giveUp ends this box's authority when it leaves, so that no other box has to wait for it to run out.
func (n *Node) giveUp(ctx context.Context) {
	if n.Leaving() && n.cfg.Timing.Reclaim {
		n.releaseAll()
		n.ending = true
		if err := n.beat(context.WithoutCancel(ctx)); err != nil {
			klog.InfoS("engines not given up", "cell", n.cfg.Cell, "err", err)
		}
	}
	if n.coordinating() == nil || !n.Leaving() || !n.lease.Ours() {
		return
	}
	ctx, cancel := n.limit(context.WithoutCancel(ctx))
	defer cancel()
	if err := n.lease.GiveUp(ctx); err != nil {
		klog.InfoS("lease not given up", "cell", n.cfg.Cell, "err", err)
	}
}

// releaseAll makes the next heartbeat offer all engines of this box.
func (n *Node) releaseAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, g := range n.grants {
		g.released = true
		n.grants[name] = g
	}
}

// HandedOver reports whether the cell's map names this box neither as an owner nor as one that may have requests in flight.
func (n *Node) HandedOver() bool {
	m, _, _ := n.cfg.Catalog.Map(n.cfg.Cell)
	return !slices.ContainsFunc(m.Owners, func(o coordinator.Ownership) bool {
		return o.Owner == n.cfg.Self.Box || o.Previous == n.cfg.Self.Box
	})
}

func (n *Node) coordinating() *coordinator.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state
}

func (n *Node) isFrozen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen
}

// setTenure shows the loop's view of the lease to the others.
func (n *Node) setTenure(state *coordinator.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tenure = tenure{record: n.lease.Record(), version: n.lease.Version(), validUntil: n.lease.ValidUntil()}
	n.state = state
}
