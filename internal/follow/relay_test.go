package follow_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/follow"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/resource"
)

const (
	heartbeatInterval = 400 * time.Millisecond
	relayTimeout      = 3 * heartbeatInterval
)

// cuttableSource is a source that counts calls and can be cut off from the store on its own.
type cuttableSource struct {
	*fakeStore
	calls atomic.Int64
	cut   atomic.Bool
	// cutKind is a kind for which all calls fail.
	cutKind atomic.Value
}

func (s *cuttableSource) isCut(kind string) bool { return s.cut.Load() || s.cutKind.Load() == kind }

// List implements follow.Source.
func (s *cuttableSource) List(ctx context.Context, kinds []string, after string) (objects.Changes, error) {
	s.calls.Add(1)
	if s.isCut(kinds[0]) {
		return objects.Changes{}, objects.ErrUnavailable
	}
	ch, err := s.fakeStore.List(ctx, kinds, after)
	if kinds[0] == string(resource.KindEndpoint) {
		ch.Objects = append(ch.Objects, s.objectsOf(resource.KindHolding)...)
	}
	return ch, err
}

// Watch implements follow.Source. If the path is cut, the call hangs for its whole time before it fails.
func (s *cuttableSource) Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	s.calls.Add(1)
	ch, err := s.fakeStore.Watch(ctx, kinds, from, wait)
	if s.isCut(kinds[0]) {
		return objects.Changes{}, objects.ErrUnavailable
	}
	return ch, err
}

// box is a follower with its own source and catalog.
type box struct {
	source  *cuttableSource
	catalog *catalog.Catalog
	*follow.Follower
}

func newBox(s *fakeStore) *box {
	source := &cuttableSource{fakeStore: s}
	b := newBoxWithSource(source)
	b.source = source
	return b
}

// newBoxWithSource returns a box that reads from any source. Its field source is nil.
func newBoxWithSource(source follow.Source) *box {
	b := &box{catalog: catalog.New()}
	b.Follower = follow.New(follow.Config{
		Source: source, Catalog: b.catalog, Scope: tally.NoopScope, Grace: grace, RelayTimeout: relayTimeout, Kinds: []follow.Kind{
			{Name: string(resource.KindRouting), Wait: 6 * time.Second, Relayed: true},
			{Name: string(resource.KindEndpoint), MinInterval: pace, Wait: 700 * time.Millisecond, MayExpire: true, Relayed: true, CompanionKinds: []string{string(resource.KindHolding)}},
		},
	})
	return b
}

// runRelaying runs two followers. The second one receives the changes of the first with heartbeats while heartbeatsOn is set.
func runRelaying(t *testing.T, during func(c *qt.C, s *fakeStore, sender, receiver *box, heartbeatsOn *atomic.Bool)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		s.put(c, resource.KindRouting, catalog.RoutingName, routing(1))
		for i := range 3 {
			s.put(c, resource.KindEndpoint, fmt.Sprint("e", i+1), endpoint(i+1))
		}
		sender, receiver := newBox(s), newBox(s)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		var heartbeatsOn atomic.Bool
		heartbeatsOn.Store(true)
		group.Go(func() error { return sender.Serve(ctx) })
		group.Go(func() error { return receiver.Serve(ctx) })
		group.Go(func() error {
			for ctx.Err() == nil {
				if heartbeatsOn.Load() {
					receiver.ApplyChanges(sender.ChangesSince(receiver.KnownRevisions()))
				}
				time.Sleep(heartbeatInterval)
			}
			return nil
		})
		time.Sleep(10 * time.Second)
		during(c, s, sender, receiver, &heartbeatsOn)
		cancel()
		_ = group.Wait()
	})
}

func TestRelayedChangesCostNoCalls(t *testing.T) {
	runRelaying(t, func(c *qt.C, s *fakeStore, _, receiver *box, _ *atomic.Bool) {
		before := receiver.source.calls.Load()
		for i := range 20 {
			s.put(c, resource.KindRouting, catalog.RoutingName, routing(int64(i+2)))
			s.remove(fmt.Sprint("e", i))
			s.put(c, resource.KindEndpoint, fmt.Sprint("e", i+4), endpoint(i+4))
			time.Sleep(pace + heartbeatInterval + 10*time.Millisecond)
			c.Check(routingVersion(receiver.catalog), qt.Equals, int64(i+2))
			c.Check(endpointCount(receiver.catalog), qt.Equals, endpointCount(s.asCatalog(c)))
		}
		c.Check(receiver.source.calls.Load(), qt.Equals, before)
		c.Check(receiver.StoreAge() < 2*time.Second, qt.IsTrue, qt.Commentf("%s", receiver.StoreAge()))
	})
}

// TestCallsReplaceMissingHeartbeats ends the heartbeats. The box must call the store itself, early enough for the time limit on
// removed endpoints.
func TestCallsReplaceMissingHeartbeats(t *testing.T) {
	runRelaying(t, func(c *qt.C, s *fakeStore, _, receiver *box, heartbeatsOn *atomic.Bool) {
		heartbeatsOn.Store(false)
		s.remove("e1")
		time.Sleep(1500 * time.Millisecond)
		c.Check(endpointCount(receiver.catalog), qt.Equals, 2)
	})
}

// TestCallsReplaceRelayCutFromStore cuts only the relaying box from the store. Its heartbeats continue.
func TestCallsReplaceRelayCutFromStore(t *testing.T) {
	runRelaying(t, func(c *qt.C, s *fakeStore, sender, receiver *box, _ *atomic.Bool) {
		sender.source.cut.Store(true)
		s.remove("e1")
		s.put(c, resource.KindRouting, catalog.RoutingName, routing(2))
		time.Sleep(2 * time.Second)
		c.Check(endpointCount(receiver.catalog), qt.Equals, 2)
		c.Check(routingVersion(receiver.catalog), qt.Equals, int64(2))
	})
}

// TestCallsReplaceKindTheRelayCannotRead makes the relaying box's calls for one kind fail, as when the answers are too large
// for its link at the time. Its calls for all other kinds succeed, and its heartbeats continue.
func TestCallsReplaceKindTheRelayCannotRead(t *testing.T) {
	for _, kind := range []resource.Kind{resource.KindRouting, resource.KindEndpoint} {
		t.Run(string(kind), func(t *testing.T) {
			runRelaying(t, func(c *qt.C, s *fakeStore, sender, receiver *box, _ *atomic.Bool) {
				sender.source.cutKind.Store(string(kind))
				s.remove("e1")
				s.put(c, resource.KindRouting, catalog.RoutingName, routing(2))
				time.Sleep(2 * time.Second)
				c.Check(endpointCount(receiver.catalog), qt.Equals, 2)
				c.Check(routingVersion(receiver.catalog), qt.Equals, int64(2))
				sender.source.cutKind.Store("")
				time.Sleep(4 * time.Second)
				before := receiver.source.calls.Load()
				time.Sleep(4 * time.Second)
				c.Check(receiver.source.calls.Load(), qt.Equals, before)
			})
		})
	}
}

// asCatalog returns a catalog with the present content of the store.
func (s *fakeStore) asCatalog(c *qt.C) *catalog.Catalog {
	cat := catalog.New()
	for _, kind := range []resource.Kind{resource.KindRouting, resource.KindEndpoint} {
		ch, err := s.List(c.Context(), []string{string(kind)}, "")
		c.Assert(err, qt.IsNil)
		cat.Apply(ch)
	}
	return cat
}

// TestConcurrentChangesAreRelayedCompletely relays changes while they are being applied. A box must have received all changes
// up to the revision that it counts as known.
func TestConcurrentChangesAreRelayedCompletely(t *testing.T) {
	c := qt.New(t)
	s := newFakeStore()
	s.put(c, resource.KindRouting, catalog.RoutingName, routing(1))
	s.put(c, resource.KindEndpoint, "e0", endpoint(1))
	kinds := []follow.Kind{
		{Name: string(resource.KindRouting), Wait: time.Second, Relayed: true}, {Name: string(resource.KindEndpoint), Wait: time.Second, Relayed: true},
	}
	sender := follow.New(follow.Config{Source: s, Catalog: catalog.New(), Scope: tally.NoopScope, Kinds: kinds})
	received := catalog.New()
	receiver := follow.New(follow.Config{Source: s, Catalog: received, Scope: tally.NoopScope, Kinds: kinds, RelayTimeout: relayTimeout})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return sender.Serve(ctx) })
	<-sender.Ready()
	var relaying errgroup.Group
	stop := make(chan struct{})
	relaying.Go(func() error {
		for {
			receiver.ApplyChanges(sender.ChangesSince(receiver.KnownRevisions()))
			select {
			case <-stop:
				return nil
			default:
			}
		}
	})
	const changes = 3000
	for i := range changes {
		s.put(c, resource.KindEndpoint, fmt.Sprint("e", i), endpoint(1))
		if i%50 == 0 {
			// Lets the follower catch up now and then, so that it also applies changes one by one.
			for sender.KnownRevisions()[string(resource.KindEndpoint)] < s.newestRevision() {
				time.Sleep(time.Microsecond)
			}
		}
	}
	for sender.KnownRevisions()[string(resource.KindEndpoint)] < s.newestRevision() {
		time.Sleep(time.Millisecond)
	}
	close(stop)
	c.Assert(relaying.Wait(), qt.IsNil)
	// The bytes sent per second are limited.
	for deadline := time.Now().Add(time.Minute); receiver.KnownRevisions()[string(resource.KindEndpoint)] < s.newestRevision(); {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("not all changes were relayed"))
		receiver.ApplyChanges(sender.ChangesSince(receiver.KnownRevisions()))
		time.Sleep(time.Millisecond)
	}
	c.Check(len(received.Names(string(resource.KindEndpoint))), qt.Equals, changes)
	cancel()
	c.Check(group.Wait(), qt.ErrorIs, context.Canceled)
}

// TestExpiredEndpointIsRemovedFromAllBoxes checks that all boxes remove an endpoint that is still missing some time after an
// outage, even if the store has no further change.
func TestExpiredEndpointIsRemovedFromAllBoxes(t *testing.T) {
	runRelaying(t, func(c *qt.C, s *fakeStore, sender, receiver *box, _ *atomic.Bool) {
		s.update(func(s *fakeStore) { s.down = true })
		time.Sleep(3 * time.Second)
		s.remove("e1")
		s.update(func(s *fakeStore) { s.down = false })
		time.Sleep(grace + 2*time.Second)
		c.Check(endpointCount(sender.catalog), qt.Equals, 2)
		c.Check(endpointCount(receiver.catalog), qt.Equals, 2)
	})
}

// TestBoxDropsRemovedObjectsAfterItsOwnOutage cuts one box off alone, which then keeps for a while objects that the store
// lacks. The other box has removed them long ago and must report this when it relays changes again.
func TestBoxDropsRemovedObjectsAfterItsOwnOutage(t *testing.T) {
	runRelaying(t, func(c *qt.C, s *fakeStore, sender, receiver *box, heartbeatsOn *atomic.Bool) {
		heartbeatsOn.Store(false)
		receiver.source.cut.Store(true)
		time.Sleep(3 * time.Second)
		s.remove("e1")
		time.Sleep(3 * time.Second)
		receiver.source.cut.Store(false)
		// This is enough for one list, which keeps the missing object, before heartbeats resume.
		time.Sleep(1100 * time.Millisecond)
		heartbeatsOn.Store(true)
		time.Sleep(grace + 2*time.Second)
		c.Check(endpointCount(sender.catalog), qt.Equals, 2)
		c.Check(endpointCount(receiver.catalog), qt.Equals, 2)
	})
}

// TestHoldingsAreListedWhenCallsResume checks that a box lists what endpoints hold as soon as it calls the store again.
// Heartbeats do not carry holdings, and there may be no owner to request them from.
func TestHoldingsAreListedWhenCallsResume(t *testing.T) {
	runRelaying(t, func(c *qt.C, s *fakeStore, _, receiver *box, heartbeatsOn *atomic.Bool) {
		holding := string(resource.KindHolding)
		s.put(c, resource.KindHolding, "e1", &resource.Holding{Holds: []string{"a@1"}})
		c.Check(receiver.catalog.Names(holding), qt.HasLen, 0)
		heartbeatsOn.Store(false)
		time.Sleep(relayTimeout + 2*pace)
		c.Check(receiver.catalog.Names(holding), qt.DeepEquals, []string{"e1"})
	})
}

// TestLateDeletionReachesReconnectedBox guards against a removed entry that one box keeps forever. The entry expires while the
// store is down. The sending box keeps it for a grace period, in which the receiving box already knows the store's newest
// revision. The receiving box is cut off from everything while the sender removes the entry, and receives changes again before
// it has listed anything itself.
func TestLateDeletionReachesReconnectedBox(t *testing.T) {
	for range 10 {
		runRelaying(t, func(c *qt.C, s *fakeStore, sender, receiver *box, heartbeatsOn *atomic.Bool) {
			s.update(func(s *fakeStore) { s.down = true })
			time.Sleep(3 * time.Second)
			s.remove("e1")
			receiver.source.cut.Store(true)
			s.update(func(s *fakeStore) { s.down = false })
			for endpointCount(sender.catalog) > 2 {
				time.Sleep(10 * time.Millisecond)
				if sender.StoreAge() < 500*time.Millisecond && heartbeatsOn.Load() {
					time.Sleep(grace - 600*time.Millisecond)
					heartbeatsOn.Store(false)
				}
			}
			time.Sleep(4 * time.Second)
			heartbeatsOn.Store(true)
			time.Sleep(heartbeatInterval + 10*time.Millisecond)
			receiver.source.cut.Store(false)
			time.Sleep(10 * time.Second)
			c.Check(endpointCount(sender.catalog), qt.Equals, 2)
			c.Check(endpointCount(receiver.catalog), qt.Equals, 2)
		})
	}
}

// TestReappearedEndpointIsRelayedAgain has the sending box lose the store for a while, in which an endpoint is removed. The
// receiving box then calls the store itself and drops the endpoint. The sender keeps it after its outage, so nothing changes
// there when the endpoint is written again. The sender must relay it nevertheless: in one cell, only the coordinator knew such
// an endpoint from then on.
func TestReappearedEndpointIsRelayedAgain(t *testing.T) {
	for _, outage := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			runRelaying(t, func(c *qt.C, s *fakeStore, sender, receiver *box, _ *atomic.Bool) {
				sender.source.cut.Store(true)
				time.Sleep(outage - 300*time.Millisecond)
				s.remove("e1")
				time.Sleep(300 * time.Millisecond)
				sender.source.cut.Store(false)
				time.Sleep(1200 * time.Millisecond)
				s.put(c, resource.KindEndpoint, "e1", endpoint(1))
				time.Sleep(10 * time.Second)
				c.Check(endpointCount(sender.catalog), qt.Equals, 3)
				c.Check(endpointCount(receiver.catalog), qt.Equals, 3)
			})
		})
	}
}
