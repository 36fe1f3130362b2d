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

// store is a source with a history that can be forgotten, watches that can be deaf, and outages.
type store struct {
	mu       sync.Mutex
	revision objects.Position
	objects  map[string]map[string]objects.Object
	history  []objects.Object
	// floor is the revision before which the history is gone.
	floor objects.Position
	// deaf watches wait their time and hear nothing.
	deaf bool
	down bool
	// hangs is how long calls hang before they fail while the store is down.
	hangs time.Duration
	// woken is closed at each change.
	changed chan struct{}
}

func newStore() *store {
	return &store{objects: map[string]map[string]objects.Object{}, changed: make(chan struct{})}
}

func (s *store) put(c *qt.C, kind resource.Kind, name string, spec resource.Spec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	value, err := json.Marshal(resource.Resource{Kind: kind, Name: name, Generation: int64(s.revision), Spec: spec})
	c.Assert(err, qt.IsNil)
	s.write(objects.Object{Kind: string(kind), Name: name, Version: s.revision, Value: value})
}

// remove deletes an endpoint.
func (s *store) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(objects.Object{Kind: string(resource.KindEndpoint), Name: name, Version: s.revision, Deleted: true})
}

func (s *store) write(o objects.Object) {
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

func (s *store) set(change func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// List implements follow.Source.
func (s *store) List(_ context.Context, kinds []string, _ string) (objects.Changes, error) {
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
func (s *store) Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	timeout := time.After(wait)
	s.mu.Lock()
	hangs := s.hangs
	s.mu.Unlock()
	if hangs > 0 {
		time.Sleep(hangs)
		return objects.Changes{}, objects.ErrUnavailable
	}
	for {
		s.mu.Lock()
		changed, deaf := s.changed, s.deaf
		ch, err := s.since(kinds[0], from)
		s.mu.Unlock()
		if err != nil || (len(ch.Objects) > 0 && !deaf) {
			return ch, err
		}
		if deaf {
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

func (s *store) since(kind string, from objects.Position) (objects.Changes, error) {
	if s.down {
		return objects.Changes{}, objects.ErrUnavailable
	}
	if from < s.floor {
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

// run follows a store in virtual time, filled before by setUp, and calls during.
func run(t *testing.T, setUp func(c *qt.C, s *store), during func(c *qt.C, s *store, cat *catalog.Catalog)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newStore()
		setUp(c, s)
		cat := catalog.New()
		f := follow.New(follow.Config{Source: s, Catalog: cat, Scope: tally.NoopScope, Grace: grace, Kinds: []follow.Kind{
			{Name: string(resource.KindRouting), Wait: time.Minute},
			{Name: string(resource.KindEndpoint), Pace: pace, Wait: 2 * time.Second, Lapses: true},
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

func version(cat *catalog.Catalog) int64 {
	if t := cat.Topology().Routes; t != nil {
		return t.Version()
	}
	return 0
}

func endpoints(cat *catalog.Catalog) int { return len(cat.Topology().Endpoints[service]) }

// TestForgottenHistoryWakesEveryKind: the watch of one kind learns that the history is gone, the other's hears nothing for a minute.
func TestForgottenHistoryWakesEveryKind(t *testing.T) {
	setUp := func(c *qt.C, s *store) { s.put(c, resource.KindRouting, catalog.RoutingName, routing(1)) }
	run(t, setUp, func(c *qt.C, s *store, cat *catalog.Catalog) {
		s.set(func(s *store) { s.deaf = true })
		s.put(c, resource.KindRouting, catalog.RoutingName, routing(2))
		s.set(func(s *store) { s.floor = s.revision })
		time.Sleep(3 * time.Second)
		c.Check(version(cat), qt.Equals, int64(2))
	})
}

func TestChangeIsInForceAtOnce(t *testing.T) {
	run(t, func(*qt.C, *store) {}, func(c *qt.C, s *store, cat *catalog.Catalog) {
		s.put(c, resource.KindRouting, catalog.RoutingName, routing(7))
		time.Sleep(time.Millisecond)
		c.Check(version(cat), qt.Equals, int64(7))
	})
}

func TestLeavingEndpointIsNoticedWithinThePace(t *testing.T) {
	setUp := func(c *qt.C, s *store) { s.put(c, resource.KindEndpoint, "e1", endpoint(1)) }
	run(t, setUp, func(c *qt.C, s *store, cat *catalog.Catalog) {
		c.Check(endpoints(cat), qt.Equals, 1)
		s.put(c, resource.KindEndpoint, "e2", endpoint(2))
		s.remove("e1")
		time.Sleep(pace + time.Millisecond)
		c.Check(endpoints(cat), qt.Equals, 1)
	})
}

// TestLapsedEndpointsAreKept: entries lapse while the store is away; those that come back were never gone, the others go after the grace.
func TestLapsedEndpointsAreKept(t *testing.T) {
	setUp := func(c *qt.C, s *store) {
		for i := range 3 {
			s.put(c, resource.KindEndpoint, fmt.Sprint("e", i+1), endpoint(i+1))
		}
	}
	run(t, setUp, func(c *qt.C, s *store, cat *catalog.Catalog) {
		s.set(func(s *store) { s.down = true })
		time.Sleep(5 * time.Second)
		for i := range 3 {
			s.remove(fmt.Sprint("e", i+1))
		}
		c.Check(endpoints(cat), qt.Equals, 3)
		s.set(func(s *store) { s.down = false })
		time.Sleep(1500 * time.Millisecond)
		c.Check(endpoints(cat), qt.Equals, 3)
		s.put(c, resource.KindEndpoint, "e1", endpoint(1))
		s.put(c, resource.KindEndpoint, "e2", endpoint(2))
		time.Sleep(3 * time.Second)
		c.Check(endpoints(cat), qt.Equals, 2)
	})
}

// newest returns the store's revision.
func (s *store) newest() objects.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// of returns all objects of a kind.
func (s *store) of(kind resource.Kind) []objects.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []objects.Object
	for _, o := range s.objects[string(kind)] {
		all = append(all, o)
	}
	return all
}

// TestCallsThatHungAreFollowedAtOnce: behind a path that swallows calls for 2.5 s each, one is always under way: after the path is
// back a change is in force within the time of a call and a bit.
func TestCallsThatHungAreFollowedAtOnce(t *testing.T) {
	setUp := func(c *qt.C, s *store) { s.put(c, resource.KindRouting, catalog.RoutingName, routing(1)) }
	run(t, setUp, func(c *qt.C, s *store, cat *catalog.Catalog) {
		s.set(func(s *store) { s.hangs, s.down = 2500*time.Millisecond, true })
		time.Sleep(70 * time.Second)
		for range 20 {
			s.put(c, resource.KindRouting, catalog.RoutingName, routing(int64(s.newest()+1)))
			s.set(func(s *store) { s.hangs, s.down = 0, false })
			time.Sleep(2700 * time.Millisecond)
			c.Check(version(cat), qt.Equals, int64(s.newest()))
			s.set(func(s *store) { s.hangs, s.down = 2500*time.Millisecond, true })
			time.Sleep(70 * time.Second)
		}
	})
}
