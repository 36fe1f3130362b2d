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

// TestFirstWatchesWaitForHeartbeats: the pattern is a box that starts while the configuration changes ten times a second. Where heartbeats
// begin in time it makes one call for each kind, its list; where none come it follows the store itself from then on.
func TestFirstWatchesWaitForHeartbeats(t *testing.T) {
	const hold = 800 * time.Millisecond
	for _, test := range []struct {
		name string
		// heartbeat is when the first one comes, zero for none.
		heartbeat time.Duration
		calls     int64
	}{
		{name: "a heartbeat in time", heartbeat: 500 * time.Millisecond, calls: 2},
		{name: "none"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newStore()
				s.put(c, resource.KindRouting, catalog.RoutingName, routing(1))
				s.put(c, resource.KindEndpoint, "e0", endpoint(1))
				source, cat := &counted{store: s}, catalog.New()
				f := follow.New(follow.Config{
					Source: source, Catalog: cat, Scope: tally.NoopScope, RelayFor: 3 * beatEvery, FirstWatch: hold, Kinds: []follow.Kind{
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
					if test.heartbeat > 0 && time.Since(began) >= test.heartbeat {
						f.Take(nil, 0)
					}
				}
				time.Sleep(10 * time.Millisecond)
				if test.calls > 0 {
					c.Check(source.calls.Load(), qt.Equals, test.calls)
				} else {
					c.Check(version(cat), qt.Equals, int64(16))
				}
				cancel()
				_ = group.Wait()
			})
		})
	}
}

// TestAskedKindsCostOneCallEach: the pattern is the first start of hundreds of boxes, whose coordinator cannot tell all of them the whole cell
// map at once, nor the first configuration. A box makes one call for each kind that it is to ask for, and goes on without calls for all else.
func TestAskedKindsCostOneCallEach(t *testing.T) {
	for _, test := range []struct {
		name  string
		asked []string
	}{
		{"the map", []string{coordinator.MapKind}},
		{"the map and the configuration", []string{string(resource.KindRouting), coordinator.MapKind}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newStore()
				s.put(c, resource.KindRouting, catalog.RoutingName, routing(1))
				source := &counted{store: s}
				f := follow.New(follow.Config{
					Source: source, Catalog: catalog.New(), Scope: tally.NoopScope, RelayFor: 3 * beatEvery, FirstWatch: time.Second, Kinds: []follow.Kind{
						{Name: string(resource.KindRouting), Wait: time.Second, Relayed: true}, {Name: coordinator.MapKind, Wait: time.Second},
					},
				})
				ctx, cancel := context.WithCancel(t.Context())
				var group errgroup.Group
				group.Go(func() error { return f.Serve(ctx) })
				time.Sleep(100 * time.Millisecond)
				before := source.calls.Load()
				var changes []objects.KindChanges
				for _, kind := range test.asked {
					changes = append(changes, objects.KindChanges{Kind: kind, Ask: true})
				}
				f.Take(changes, 0)
				for range 20 {
					time.Sleep(beatEvery)
					f.Take(nil, 0)
				}
				c.Check(source.calls.Load()-before, qt.Equals, int64(len(test.asked)))
				cancel()
				_ = group.Wait()
			})
		})
	}
}
