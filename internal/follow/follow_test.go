package follow_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
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
	grace   = 2 * time.Second
	pace    = 700 * time.Millisecond
	service = "summaries"
)

// fakeStore is a source that can lose its history, leave watches without changes, and fail.
type fakeStore struct {
	mu       sync.Mutex
	revision objects.Position
	objects  map[string]map[string]objects.Object
	history  []objects.Object
	// oldestRevision is the revision before which the history is lost.
	oldestRevision objects.Position
	// hidesChanges makes watches wait for their whole time and return no changes.
	hidesChanges bool
	down         bool
	// hangTime is how long watches hang before they fail, zero if they do not hang.
	hangTime time.Duration
	// changed is closed at each change.
	changed chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string]map[string]objects.Object{}, changed: make(chan struct{})}
}

func (s *fakeStore) put(c *qt.C, kind resource.Kind, name string, spec resource.Spec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	value, err := json.Marshal(resource.Resource{Kind: kind, Name: name, Generation: int64(s.revision), Spec: spec})
	c.Assert(err, qt.IsNil)
	s.write(objects.Object{Kind: string(kind), Name: name, Version: s.revision, Value: value})
}

// remove deletes an endpoint.
func (s *fakeStore) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(objects.Object{Kind: string(resource.KindEndpoint), Name: name, Version: s.revision, Deleted: true})
}

func (s *fakeStore) write(o objects.Object) {
	if s.objects[o.Kind] == nil {
		s.objects[o.Kind] = map[string]objects.Object{}
	}
	s.objects[o.Kind][o.Name] = o
	if o.Deleted {
		delete(s.objects[o.Kind], o.Name)
	}
	s.history = append(s.history, o)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) update(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// List implements follow.Source.
func (s *fakeStore) List(_ context.Context, kinds []string, _ string) (objects.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return objects.Changes{}, objects.ErrUnavailable
	}
	ch := objects.Changes{Revision: s.revision}
	for _, o := range s.objects[kinds[0]] {
		ch.Objects = append(ch.Objects, o)
	}
	return ch, nil
}

// Watch implements follow.Source.
func (s *fakeStore) Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	timeout := time.After(wait)
	s.mu.Lock()
	hangTime := s.hangTime
	s.mu.Unlock()
	if hangTime > 0 {
		time.Sleep(hangTime)
		return objects.Changes{}, objects.ErrUnavailable
	}
	for {
		s.mu.Lock()
		changed, hidesChanges := s.changed, s.hidesChanges
		ch, err := s.changesSince(kinds[0], from)
		s.mu.Unlock()
		if err != nil || (len(ch.Objects) > 0 && !hidesChanges) {
			return ch, err
		}
		if hidesChanges {
			changed = nil
		}
		select {
		case <-changed:
		case <-timeout:
			return objects.Changes{Revision: from}, nil
		case <-ctx.Done():
			return objects.Changes{}, ctx.Err()
		}
	}
}

func (s *fakeStore) changesSince(kind string, from objects.Position) (objects.Changes, error) {
	if s.down {
		return objects.Changes{}, objects.ErrUnavailable
	}
	if from < s.oldestRevision {
		return objects.Changes{}, objects.ErrGone
	}
	ch := objects.Changes{Revision: s.revision}
	for _, o := range s.history {
		if o.Kind == kind && o.Version > from {
			ch.Objects = append(ch.Objects, o)
		}
	}
	return ch, nil
}

func endpoint(n int) *resource.Endpoint {
	return &resource.Endpoint{Service: service, Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", n)), Zone: "hall-a", Slots: 4}
}

func routing(version int64) *resource.Routing { return &resource.Routing{Version: version} }

// runFollower follows a store in virtual time. It calls setUp to fill the store, and during once every kind has been listed.
func runFollower(t *testing.T, setUp func(c *qt.C, s *fakeStore), during func(c *qt.C, s *fakeStore, cat *catalog.Catalog)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		setUp(c, s)
		cat := catalog.New()
		f := follow.New(follow.Config{Source: s, Catalog: cat, Scope: tally.NoopScope, Grace: grace, Kinds: []follow.Kind{
			{Name: string(resource.KindRouting), Wait: time.Minute},
			{Name: string(resource.KindEndpoint), MinInterval: pace, Wait: 2 * time.Second, MayExpire: true},
		}})
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return f.Serve(ctx) })
		time.Sleep(time.Second)
		c.Assert(f.IsReady(), qt.IsTrue)
		during(c, s, cat)
		cancel()
		c.Check(group.Wait(), qt.ErrorIs, context.Canceled)
	})
}

func routingVersion(cat *catalog.Catalog) int64 {
	if t := cat.Topology().Routes; t != nil {
		return t.Version()
	}
	return 0
}

func endpointCount(cat *catalog.Catalog) int { return len(cat.Topology().Endpoints[service]) }

// TestLostHistoryRelistsEveryKind has the watch of one kind report that the history is lost, while the watch of the other kind
// would return nothing for a minute.
func TestLostHistoryRelistsEveryKind(t *testing.T) {
	setUp := func(c *qt.C, s *fakeStore) { s.put(c, resource.KindRouting, catalog.RoutingName, routing(1)) }
	runFollower(t, setUp, func(c *qt.C, s *fakeStore, cat *catalog.Catalog) {
		s.update(func(s *fakeStore) { s.hidesChanges = true })
		s.put(c, resource.KindRouting, catalog.RoutingName, routing(2))
		s.update(func(s *fakeStore) { s.oldestRevision = s.revision })
		time.Sleep(3 * time.Second)
		c.Check(routingVersion(cat), qt.Equals, int64(2))
	})
}

func TestChangeAppliesImmediately(t *testing.T) {
	runFollower(t, func(*qt.C, *fakeStore) {}, func(c *qt.C, s *fakeStore, cat *catalog.Catalog) {
		s.put(c, resource.KindRouting, catalog.RoutingName, routing(7))
		time.Sleep(time.Millisecond)
		c.Check(routingVersion(cat), qt.Equals, int64(7))
	})
}

func TestRemovedEndpointIsNoticedWithinPace(t *testing.T) {
	setUp := func(c *qt.C, s *fakeStore) { s.put(c, resource.KindEndpoint, "e1", endpoint(1)) }
	runFollower(t, setUp, func(c *qt.C, s *fakeStore, cat *catalog.Catalog) {
		c.Check(endpointCount(cat), qt.Equals, 1)
		s.put(c, resource.KindEndpoint, "e2", endpoint(2))
		s.remove("e1")
		time.Sleep(pace + time.Millisecond)
		c.Check(endpointCount(cat), qt.Equals, 1)
	})
}

// TestExpiredEndpointsAreKeptForGrace has entries expire while the store is down. Those that are written again are never
// dropped. The others are removed after the grace period.
func TestExpiredEndpointsAreKeptForGrace(t *testing.T) {
	setUp := func(c *qt.C, s *fakeStore) {
		for i := range 3 {
			s.put(c, resource.KindEndpoint, fmt.Sprint("e", i+1), endpoint(i+1))
		}
	}
	runFollower(t, setUp, func(c *qt.C, s *fakeStore, cat *catalog.Catalog) {
		s.update(func(s *fakeStore) { s.down = true })
		time.Sleep(5 * time.Second)
		for i := range 3 {
			s.remove(fmt.Sprint("e", i+1))
		}
		c.Check(endpointCount(cat), qt.Equals, 3)
		s.update(func(s *fakeStore) { s.down = false })
		time.Sleep(1500 * time.Millisecond)
		c.Check(endpointCount(cat), qt.Equals, 3)
		s.put(c, resource.KindEndpoint, "e1", endpoint(1))
		s.put(c, resource.KindEndpoint, "e2", endpoint(2))
		time.Sleep(3 * time.Second)
		c.Check(endpointCount(cat), qt.Equals, 2)
	})
}

// newestRevision returns the store's revision.
func (s *fakeStore) newestRevision() objects.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// objectsOf returns all objects of a kind.
func (s *fakeStore) objectsOf(kind resource.Kind) []objects.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []objects.Object
	for _, o := range s.objects[string(kind)] {
		all = append(all, o)
	}
	return all
}

// TestChangeAppliesSoonAfterHangingCalls uses a network path on which calls hang for 2.5 s before they fail, so that one is
// always pending. After the path has recovered, a change must apply within little more than the time of one call.
func TestChangeAppliesSoonAfterHangingCalls(t *testing.T) {
	setUp := func(c *qt.C, s *fakeStore) { s.put(c, resource.KindRouting, catalog.RoutingName, routing(1)) }
	runFollower(t, setUp, func(c *qt.C, s *fakeStore, cat *catalog.Catalog) {
		s.update(func(s *fakeStore) { s.hangTime, s.down = 2500*time.Millisecond, true })
		time.Sleep(70 * time.Second)
		for range 20 {
			s.put(c, resource.KindRouting, catalog.RoutingName, routing(int64(s.newestRevision()+1)))
			s.update(func(s *fakeStore) { s.hangTime, s.down = 0, false })
			time.Sleep(2700 * time.Millisecond)
			c.Check(routingVersion(cat), qt.Equals, int64(s.newestRevision()))
			s.update(func(s *fakeStore) { s.hangTime, s.down = 2500*time.Millisecond, true })
			time.Sleep(70 * time.Second)
		}
	})
}
