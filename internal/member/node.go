// Package member keeps one box in its cell: heartbeats, the coordinator's lease, and the grants that follow.
package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/lease"
	"github.com/bellgap/bellgap/internal/placement"
	"github.com/bellgap/bellgap/internal/platform"
	"github.com/bellgap/bellgap/internal/result"

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
	API     platform.API
	Peers   Peers
	Catalog *catalog.Catalog
	Holder  Holder
	Timing  Timing
	Scope   tally.Scope
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
	// missedBeats is how many heartbeats may go unanswered before the coordinator counts as out of reach.
	missedBeats = 3
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

	mu sync.Mutex
	// state is set while this box coordinates.
	state *coordinator.State
	// tenure is what the loop last knew of the lease.
	tenure    tenure
	grants    map[string]grant
	leaving   bool
	frozen    bool
	lastReply time.Time
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
		TTL: cfg.Timing.LeaseTTL, NewToken: cfg.NewToken,
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
	for ctx.Err() == nil {
		n.round(ctx)
		n.rest(ctx)
	}
	return ctx.Err()
}

// rest waits for the next round, which comes early when a new map gives this box an engine that it has no grant for.
func (n *Node) rest(ctx context.Context) {
	jitter := time.Duration(rand.Int64N(int64(n.cfg.Timing.Beat/10) + 1))
	next := time.NewTimer(n.cfg.Timing.Beat - jitter)
	defer next.Stop()
	for {
		changed := n.cfg.Catalog.Changed()
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
	err := n.beat(ctx)
	if err != nil {
		n.cfg.Scope.Counter("beat_failures").Inc(1)
		klog.V(1).InfoS("heartbeat failed", "cell", n.cfg.Cell, "err", err)
	}
	if err != nil || (n.isFrozen() && time.Since(n.lastSeek) >= n.cfg.Timing.LeaseTTL) {
		n.seekLease(ctx)
	}
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

// seekLease reads the lease and takes it if it is free.
func (n *Node) seekLease(ctx context.Context) {
	ctx, cancel := n.limit(ctx)
	defer cancel()
	n.lastSeek = time.Now()
	if err := n.lease.Refresh(ctx); err != nil {
		n.cfg.Scope.Counter("lease_read_failures").Inc(1)
		return
	}
	if n.lease.Ours() {
		n.setTenure(n.coordinating())
	} else {
		n.setTenure(nil)
	}
	if n.coordinating() != nil || n.Leaving() || !n.lease.Free(time.Now(), n.grace()) {
		return
	}
	state, err := n.takeLease(ctx)
	if err != nil {
		klog.InfoS("lease not taken", "cell", n.cfg.Cell, "err", err)
	}
	n.setTenure(state)
	if state != nil {
		n.coordinate(ctx, state)
	}
}

// grace is how long this box lets better placed ones go first, so that not all members write at once when their coordinator is gone.
func (n *Node) grace() time.Duration {
	m, _, ok := n.cfg.Catalog.Map(n.cfg.Cell)
	if !ok {
		return 0
	}
	record := n.lease.Record()
	var names []string
	for _, b := range m.Members {
		if b.Box != record.Holder && !b.Leaving {
			names = append(names, b.Box)
		}
	}
	key := fmt.Sprintf("%s/%d", n.cfg.Cell, record.Epoch)
	rank := slices.Index(placement.Top(key, names, maxCandidates), n.cfg.Self.Box)
	if rank < 0 {
		rank = maxCandidates
	}
	return time.Duration(rank) * n.cfg.Timing.Beat
}

// CoordinatorAddress returns the peer address of the coordinator if another box coordinates and has answered lately.
func (n *Node) CoordinatorAddress() (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	address := n.tenure.record.Address
	lately := time.Since(n.lastReply) < missedBeats*n.cfg.Timing.Beat
	return address, address != "" && address != n.cfg.Self.Peer.String() && lately
}

// takeLease takes the lease and continues from the cell's last map.
func (n *Node) takeLease(ctx context.Context) (*coordinator.State, error) {
	if err := n.lease.Take(ctx); err != nil {
		return nil, err
	}
	last, version, err := readMap(ctx, n.cfg.API, n.cfg.Cell)
	if err != nil {
		return nil, err
	}
	n.mapVersion, n.published = version, last
	epoch := n.lease.Record().Epoch
	n.cfg.Scope.Counter("leases_taken").Inc(1)
	klog.InfoS("coordinating", "cell", n.cfg.Cell, "lease", epoch)
	return coordinator.New(coordinator.Config{
		Cell: n.cfg.Cell, Region: n.cfg.Region, Box: n.cfg.Self.Box, Lease: epoch, Term: n.cfg.Timing.Term, Drain: n.cfg.Timing.Drain, Started: time.Now(),
	}, last), nil
}

func readMap(ctx context.Context, api platform.API, cell string) (coordinator.Map, int64, error) {
	var m coordinator.Map
	o, err := api.Get(ctx, coordinator.MapKind, cell)
	if errors.Is(err, platform.ErrNotFound) {
		return m, 0, nil
	}
	if err != nil {
		return m, 0, err
	}
	return m, o.Version, json.Unmarshal(o.Value, &m)
}

// coordinate renews the lease and publishes what changed.
func (n *Node) coordinate(ctx context.Context, state *coordinator.State) {
	ctx, cancel := n.limit(ctx)
	defer cancel()
	err := n.lease.Renew(ctx)
	if errors.Is(err, platform.ErrConflict) {
		klog.InfoS("lease lost", "cell", n.cfg.Cell, "holder", n.lease.Record().Holder)
		state = nil
	}
	n.setTenure(state)
	if err != nil {
		n.cfg.Scope.Counter("lease_renew_failures").Inc(1)
		return
	}
	n.readBoxes(ctx, state)
	if err := n.publish(ctx, state); err != nil {
		n.cfg.Scope.Counter("map_write_failures").Inc(1)
		klog.InfoS("map not written", "cell", n.cfg.Cell, "err", err)
	}
}

// readBoxes takes the platform's box list in, every few heartbeats. A list that cannot be read leaves the last one standing.
func (n *Node) readBoxes(ctx context.Context, state *coordinator.State) {
	if time.Since(n.lastBoxes) < boxListBeats*n.cfg.Timing.Beat {
		return
	}
	n.lastBoxes = time.Now()
	boxes, err := n.cfg.API.Boxes(ctx)
	if err != nil {
		n.cfg.Scope.Counter("box_list_failures").Inc(1)
		return
	}
	var leaving []string
	for _, b := range boxes {
		if b.State == platform.BoxLeaving {
			leaving = append(leaving, b.Name)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	state.Leaving(leaving)
}

// nextMap lets time pass in the coordinator's state and returns the map that follows.
func (n *Node) nextMap(state *coordinator.State) coordinator.Map {
	engines := n.cellEngines()
	n.mu.Lock()
	defer n.mu.Unlock()
	state.Tick(time.Now(), engines)
	return state.Map()
}

// publish writes the map if it differs from the stored one. Writing conditionally on the last map keeps out a coordinator that was replaced.
func (n *Node) publish(ctx context.Context, state *coordinator.State) error {
	m := n.nextMap(state)
	if sameMap(m, n.published) {
		return nil
	}
	m.Generation = max(n.published.Generation, n.cfg.Catalog.Generation(coordinator.MapKind, n.cfg.Cell)) + 1
	value, err := json.Marshal(m)
	if err != nil {
		return err
	}
	version, err := n.cfg.API.Put(ctx, coordinator.MapKind, n.cfg.Cell, n.mapVersion, value)
	if errors.Is(err, platform.ErrAnswerLost) {
		version, err = n.settleMap(ctx, m)
	}
	if errors.Is(err, platform.ErrConflict) {
		n.setTenure(nil)
	}
	if err != nil {
		return err
	}
	n.mapVersion, n.published = version, m
	n.cfg.Scope.Counter("map_writes").Inc(1)
	n.mu.Lock()
	defer n.mu.Unlock()
	state.Published(m)
	return nil
}

// settleMap reads the map back after a lost answer.
func (n *Node) settleMap(ctx context.Context, wrote coordinator.Map) (int64, error) {
	m, version, err := readMap(ctx, n.cfg.API, n.cfg.Cell)
	if err != nil {
		return 0, err
	}
	if sameMap(m, wrote) {
		return version, nil
	}
	if m.Lease != wrote.Lease {
		return 0, platform.ErrConflict
	}
	return 0, platform.ErrUnavailable
}

func sameMap(a, b coordinator.Map) bool {
	return a.Cell == b.Cell && a.Lease == b.Lease && a.Coordinator == b.Coordinator &&
		slices.Equal(a.Members, b.Members) && slices.Equal(a.Owners, b.Owners) && slices.Equal(a.Leaving, b.Leaving)
}

// cellEngines returns the declared engines of the cell, ordered by name.
func (n *Node) cellEngines() []coordinator.Engine {
	var engines []coordinator.Engine
	for name, e := range n.cfg.Catalog.Topology().Engines {
		if e.Spec.CellName() == n.cfg.Cell {
			engines = append(engines, coordinator.Engine{Name: name, Zone: e.Spec.Zone})
		}
	}
	slices.SortFunc(engines, func(a, b coordinator.Engine) int { return strings.Compare(a.Name, b.Name) })
	return engines
}

// HandleBeat answers the heartbeat of a box; only the coordinator does.
func (n *Node) HandleBeat(b coordinator.Beat) (coordinator.Reply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if n.state == nil {
		return coordinator.Reply{}, result.New(result.StaleBeat, "%s does not coordinate %s", n.cfg.Self.Box, n.cfg.Cell)
	}
	// Beats count even while frozen, so that nobody is taken for silent when the platform is back.
	n.state.Beat(now, b)
	r := n.state.Reply(now, b.Member.Box)
	r.Frozen = r.Frozen || !now.Before(n.tenure.validUntil)
	r.LeaseVersion = n.tenure.version
	r.Revision = n.cfg.Catalog.Revision()
	return r, nil
}

// limit bounds one duty of a round. Each has a bound of its own, so that a frozen coordinator, which takes up the heartbeat's, cannot keep this box from seeking the lease.
func (n *Node) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, n.cfg.Timing.LeaseTTL/dutyShare)
}

// beat sends one heartbeat to the coordinator and takes the reply in.
func (n *Node) beat(ctx context.Context) error {
	ctx, cancel := n.limit(ctx)
	defer cancel()
	b, address := n.nextBeat()
	if address == "" {
		return errors.New("member: no coordinator known")
	}
	sentAt := time.Now()
	var r coordinator.Reply
	var err error
	if address == n.cfg.Self.Peer.String() {
		r, err = n.HandleBeat(b)
	} else {
		r, err = n.cfg.Peers.Beat(ctx, address, b)
	}
	if err != nil {
		return err
	}
	n.accept(sentAt, r)
	return nil
}

func (n *Node) nextBeat() (coordinator.Beat, string) {
	released, draining := n.cfg.Holder.Released()
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.cfg.Self
	self.Leaving = n.leaving
	b := coordinator.Beat{Member: self, Draining: draining}
	for name, g := range n.grants {
		g.released = g.released || slices.Contains(released, name)
		n.grants[name] = g
		if g.released {
			b.Released = append(b.Released, coordinator.Release{Engine: name, Epoch: g.Epoch})
		}
		b.Owned = append(b.Owned, g.Ownership)
	}
	return b, n.tenure.record.Address
}

// accept takes a reply in. A frozen reply changes nothing, but shows that the coordinator is there.
func (n *Node) accept(sentAt time.Time, r coordinator.Reply) {
	now := time.Now()
	n.mu.Lock()
	n.lastReply, n.frozen = now, r.Frozen
	if r.Frozen {
		n.mu.Unlock()
		return
	}
	grants := map[string]grant{}
	for _, g := range r.Grants {
		had := n.grants[g.Engine]
		grants[g.Engine] = grant{Ownership: g, until: sentAt.Add(r.Term), released: had.released && had.Epoch == g.Epoch}
	}
	n.grants = grants
	n.mu.Unlock()
	n.lease.Observe(now, r.LeaseVersion)
	n.cfg.Holder.Update(r.Grants, r.Release)
}
