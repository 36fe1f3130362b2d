// Package member keeps one box in its cell: heartbeats, the coordinator's lease, and the grants that follow.
package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/lease"
	"github.com/bellgap/bellgap/internal/objects"

	"github.com/bellgap/bellgap/internal/part"
)

// Peers sends heartbeats to other boxes. It is an interface at the network boundary.
type Peers interface {
	Beat(ctx context.Context, address string, b coordinator.Beat) (coordinator.Reply, error)
}

// Holder is what the node tells about and updates: the engines of this box.
type Holder interface {
	Update(grants []coordinator.Ownership, release []string)
	Released() (released, draining []string)
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
	mapVersion int64
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
	// maps are those that this coordinator published last, mapStored the version of the newest.
	maps      []coordinator.Map
	mapStored int64
}

// tenure is the part of the lease that others than the loop read.
type tenure struct {
	record     lease.Record
	version    int64
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
	return &Node{cfg: cfg, done: make(chan struct{}), lease: l, grants: map[string]grant{}}
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
	Leaving    bool          `json:"leaving"`
}

// Status returns what the node shows of itself.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	return Status{
		Cell: n.cfg.Cell, Coordinator: n.tenure.record.Holder, Coordinates: now.Before(n.tenure.validUntil),
		Frozen: n.frozen, SinceReply: now.Sub(n.lastReply), Leaving: n.leaving,
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

// rest waits for the next round, which comes early when a new map gives this box an engine that it has no grant for.
func (n *Node) rest(ctx context.Context) {
	jitter := time.Duration(rand.Int64N(int64(n.cfg.Timing.Beat/10) + 1))
	pause := n.cfg.Timing.Beat - jitter
	if at, ok := n.turn(); ok {
		pause = min(pause, time.Until(at))
	}
	if left := time.Until(n.unheardUntil); left > 0 && n.coordinating() != nil {
		pause = min(pause, left)
	}
	next := time.NewTimer(pause)
	defer next.Stop()
	for {
		changed := n.cfg.Catalog.Changed()
		if n.supplanted() || n.found() {
			return
		}
		if n.awaitsGrant() {
			early := time.NewTimer(n.cfg.Timing.Beat / earlyBeat)
			defer early.Stop()
			select {
			case <-early.C:
			case <-ctx.Done():
			}
			return
		}
		select {
		case <-changed:
		case <-next.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// awaitsGrant reports whether the map names this box as the owner of an engine without a grant.
func (n *Node) awaitsGrant() bool {
	m, _, _ := n.cfg.Catalog.Map(n.cfg.Cell)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen {
		return false
	}
	return slices.ContainsFunc(m.Owners, func(o coordinator.Ownership) bool {
		g, ok := n.grants[o.Engine]
		return o.Owner == n.cfg.Self.Box && (!ok || g.Epoch < o.Epoch)
	})
}

// round renews the lease and publishes the map if this box coordinates, then sends one heartbeat, and seeks the lease if that fails.
func (n *Node) round(ctx context.Context) {
	if state := n.coordinating(); state != nil {
		n.coordinate(ctx, state)
	}
	if n.supplanted() {
		n.seekLease(ctx)
	}
	n.beatTo = n.lease.Record().Epoch
	err := n.beat(ctx)
	n.missed = err != nil
	if err != nil {
		n.cfg.Scope.Counter("beat_failures").Inc(1)
		klog.V(1).InfoS("heartbeat failed", "cell", n.cfg.Cell, "err", err)
	}
	if n.seekIsDue(time.Now(), err) {
		n.seekLease(ctx)
	}
}

// seekIsDue reports whether it is time to look at the lease: when the coordinator does not answer, when it cannot renew its lease, and
// in either case when this box's turn has come to take it.
func (n *Node) seekIsDue(now time.Time, missed error) bool {
	switch since := now.Sub(n.lastSeek); {
	case missed != nil && since >= n.seekPause():
		return true
	case n.isFrozen() && since >= n.cfg.Timing.LeaseTTL:
		return true
	case missed == nil && !n.isFrozen():
		return false
	}
	at, known := n.lease.FreeAt(n.grace())
	return known && n.rank() < maxCandidates && n.lastSeek.Before(at) && !now.Before(at)
}

// seekPause returns how long this box waits between two looks at the lease of a coordinator that does not answer: not at all if it
// is one of those that would take it first, else long enough for one of them to have it, as every look is paid for.
func (n *Node) seekPause() time.Duration {
	if n.lease.Record().Holder == "" || n.rank() < maxCandidates {
		return 0
	}
	return n.cfg.Timing.LeaseTTL / seekShare
}

// turn returns when this box may take the lease of a coordinator that does not answer or cannot renew it, if it is one of those that go
// first and that time is still to come. It is kept to: a heartbeat that hangs and the pause after it would add up to a second to every
// takeover, and a coordinator that the store turns away would keep its cell for two times of the lease.
func (n *Node) turn() (time.Time, bool) {
	if (!n.missed && !n.isFrozen()) || n.rank() >= maxCandidates {
		return time.Time{}, false
	}
	at, known := n.lease.FreeAt(n.grace())
	return at, known && time.Now().Before(at)
}

// supplanted reports whether the cell map names a newer coordinator than this box knows, and the lease has not been read since:
// heartbeats to the one before would only time out, and the new one takes boxes that it does not hear for lost.
func (n *Node) supplanted() bool {
	m, _, ok := n.cfg.Catalog.Map(n.cfg.Cell)
	return ok && m.Lease > max(n.soughtFor, n.lease.Record().Epoch)
}

// found reports whether the lease has been seen to have another holder since a heartbeat was missed.
func (n *Node) found() bool { return n.missed && n.lease.Record().Epoch != n.beatTo }

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
