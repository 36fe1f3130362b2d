package member_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/engineload"
	"github.com/bellgap/bellgap/internal/fakeplatform"
	"github.com/bellgap/bellgap/internal/feed"
	"github.com/bellgap/bellgap/internal/invariant"
	"github.com/bellgap/bellgap/internal/member"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/softwareversion"
)

const (
	zone = "hall-a"
	cell = resource.DefaultCell
)

// firstPort is the port in the address of the first box. Nothing listens on these addresses.
const firstPort = 10000

var errDisconnected = errors.New("box is disconnected")

// cluster is a group of members of one cell in virtual time, connected by direct calls.
type cluster struct {
	c        *qt.C
	platform *fakeplatform.Store
	mu       sync.Mutex
	nodes    map[string]*node
	group    errgroup.Group
	engines  []string
	history  []invariant.Authority
	messages int
	// answerTime is how long the platform takes to answer a Get or Put.
	answerTime time.Duration
	timing     member.Timing
	// spread is passed to all boxes that are started after it is set.
	spread member.Spread
	// newFigures returns the figures of a box that is started; nil boxes exchange none. countLoads is called with the engine loads of each
	// message that one box has sent to another.
	newFigures func(name string) member.Figures
	countLoads func(from, to *node, loads []engineload.Sent, inBatch bool)
	// zones are the availability zones over which the boxes are distributed. If empty, all boxes are in the constant zone.
	zones []string
	// versionRetention is how long coordinators list the services of routes; zero lists none.
	versionRetention time.Duration
}

func (cl *cluster) zoneOf(port int) string {
	if len(cl.zones) == 0 {
		return zone
	}
	return cl.zones[port%len(cl.zones)]
}

// node is one box: membership, catalog and feed, with fault injection at its interfaces.
type node struct {
	cluster *cluster
	name    string
	address string
	*member.Node
	catalog *catalog.Catalog
	feed    *feed.Feed
	stop    context.CancelFunc

	mu sync.Mutex
	// resumeSignal is not nil while the box is suspended, and is closed when the box resumes.
	resumeSignal         chan struct{}
	platformDisconnected bool
	peersDisconnected    bool
	// dropsAnswers simulates a store that is too slow for the box: the box's writes take effect without an answer, and its reads fail.
	dropsAnswers bool
	// isDeaf simulates a network that delivers what the box sends and nothing that is sent to it: its writes take effect, all its calls
	// and all calls to it end at the caller's time limit.
	isDeaf bool
	// missesChanges makes the box's watches fail, so that it reads no changes from the store.
	missesChanges bool
	// earlierBuild simulates a build that knows no figures and drops them from the messages that it reads and writes.
	earlierBuild bool
	ownedEngines map[string]bool
	toRelease    []string
	zone         string
	// lastSent is the last heartbeat that this box sent to another box.
	lastSent coordinator.Beat
	// received counts the messages from other boxes. The cluster's lock guards it.
	received int
}

func newCluster(t *testing.T, boxes, engines int) *cluster {
	return newSlowCluster(t, boxes, engines, 0)
}

// routedTiming returns the periods of boxes that serve routes, as in deployments.
func routedTiming() member.Timing {
	return member.Timing{
		Beat: 400 * time.Millisecond, LeaseTTL: 2 * time.Second, Term: 7 * time.Second, Drain: time.Minute, SilentAfter: 1200 * time.Millisecond,
		OrderGap: 3200 * time.Millisecond, Reclaim: true,
	}
}

// newSlowCluster returns a cluster whose platform takes answerTime for each Get or Put.
func newSlowCluster(t *testing.T, boxes, engines int, answerTime time.Duration) *cluster {
	return newTimedCluster(t, boxes, engines, answerTime, member.DefaultTiming())
}

func newTimedCluster(t *testing.T, boxes, engines int, answerTime time.Duration, timing member.Timing) *cluster {
	cl := &cluster{c: qt.New(t), platform: fakeplatform.New(), nodes: map[string]*node{}, answerTime: answerTime, timing: timing}
	for i := range engines {
		cl.declareEngine(fmt.Sprintf("engine-%03d", i))
	}
	for i := range boxes {
		cl.startBox(fmt.Sprintf("box-%03d", i), i)
	}
	return cl
}

func (cl *cluster) declareEngine(name string) {
	cl.engines = append(cl.engines, name)
	r := resource.Resource{Kind: resource.KindEngine, Name: name, Spec: &resource.Engine{
		Address: netip.MustParseAddrPort("127.0.0.1:1"), Zone: zone, BaseModel: "plain-7b", Slots: 4, Batch: 4,
	}}
	value, err := json.Marshal(r)
	cl.c.Assert(err, qt.IsNil)
	_, err = cl.platform.Put(context.Background(), string(r.Kind), name, 0, value)
	cl.c.Assert(err, qt.IsNil)
}

// startBox starts a box with an incarnation of its own.
func (cl *cluster) startBox(name string, port int) {
	n := &node{cluster: cl, name: name, zone: cl.zoneOf(port), catalog: catalog.New(), ownedEngines: map[string]bool{}}
	peer := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+port))
	n.address = peer.String()
	tokens := 0
	cfg := member.Config{
		Cell: cell, API: n, Peers: n, Catalog: n.catalog, Holder: n, Timing: cl.timing, Scope: tally.NoopScope, Spread: cl.spread,
		Self: coordinator.Member{Box: name, Zone: cl.zoneOf(port), Incarnation: fmt.Sprintf("%s-%d", name, time.Now().UnixNano()), Caller: peer, Peer: peer},
		NewToken: func() string {
			tokens++
			return fmt.Sprintf("%s-%d-%d", name, time.Now().UnixNano(), tokens)
		},
	}
	if cl.newFigures != nil {
		cfg.Figures = cl.newFigures(name)
	}
	if cl.versionRetention > 0 {
		cfg.SoftwareVersions = softwareversion.NewTracker(softwareversion.TrackerConfig{Retention: cl.versionRetention})
	}
	n.Node = member.New(cfg)
	n.feed = feed.New(feed.Config{Catalog: n.catalog, Scope: tally.NoopScope, PickSource: n.pickSource})
	ctx, cancel := context.WithCancel(cl.c.Context())
	n.stop = cancel
	cl.mu.Lock()
	cl.nodes[name] = n
	cl.mu.Unlock()
	cl.group.Go(func() error { return n.feed.Serve(ctx) })
	cl.group.Go(func() error {
		select {
		case <-n.feed.Ready():
			return n.Serve(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	})
}

// killBox ends a box abruptly, without a planned stop.
func (cl *cluster) killBox(name string) {
	cl.mu.Lock()
	n := cl.nodes[name]
	delete(cl.nodes, name)
	cl.mu.Unlock()
	n.stop()
}

// stopAll stops all boxes. Each synctest bubble has to do so before it ends.
func (cl *cluster) stopAll() {
	cl.platform.SetFaults(fakeplatform.Faults{})
	for _, n := range cl.runningNodes() {
		n.resume()
		n.stop()
	}
	cl.c.Check(cl.group.Wait(), qt.ErrorIs, context.Canceled)
}

func (cl *cluster) runningNodes() []*node {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var all []*node
	for _, n := range cl.nodes {
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b *node) int { return int(a.address[10]) - int(b.address[10]) })
	return all
}

func (cl *cluster) nodeAt(address string) *node {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, n := range cl.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// recordAuthority records which boxes may give orders to which engines now.
func (cl *cluster) recordAuthority() {
	now := time.Now()
	for _, n := range cl.runningNodes() {
		for _, e := range cl.engines {
			if epoch, ok := n.Authority(e, now); ok {
				cl.history = append(cl.history, invariant.Authority{At: now, Engine: e, Box: n.name, Epoch: epoch})
			}
		}
	}
}

// advance lets time pass and records the authority of the boxes at short intervals.
func (cl *cluster) advance(d time.Duration) {
	const interval = 100 * time.Millisecond
	for ; d > 0; d -= interval {
		time.Sleep(interval)
		cl.recordAuthority()
	}
}

// countOwned counts the engines to which a box may give orders now.
func (cl *cluster) countOwned() int {
	now, count := time.Now(), 0
	for _, e := range cl.engines {
		for _, b := range cl.runningNodes() {
			if _, ok := b.Authority(e, now); ok {
				count++
			}
		}
	}
	return count
}

// waitUntil lets time pass until condition returns true, and returns how long that took. It fails the test after limit.
func (cl *cluster) waitUntil(limit time.Duration, condition func() bool) time.Duration {
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			cl.c.Fatalf("condition not met within %s", limit)
		}
		cl.advance(100 * time.Millisecond)
	}
	return time.Since(start)
}

func (cl *cluster) sentMessages() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.messages
}

func (n *node) lastBeat() coordinator.Beat {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastSent
}

func (n *node) ownedCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.ownedEngines)
}

func (cl *cluster) checkInvariants() {
	cl.c.Check(invariant.CheckSingleAuthority(cl.history), qt.IsNil)
	cl.c.Check(invariant.CheckEpochsIncrease(cl.history), qt.IsNil)
}

func (n *node) suspend() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumeSignal == nil {
		n.resumeSignal = make(chan struct{})
	}
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.resumeSignal != nil {
		close(n.resumeSignal)
		n.resumeSignal = nil
	}
}

func (n *node) isSuspended() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resumeSignal != nil
}

func (n *node) setDisconnected(fromPlatform, fromPeers bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.platformDisconnected, n.peersDisconnected = fromPlatform, fromPeers
}

// waitWhileSuspended blocks while the box is suspended. Every call into or out of a box goes through it.
func (n *node) waitWhileSuspended() {
	n.mu.Lock()
	resumed := n.resumeSignal
	n.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func (n *node) setDropsAnswers(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropsAnswers = on
}

func (n *node) setDeaf(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isDeaf = on
}

// waitIfDeaf returns an error at the end of ctx if the box hears no answers.
func (n *node) waitIfDeaf(ctx context.Context) error {
	n.mu.Lock()
	isDeaf := n.isDeaf
	n.mu.Unlock()
	if isDeaf {
		<-ctx.Done()
		return objects.ErrOutcomeUnknown
	}
	return nil
}

func (n *node) setEarlierBuild(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.earlierBuild = on
}

func (n *node) setMissesChanges(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.missesChanges = on
}

func (n *node) isMissingChanges() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.missesChanges
}

func (n *node) isEarlierBuild() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.earlierBuild
}

func (n *node) isDroppingAnswers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dropsAnswers
}

func (n *node) isPlatformDisconnected() bool {
	n.waitWhileSuspended()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.platformDisconnected
}

// isDisconnected reports whether the box is disconnected from the platform or from other boxes.
func (n *node) isDisconnected() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.platformDisconnected || n.peersDisconnected || n.isDeaf
}

func (n *node) arePeersDisconnected() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peersDisconnected
}

func (n *node) pickSource() feed.Source {
	if address, ok := n.CoordinatorAddress(); ok && !n.cluster.timing.Reclaim {
		return peerSource{n, address}
	}
	return n
}

// peerSource reads changes from another box.
type peerSource struct {
	node    *node
	address string
}

func (s peerSource) List(context.Context, []string, string) (objects.Changes, error) {
	to, err := s.connect()
	if err != nil {
		return objects.Changes{}, err
	}
	return to.catalog.Snapshot(), nil
}

func (s peerSource) IsAuthoritative() bool { return false }

func (s peerSource) Watch(ctx context.Context, _ []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	timeout := time.After(wait)
	for {
		to, err := s.connect()
		if err != nil {
			return objects.Changes{}, err
		}
		changed := to.catalog.NextChange()
		ch, err := to.catalog.ChangesSince(from)
		if err != nil || ch.Revision > from {
			return ch, err
		}
		select {
		case <-changed:
		case <-timeout:
			return ch, nil
		case <-ctx.Done():
			return ch, ctx.Err()
		}
	}
}

func (s peerSource) connect() (*node, error) {
	s.node.waitWhileSuspended()
	to := s.node.cluster.nodeAt(s.address)
	if to == nil || to.arePeersDisconnected() || s.node.arePeersDisconnected() {
		return nil, errDisconnected
	}
	to.waitWhileSuspended()
	return to, nil
}

// Beat implements member.Peers.
func (n *node) Beat(ctx context.Context, address string, b coordinator.Beat) (coordinator.Reply, error) {
	n.mu.Lock()
	n.lastSent = b
	n.mu.Unlock()
	to, err := n.connect(ctx, address)
	if err != nil {
		return coordinator.Reply{}, err
	}
	dropsFigures := to.isEarlierBuild()
	if dropsFigures {
		b.EngineLoads, b.Demand = nil, nil
	}
	r, err := to.Receive(ctx, b)
	n.waitWhileSuspended()
	if n.waitIfDeaf(ctx) != nil {
		return coordinator.Reply{}, errDisconnected
	}
	if dropsFigures {
		r.EngineLoads, r.Shares = nil, nil
	}
	if cl := n.cluster; cl.countLoads != nil {
		cl.countLoads(n, to, b.EngineLoads, false)
		cl.countLoads(to, n, r.EngineLoads, false)
	}
	return r, err
}

// BeatBatch implements member.Peers.
func (n *node) BeatBatch(ctx context.Context, address string, b coordinator.Batch) (coordinator.BatchReply, error) {
	to, err := n.connect(ctx, address)
	if err != nil {
		return coordinator.BatchReply{}, err
	}
	r, err := to.HandleBatch(b)
	n.waitWhileSuspended()
	if n.waitIfDeaf(ctx) != nil {
		return coordinator.BatchReply{}, errDisconnected
	}
	if cl := n.cluster; cl.countLoads != nil {
		var uploaded []engineload.Sent
		for _, beat := range b.Beats {
			uploaded = append(uploaded, beat.EngineLoads...)
		}
		cl.countLoads(n, to, uploaded, true)
		cl.countLoads(to, n, r.Updates.EngineLoads, true)
	}
	return r, err
}

// connect returns the box at an address if a message from this box can reach it.
func (n *node) connect(ctx context.Context, address string) (*node, error) {
	n.waitWhileSuspended()
	to := n.cluster.nodeAt(address)
	n.cluster.mu.Lock()
	n.cluster.messages++
	if to != nil {
		to.received++
	}
	n.cluster.mu.Unlock()
	if to == nil || n.arePeersDisconnected() || to.arePeersDisconnected() {
		return nil, errDisconnected
	}
	to.mu.Lock()
	isSilent := to.resumeSignal != nil || to.isDeaf
	to.mu.Unlock()
	if isSilent {
		// A suspended box does not answer: the call ends at the caller's time limit.
		<-ctx.Done()
		return nil, errDisconnected
	}
	return to, nil
}

// Update implements member.Holder.
func (n *node) Update(grants []coordinator.Ownership, release []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ownedEngines = map[string]bool{}
	for _, g := range grants {
		n.ownedEngines[g.Engine] = true
	}
	n.toRelease = slices.DeleteFunc(release, func(e string) bool { return !n.ownedEngines[e] })
}

// Released implements member.Holder.
func (n *node) Released() (released, draining []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.toRelease, nil
}

// The methods below implement objects.API with the faults of the box.

func (n *node) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if n.isPlatformDisconnected() || n.isDroppingAnswers() {
		return objects.Object{}, objects.ErrUnavailable
	}
	o, err := n.cluster.platform.Get(ctx, kind, name)
	time.Sleep(n.cluster.answerTime)
	n.waitWhileSuspended()
	if deafErr := n.waitIfDeaf(ctx); deafErr != nil {
		return objects.Object{}, objects.ErrUnavailable
	}
	return o, err
}

func (n *node) List(ctx context.Context, kinds []string, after string) (objects.Changes, error) {
	if n.isPlatformDisconnected() || n.isMissingChanges() {
		return objects.Changes{}, objects.ErrUnavailable
	}
	if n.waitIfDeaf(ctx) != nil {
		return objects.Changes{}, objects.ErrUnavailable
	}
	return n.cluster.platform.List(ctx, kinds, after)
}

func (n *node) IsAuthoritative() bool { return true }

func (n *node) Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	if n.isPlatformDisconnected() || n.isMissingChanges() {
		return objects.Changes{}, objects.ErrUnavailable
	}
	ch, err := n.cluster.platform.Watch(ctx, kinds, from, wait)
	if n.isMissingChanges() || n.waitIfDeaf(ctx) != nil {
		return objects.Changes{}, objects.ErrUnavailable
	}
	return ch, err
}

func (n *node) Put(ctx context.Context, kind, name string, expect objects.Position, value json.RawMessage) (objects.Position, error) {
	if n.isPlatformDisconnected() {
		return 0, objects.ErrUnavailable
	}
	v, err := n.cluster.platform.Put(ctx, kind, name, expect, value)
	time.Sleep(n.cluster.answerTime)
	n.waitWhileSuspended()
	if deafErr := n.waitIfDeaf(ctx); deafErr != nil {
		return 0, deafErr
	}
	if n.isDroppingAnswers() && err == nil {
		return 0, objects.ErrOutcomeUnknown
	}
	return v, err
}

func (n *node) Delete(ctx context.Context, kind, name string, expect objects.Position) error {
	return n.cluster.platform.Delete(ctx, kind, name, expect)
}

func (n *node) Boxes(ctx context.Context) ([]objects.Box, error) {
	return n.cluster.platform.Boxes(ctx)
}
