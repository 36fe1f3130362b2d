package member_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/objects"
)

// TestUnansweredWritesDoNotEndACoordinator: while the store is slow, a coordinator's writes take effect and it does not hear of it, nor
// can it read them back in time. It used to take what it then found for another coordinator's, gave up, took its own lease again as if
// it were new and forgot who was silent.
func TestUnansweredWritesDoNotEndACoordinator(t *testing.T) {
	for _, tt := range []struct {
		name string
		// changes says that the map changes meanwhile, so that its writes are unanswered too.
		changes bool
	}{{"the lease's", false}, {"the lease's and the map's", true}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 3, 4)
				defer cl.end()
				cl.settle()
				cl.run(20 * time.Second)
				n := cl.coordinator()
				before, _, _ := n.catalog.Map(cell)
				n.setUnanswered(true)
				if tt.changes {
					cl.declareEngine("engine-new")
				}
				cl.run(2 * time.Second)
				n.setUnanswered(false)
				cl.run(20 * time.Second)
				after, _, _ := n.catalog.Map(cell)
				cl.c.Check(after.Coordinator, qt.Equals, before.Coordinator)
				cl.c.Check(after.Lease, qt.Equals, before.Lease)
				cl.c.Check(after.Generation > before.Generation, qt.Equals, tt.changes)
				cl.c.Check(cl.owned(), qt.Equals, len(cl.engines))
				cl.check()
			})
		})
	}
}

// TestUnansweredMapIsToldAsItIsStored: a map that took effect without an answer is told other boxes as it stands in the store, so that one
// that has read it there is told nothing. Told with another number it was sent to all boxes whole, with each heartbeat.
func TestUnansweredMapIsToldAsItIsStored(t *testing.T) {
	for _, unanswered := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		t.Run(unanswered.String(), func(t *testing.T) {
			for range 6 {
				synctest.Test(t, func(t *testing.T) {
					cl := newTimedCluster(t, 0, 40, 4*time.Millisecond, routedTiming())
					defer cl.end()
					cl.spread = &spread{}
					for i, box := range []string{"box-000", "box-001", "box-002"} {
						cl.start(box, i)
					}
					cl.settle()
					cl.run(20 * time.Second)
					n := cl.coordinator()
					n.setUnanswered(true)
					cl.declareEngine("engine-new")
					cl.run(unanswered)
					n.setUnanswered(false)
					cl.run(20 * time.Second)
					var stored coordinator.Map
					o, err := cl.platform.Get(context.Background(), coordinator.MapKind, cell)
					cl.c.Assert(err, qt.IsNil)
					cl.c.Assert(json.Unmarshal(o.Value, &stored), qt.IsNil)
					r, err := n.HandleBeat(coordinator.Beat{
						Member: coordinator.Member{Box: "box-001", Zone: zone, Incarnation: "x"}, Known: map[string]objects.Position{}, MapGeneration: stored.Generation,
					})
					cl.c.Assert(err, qt.IsNil)
					cl.c.Check(r.Map, qt.IsNil)
				})
			}
		})
	}
}
