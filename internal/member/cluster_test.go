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
	"github.com/bellgap/bellgap/internal/fakeplatform"
	"github.com/bellgap/bellgap/internal/feed"
	"github.com/bellgap/bellgap/internal/invariant"
	"github.com/bellgap/bellgap/internal/member"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/resource"
)

const (
	zone = "hall-a"
	cell = resource.DefaultCell
)

// firstPort is that of the first box's address, which nothing listens on.
const firstPort = 10000

var errCut = errors.New("cut off")

// cluster is some members of one cell in virtual time, joined by direct calls.
type cluster struct {
	c        *qt.C
	platform *fakeplatform.Store
	mu       sync.Mutex
	nodes    map[string]*node
	group    errgroup.Group
	engines  []string
	history  []invariant.Authority
	beats    int
	// answerTime is what the platform takes to answer a Get or Put.
	answerTime time.Duration
	timing     member.Timing
	// spread is given to all boxes started from now on.
	spread member.Spread
	// zones are those that boxes are spread over; with none all are in zone.
	zones []string
}

func (cl *cluster) zoneOf(port int) string {
	if len(cl.zones) == 0 {
		return zone
	}
	return cl.zones[port%len(cl.zones)]
}

// node is one box: membership, catalog and feed, with faults at its interfaces.
type node struct {
	cluster *cluster
	name    string
	address string
	*member.Node
	catalog *catalog.Catalog
	feed    *feed.Feed
	stop    context.CancelFunc

	mu sync.Mutex
	// thawed is set while the box is frozen, and closed when it goes on.
	thawed      chan struct{}
	cutPlatform bool
	cutPeers    bool
	// unanswered lets the box's writes take effect without an answer, and its reads fail, as when the store is too slow for them.
	unanswered bool
	owned      map[string]bool
	released   []string
	zone       string
	// last is the last heartbeat sent to another box.
	last coordinator.Beat
	// received counts the messages of other boxes; the cluster's lock guards it.
	received int
}

func newCluster(t *testing.T, boxes, engines int) *cluster {
	return newSlowCluster(t, boxes, engines, 0)
}

// routedTiming holds the periods of boxes that serve routes, as they are deployed.
func routedTiming() member.Timing {
	return member.Timing{
		Beat: 400 * time.Millisecond, LeaseTTL: 2 * time.Second, Term: 7 * time.Second, Drain: time.Minute, SilentAfter: 1200 * time.Millisecond,
		OrderGap: 3200 * time.Millisecond, Reclaim: true,
	}
}

// newSlowCluster returns a cluster whose platform takes a time to answer.
func newSlowCluster(t *testing.T, boxes, engines int, answerTime time.Duration) *cluster {
	return newTimedCluster(t, boxes, engines, answerTime, member.DefaultTiming())
}

func newTimedCluster(t *testing.T, boxes, engines int, answerTime time.Duration, timing member.Timing) *cluster {
	cl := &cluster{c: qt.New(t), platform: fakeplatform.New(), nodes: map[string]*node{}, answerTime: answerTime, timing: timing}
	for i := range engines {
		cl.declareEngine(fmt.Sprintf("engine-%03d", i))
	}
	for i := range boxes {
		cl.start(fmt.Sprintf("box-%03d", i), i)
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

// start starts a box; its incarnation differs from any other's.
func (cl *cluster) start(name string, port int) {
	n := &node{cluster: cl, name: name, zone: cl.zoneOf(port), catalog: catalog.New(), owned: map[string]bool{}}
	peer := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+port))
	n.address = peer.String()
	tokens := 0
	n.Node = member.New(member.Config{
		Cell: cell, API: n, Peers: n, Catalog: n.catalog, Holder: n, Timing: cl.timing, Scope: tally.NoopScope, Spread: cl.spread,
		Self: coordinator.Member{Box: name, Zone: cl.zoneOf(port), Incarnation: fmt.Sprintf("%s-%d", name, time.Now().UnixNano()), Caller: peer, Peer: peer},
		NewToken: func() string {
			tokens++
			return fmt.Sprintf("%s-%d-%d", name, time.Now().UnixNano(), tokens)
		},
	})
	n.feed = feed.New(feed.Config{Catalog: n.catalog, Scope: tally.NoopScope, Pick: n.pick})
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

// kill ends a box without any farewell.
func (cl *cluster) kill(name string) {
	cl.mu.Lock()
	n := cl.nodes[name]
	delete(cl.nodes, name)
	cl.mu.Unlock()
	n.stop()
}

// end stops all boxes, which every bubble has to.
func (cl *cluster) end() {
	cl.platform.SetFaults(fakeplatform.Faults{})
	for _, n := range cl.list() {
		n.thaw()
		n.stop()
	}
	cl.c.Check(cl.group.Wait(), qt.ErrorIs, context.Canceled)
}

func (cl *cluster) list() []*node {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var all []*node
	for _, n := range cl.nodes {
		all = append(all, n)
	}
	slices.SortFunc(all, func(a, b *node) int { return int(a.address[10]) - int(b.address[10]) })
	return all
}

func (cl *cluster) at(address string) *node {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, n := range cl.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// sample records who may give orders now.
func (cl *cluster) sample() {
	now := time.Now()
	for _, n := range cl.list() {
		for _, e := range cl.engines {
			if epoch, ok := n.Authority(e, now); ok {
				cl.history = append(cl.history, invariant.Authority{At: now, Engine: e, Box: n.name, Epoch: epoch})
			}
		}
	}
}

// run lets time pass while sampling.
func (cl *cluster) run(d time.Duration) {
	const every = 100 * time.Millisecond
	for ; d > 0; d -= every {
		time.Sleep(every)
		cl.sample()
	}
}

// owned returns how many engines have a box that may give them orders now.
func (cl *cluster) owned() int {
	now, n := time.Now(), 0
	for _, e := range cl.engines {
		for _, b := range cl.list() {
			if _, ok := b.Authority(e, now); ok {
				n++
			}
		}
	}
	return n
}

// until lets time pass until ok, and returns how long that took; it fails after limit.
func (cl *cluster) until(limit time.Duration, ok func() bool) time.Duration {
	began := time.Now()
	for !ok() {
		if time.Since(began) > limit {
			cl.c.Fatalf("not within %s", limit)
		}
		cl.run(100 * time.Millisecond)
	}
	return time.Since(began)
}

func (cl *cluster) sentBeats() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.beats
}

func (n *node) lastBeat() coordinator.Beat {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.last
}

func (n *node) ownedCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.owned)
}

func (cl *cluster) check() {
	cl.c.Check(invariant.OneAuthority(cl.history), qt.IsNil)
	cl.c.Check(invariant.EpochsGrow(cl.history), qt.IsNil)
}

func (n *node) freeze() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.thawed == nil {
		n.thawed = make(chan struct{})
	}
}

func (n *node) thaw() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.thawed != nil {
		close(n.thawed)
		n.thawed = nil
	}
}

func (n *node) cut(fromPlatform, fromPeers bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutPlatform, n.cutPeers = fromPlatform, fromPeers
}

// gate blocks while the box is frozen. Every call into and out of a box passes it.
func (n *node) gate() {
	n.mu.Lock()
	thawed := n.thawed
	n.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

func (n *node) setUnanswered(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unanswered = on
}

func (n *node) isUnanswered() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unanswered
}

func (n *node) platformCut() bool {
	n.gate()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutPlatform
}

// isCut reports whether the box is cut off from anything.
func (n *node) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutPlatform || n.cutPeers
}

func (n *node) peersCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutPeers
}

func (n *node) pick() feed.Source {
	if address, ok := n.CoordinatorAddress(); ok && !n.cluster.timing.Reclaim {
		return source{n, address}
	}
	return n
}

// source is another box as a source of changes.
type source struct {
	node    *node
	address string
}

func (s source) List(context.Context, []string, string) (objects.Changes, error) {
	to, err := s.reach()
	if err != nil {
		return objects.Changes{}, err
	}
	return to.catalog.All(), nil
}

func (s source) Authoritative() bool { return false }

func (s source) Watch(ctx context.Context, _ []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	timeout := time.After(wait)
	for {
		to, err := s.reach()
		if err != nil {
			return objects.Changes{}, err
		}
		changed := to.catalog.Changed()
		ch, err := to.catalog.Since(from)
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

func (s source) reach() (*node, error) {
	s.node.gate()
	to := s.node.cluster.at(s.address)
	if to == nil || to.peersCut() || s.node.peersCut() {
		return nil, errCut
	}
	to.gate()
	return to, nil
}

// Beat implements member.Peers.
func (n *node) Beat(ctx context.Context, address string, b coordinator.Beat) (coordinator.Reply, error) {
	n.mu.Lock()
	n.last = b
	n.mu.Unlock()
	to, err := n.reach(ctx, address)
	if err != nil {
		return coordinator.Reply{}, err
	}
	r, err := to.Receive(ctx, b)
	n.gate()
	return r, err
}

// BeatBatch implements member.Peers.
func (n *node) BeatBatch(ctx context.Context, address string, b coordinator.Batch) (coordinator.BatchReply, error) {
	to, err := n.reach(ctx, address)
	if err != nil {
		return coordinator.BatchReply{}, err
	}
	r, err := to.HandleBatch(b)
	n.gate()
	return r, err
}

// reach returns the box at an address that a message of this one gets to.
func (n *node) reach(ctx context.Context, address string) (*node, error) {
	n.gate()
	to := n.cluster.at(address)
	n.cluster.mu.Lock()
	n.cluster.beats++
	if to != nil {
		to.received++
	}
	n.cluster.mu.Unlock()
	if to == nil || n.peersCut() || to.peersCut() {
		return nil, errCut
	}
	to.mu.Lock()
	frozen := to.thawed != nil
	to.mu.Unlock()
	if frozen {
		// The caller's time limit ends the call.
		<-ctx.Done()
		return nil, errCut
	}
	return to, nil
}

// Update implements member.Holder.
func (n *node) Update(grants []coordinator.Ownership, release []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owned = map[string]bool{}
	for _, g := range grants {
		n.owned[g.Engine] = true
	}
	n.released = slices.DeleteFunc(release, func(e string) bool { return !n.owned[e] })
}

// Released implements member.Holder.
func (n *node) Released() (released, draining []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.released, nil
}

// The methods below implement objects.API through the node's gate and cut.

func (n *node) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if n.platformCut() || n.isUnanswered() {
		return objects.Object{}, objects.ErrUnavailable
	}
	o, err := n.cluster.platform.Get(ctx, kind, name)
	time.Sleep(n.cluster.answerTime)
	n.gate()
	return o, err
}

func (n *node) List(ctx context.Context, kinds []string, after string) (objects.Changes, error) {
	if n.platformCut() {
		return objects.Changes{}, objects.ErrUnavailable
	}
	return n.cluster.platform.List(ctx, kinds, after)
}

func (n *node) Authoritative() bool { return true }

func (n *node) Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	if n.platformCut() {
		return objects.Changes{}, objects.ErrUnavailable
	}
	return n.cluster.platform.Watch(ctx, kinds, from, wait)
}

func (n *node) Put(ctx context.Context, kind, name string, expect objects.Position, value json.RawMessage) (objects.Position, error) {
	if n.platformCut() {
		return 0, objects.ErrUnavailable
	}
	v, err := n.cluster.platform.Put(ctx, kind, name, expect, value)
	time.Sleep(n.cluster.answerTime)
	n.gate()
	if n.isUnanswered() && err == nil {
		return 0, objects.ErrAnswerLost
	}
	return v, err
}

func (n *node) Delete(ctx context.Context, kind, name string, expect objects.Position) error {
	return n.cluster.platform.Delete(ctx, kind, name, expect)
}

func (n *node) Boxes(ctx context.Context) ([]objects.Box, error) {
	return n.cluster.platform.Boxes(ctx)
}
