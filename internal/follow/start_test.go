package follow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/follow"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/resource"
)

// TestFirstWatchWaitsForHeartbeat starts a box while the configuration changes ten times per second. If heartbeats begin in
// time, the box makes one call for each kind, its list. If none arrive, it watches the store from then on.
func TestFirstWatchWaitsForHeartbeat(t *testing.T) {
	const firstWatchDelay = 800 * time.Millisecond
	for _, test := range []struct {
		name string
		// firstHeartbeat is the time of the first heartbeat, zero for none.
		firstHeartbeat time.Duration
		calls          int64
	}{
		{name: "heartbeat in time", firstHeartbeat: 500 * time.Millisecond, calls: 2},
		{name: "none"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newFakeStore()
				s.put(c, resource.KindRouting, catalog.RoutingName, routing(1))
				s.put(c, resource.KindEndpoint, "e0", endpoint(1))
				source, cat := &cuttableSource{fakeStore: s}, catalog.New()
				f := follow.New(follow.Config{
					Source: source, Catalog: cat, Scope: tally.NoopScope, RelayTimeout: 3 * heartbeatInterval, FirstWatchDelay: firstWatchDelay, Kinds: []follow.Kind{
						{Name: string(resource.KindRouting), Wait: time.Second, Relayed: true}, {Name: string(resource.KindEndpoint), Wait: time.Second, Relayed: true},
					},
				})
				ctx, cancel := context.WithCancel(t.Context())
				var group errgroup.Group
				group.Go(func() error { return f.Serve(ctx) })
				began := time.Now()
				for i := range 15 {
					time.Sleep(100 * time.Millisecond)
					s.put(c, resource.KindRouting, catalog.RoutingName, routing(int64(i+2)))
					if test.firstHeartbeat > 0 && time.Since(began) >= test.firstHeartbeat {
						f.ApplyChanges(nil, 0)
					}
				}
				time.Sleep(10 * time.Millisecond)
				if test.calls > 0 {
					c.Check(source.calls.Load(), qt.Equals, test.calls)
				} else {
					c.Check(routingVersion(cat), qt.Equals, int64(16))
				}
				cancel()
				_ = group.Wait()
			})
		})
	}
}

// TestRequestedCallsAreMadeOncePerKind covers the first start of hundreds of boxes, when the coordinator cannot send all of
// them the whole cell map at once, nor the first configuration. A box makes one call for each kind that it is asked to read
// from the store, and makes no calls for all other kinds.
func TestRequestedCallsAreMadeOncePerKind(t *testing.T) {
	for _, test := range []struct {
		name      string
		callKinds []string
	}{
		{"the cell map", []string{coordinator.MapKind}},
		{"the cell map and the configuration", []string{string(resource.KindRouting), coordinator.MapKind}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newFakeStore()
				s.put(c, resource.KindRouting, catalog.RoutingName, routing(1))
				source := &cuttableSource{fakeStore: s}
				f := follow.New(follow.Config{
					Source: source, Catalog: catalog.New(), Scope: tally.NoopScope, RelayTimeout: 3 * heartbeatInterval, FirstWatchDelay: time.Second, Kinds: []follow.Kind{
						{Name: string(resource.KindRouting), Wait: time.Second, Relayed: true}, {Name: coordinator.MapKind, Wait: time.Second},
					},
				})
				ctx, cancel := context.WithCancel(t.Context())
				var group errgroup.Group
				group.Go(func() error { return f.Serve(ctx) })
				time.Sleep(100 * time.Millisecond)
				before := source.calls.Load()
				var changes []objects.KindChanges
				for _, kind := range test.callKinds {
					changes = append(changes, objects.KindChanges{Kind: kind, MustRefetch: true})
				}
				f.ApplyChanges(changes, 0)
				for range 20 {
					time.Sleep(heartbeatInterval)
					f.ApplyChanges(nil, 0)
				}
				c.Check(source.calls.Load()-before, qt.Equals, int64(len(test.callKinds)))
				cancel()
				_ = group.Wait()
			})
		})
	}
}
