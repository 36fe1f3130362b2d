// Package member implements the membership of one box in its cell: heartbeats, the coordinator's lease, and engine grants.
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
	"github.com/bellgap/bellgap/internal/softwareversion"
)

// Peers sends heartbeats to other boxes. It is an interface because calls cross the network.
type Peers interface {
	Beat(ctx context.Context, address string, b coordinator.Beat) (coordinator.Reply, error)
	BeatBatch(ctx context.Context, address string, b coordinator.Batch) (coordinator.BatchReply, error)
}

// Holder manages the engines of this box. The node passes it the grants and asks it which engines are released.
type Holder interface {
	Update(grants []coordinator.Ownership, release []string)
	Released() (released, draining []string)
}

// Quarantine provides the quarantined requests, which are kept from all endpoints and listed in the cell map.
type Quarantine interface {
	// ToPublish returns the requests to list in the next map. Inherit adopts those listed in the last map of another coordinator.
	ToPublish() []quarantine.Held
	Inherit(all []quarantine.Held)
}

// Timing holds the periods and time limits of membership.
type Timing struct {
	// Beat is the time between heartbeats.
	Beat time.Duration
	// LeaseTTL is how long the lease is valid after a renewal.
	LeaseTTL time.Duration
	// Term is how long a grant is valid, counted from when the heartbeat for it was sent.
	Term time.Duration
	// Drain is how long after the end of its term a silent box may have requests in flight.
	Drain time.Duration
	// SilentAfter, OrderGap and Reclaim are passed to coordinator.Config and documented there.
	SilentAfter time.Duration
	OrderGap    time.Duration
	Reclaim     bool
}

// DefaultTiming returns the periods for boxes with about a millisecond of network latency.
func DefaultTiming() Timing {
	return Timing{Beat: time.Second, LeaseTTL: 3 * time.Second, Term: 4 * time.Second, Drain: 10 * time.Minute}
}

// Config configures a Node.
type Config struct {
	// Cell names the group of boxes and engines that share a coordinator.
	Cell    string
	Region  string
	Self    coordinator.Member
	API     objects.API
	Peers   Peers
	Catalog *catalog.Catalog
	Holder  Holder
	Timing  Timing
	Scope   tally.Scope
	// Spread provides the changes that are sent with heartbeats; nil sends none.
	Spread Spread
	// Figures exchanges engine loads and demand with heartbeats; nil exchanges none.
	Figures Figures
	// Quarantine provides the quarantined requests of the cell map; nil publishes none.
	Quarantine Quarantine
	// SoftwareVersions follows the software versions that the cell map lists; nil publishes none.
	SoftwareVersions *softwareversion.Tracker
	// IsDetached reports whether this box reaches endpoints too poorly to own engines; nil means that it never does.
	IsDetached func() bool
	// NewToken returns a token that is unique to one write.
	NewToken func() string
}

const (
	// maxCandidates is how many boxes try to acquire a free lease one after the other before all others may.
	maxCandidates = 3
	// earlyBeatDivisor divides the heartbeat period: the result is the delay before an early heartbeat.
	earlyBeatDivisor = 20
	// boxListBeats is the time between two reads of the platform's box list, in heartbeats.
	boxListBeats = 2
	// stepDivisor divides the lease TTL: the result is the time limit of one step of a round.
	stepDivisor = 3
	// leaseCheckDivisor divides the lease TTL: the result is the time between two lease checks of a box that is not among the first
	// candidates.
	leaseCheckDivisor = 2
	// renewThreshold is a fraction of the lease TTL: a lease with less time left is renewed.
	renewThreshold = 0.7
	// missedBeats is how many heartbeats may go unanswered before the coordinator counts as unreachable.
	missedBeats = 3
	// takeoverGraceBeats is how many heartbeats after a takeover a box may send nothing before callers are no longer sent to it. The map
	// notifies all boxes of the takeover, so that each sends a heartbeat within one period. A box that sends none may have been lost
	// seconds before the old coordinator, which had not noticed the loss yet.
	takeoverGraceBeats = 2
)

type grant struct {
	coordinator.Ownership
	validUntil time.Time
	// released is set when a heartbeat has offered the engine to other boxes: this box may give it no more orders.
	released bool
}

// Node is the membership of this box in its cell.
type Node struct {
	cfg  Config
	done chan struct{}

	// Only the loop of Serve uses the fields below.
	lease            *lease.Lease
	publishedVersion objects.Position
	publishedMap     coordinator.Map
	lastLeaseCheck   time.Time
	lastBoxList      time.Time
	// beatMissed is set if the last heartbeat was not answered. beatEpoch is the epoch of the lease under which that heartbeat was sent.
	beatMissed bool
	beatEpoch  uint64
	// checkedLeaseEpoch is the newest epoch that a map named and for which this box has checked the lease.
	checkedLeaseEpoch uint64
	// expiredHolder is the box whose lease expired before this box acquired it. It is cleared once a map of this coordinator is stored.
	expiredHolder string
	// wasLastCoordinator is set once this process has acquired the lease, and cleared when the lease names another box.
	wasLastCoordinator bool
	// lastGrants holds the grants of the last reply. lastFullBeat describes the last complete heartbeat that was answered.
	lastGrants   []coordinator.Ownership
	lastFullBeat fullBeat
	// sequence is the sequence number of the last heartbeat.
	sequence uint64
	choice   aggregatorChoice
	// skippedUntil holds, by peer address, until when an aggregator that did not answer is skipped.
	skippedUntil map[string]time.Time
	// isFinalBeat is set before the last heartbeat, which cannot wait to be forwarded in a batch.
	isFinalBeat bool
	// checkedRouting is the last version of the configuration whose routes were checked for new services.
	checkedRouting int64
	// takeoverGraceEnd is when, after a takeover, boxes that have sent no heartbeat are to be shown as silent.
	takeoverGraceEnd time.Time

	mu sync.Mutex
	// state is not nil while this box coordinates.
	state *coordinator.State
	// leaseView is the state of the lease as the loop last saw it.
	leaseView leaseSnapshot
	grants    map[string]grant
	leaving   bool
	frozen    bool
	lastReply time.Time
	// history holds the latest maps that this coordinator published or, on other boxes, that this box sends to others. historyVersion is
	// the version of the newest one.
	history        coordinator.History
	historyVersion objects.Position
	// aggregator names the box that forwarded the last heartbeat. lastBatchSize is the size of the last batch, for the status.
	aggregator    string
	lastBatchSize int
	// collector holds the heartbeats that this box is about to forward.
	collector *aggregator.Collector[pendingBeat]

	// batches holds the goroutines that forward batches. No batch begins once batchesStopped is set.
	batches        errgroup.Group
	batchesStopped bool
}

// leaseSnapshot is the part of the lease state that is read outside the loop.
type leaseSnapshot struct {
	record     lease.Record
	version    objects.Position
	validUntil time.Time
}

// LeaseName returns the name of a cell's coordinator lease.
func LeaseName(cell string) string { return "cell-" + cell }

// New returns a Node. The caller has to run its Serve.
func New(cfg Config) *Node {
	l := lease.New(lease.Config{
		API: cfg.API, Name: LeaseName(cfg.Cell), Holder: cfg.Self.Box, Address: cfg.Self.Peer.String(),
		TTL: cfg.Timing.LeaseTTL, NewToken: cfg.NewToken, Reclaim: cfg.Timing.Reclaim,
	})
	return &Node{
		cfg: cfg, done: make(chan struct{}), lease: l, grants: map[string]grant{}, skippedUntil: map[string]time.Time{},
		collector: aggregator.NewCollector[pendingBeat](aggregator.CollectorConfig{Window: cfg.Timing.Beat / windowDivisor, MaxDelay: cfg.Timing.Beat}),
	}
}

// Done returns a channel that is closed when Serve has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// Status is the state of a Node as shown to operators.
type Status struct {
	Cell        string `json:"cell"`
	Coordinator string `json:"coordinator"`
	Coordinates bool   `json:"coordinates"`
	// Frozen is the value of Reply.Frozen in the last reply: that reply neither extended nor changed grants.
	Frozen bool `json:"frozen"`
	// SinceReply is the time since the last reply of the coordinator.
	SinceReply time.Duration `json:"since_reply"`
	// Aggregator names the box that forwards this box's heartbeats. It is empty if they are sent directly to the coordinator.
	Aggregator string `json:"aggregator,omitempty"`
	// ForwardedBeats is the number of heartbeats in the last batch that this box forwarded.
	ForwardedBeats int  `json:"passes_on,omitempty"`
	Leaving        bool `json:"leaving"`
}

// Status returns the present state of the node.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := clock.Now()
	return Status{
		Cell: n.cfg.Cell, Coordinator: n.leaseView.record.Holder, Coordinates: now.Before(n.leaseView.validUntil),
		Frozen: n.frozen, SinceReply: now.Sub(n.lastReply), Leaving: n.leaving,
		Aggregator: n.aggregator, ForwardedBeats: n.lastBatchSize,
	}
}

// Leave marks this box as leaving in all further heartbeats.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
}

// Leaving reports whether this box is leaving: Leave was called, or the platform's box list marks the box as leaving.
func (n *Node) Leaving() bool {
	m, _, _ := n.cfg.Catalog.Map(n.cfg.Cell)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving || slices.Contains(m.Leaving, n.cfg.Self.Box)
}

// Authority returns the epoch under which this box may give orders to the engine, and whether it may do so at the given time.
func (n *Node) Authority(engine string, now time.Time) (uint64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	g, ok := n.grants[engine]
	if !ok || g.released {
		return 0, false
	}
	if now.Before(g.validUntil) {
		return g.Epoch, true
	}
	// An engine that checks the epoch of orders rejects those of a former owner itself.
	e, declared := n.cfg.Catalog.Engine(engine)
	return g.Epoch, declared && e.ChecksEpochs
}

// Serve sends heartbeats until ctx ends, and coordinates the cell while this box holds the lease.
func (n *Node) Serve(ctx context.Context) error {
	defer part.CloseIfEnded(ctx, n.done)
	n.delayFirstRound(ctx)
	for ctx.Err() == nil {
		n.runRound(ctx)
		n.waitForNextRound(ctx)
	}
	n.releaseAuthority(ctx)
	n.stopBatches()
	return ctx.Err()
}

// delayFirstRound spreads the first heartbeats of a new cell's boxes over one period, so that most boxes find a coordinator and do
// not all write the lease at once. No delay is needed in a cell that has a map: it has a coordinator, or the map orders the
// candidates for the lease.
func (n *Node) delayFirstRound(ctx context.Context) {
	if _, _, known := n.cfg.Catalog.Map(n.cfg.Cell); !known {
		part.Sleep(ctx, rand.N(n.cfg.Timing.Beat))
	}
}

// releaseAuthority releases the engines and the lease of a leaving box, so that other boxes need not wait for them to expire.
func (n *Node) releaseAuthority(ctx context.Context) {
	if n.Leaving() && n.cfg.Timing.Reclaim {
		n.releaseAllEngines()
		n.isFinalBeat = true
		if err := n.sendHeartbeat(context.WithoutCancel(ctx)); err != nil {
			klog.InfoS("could not release the engines", "cell", n.cfg.Cell, "err", err)
		}
	}
	if n.coordinatorState() == nil || !n.Leaving() || !n.lease.IsOwn() {
		return
	}
	ctx, cancel := n.withStepTimeout(context.WithoutCancel(ctx))
	defer cancel()
	if err := n.lease.Release(ctx); err != nil {
		klog.InfoS("could not release the coordinator lease", "cell", n.cfg.Cell, "err", err)
	}
}

// releaseAllEngines marks all engines of this box as released in the next heartbeat.
func (n *Node) releaseAllEngines() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, g := range n.grants {
		g.released = true
		n.grants[name] = g
	}
}

// IsHandedOver reports whether the cell map no longer names this box: neither as the owner of an engine nor as a previous owner that
// may still have requests in flight.
func (n *Node) IsHandedOver() bool {
	m, _, _ := n.cfg.Catalog.Map(n.cfg.Cell)
	return !slices.ContainsFunc(m.Owners, func(o coordinator.Ownership) bool {
		return o.Owner == n.cfg.Self.Box || o.Previous == n.cfg.Self.Box
	})
}

func (n *Node) coordinatorState() *coordinator.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state
}

func (n *Node) isFrozen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen
}

// updateLeaseView copies the loop's lease state for readers outside the loop and sets the coordinator state, nil if this box does not
// coordinate.
func (n *Node) updateLeaseView(state *coordinator.State) {
	if holder := n.lease.Record().Holder; holder != "" && holder != n.cfg.Self.Box {
		n.wasLastCoordinator = false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaseView = leaseSnapshot{record: n.lease.Record(), version: n.lease.Version(), validUntil: n.lease.ValidUntil()}
	n.state = state
}
