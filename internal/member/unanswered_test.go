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

// TestUnansweredWritesKeepCoordinator covers a slow store: a coordinator's writes take effect without an answer, and it cannot read
// them back in time. The coordinator used to mistake its own stored state for that of another coordinator. It then ended its tenure,
// acquired its own lease again as if it were new, and lost the record of which boxes were silent.
func TestUnansweredWritesKeepCoordinator(t *testing.T) {
	for _, tt := range []struct {
		name string
		// mapChanges is set if the map changes meanwhile, so that writes of the map are not answered either.
		mapChanges bool
	}{{"lease writes", false}, {"lease and map writes", true}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 3, 4)
				defer cl.stopAll()
				cl.waitForOwners()
				cl.advance(20 * time.Second)
				n := cl.coordinator()
				before, _, _ := n.catalog.Map(cell)
				n.setDropsAnswers(true)
				if tt.mapChanges {
					cl.declareEngine("engine-new")
				}
				cl.advance(2 * time.Second)
				n.setDropsAnswers(false)
				cl.advance(20 * time.Second)
				after, _, _ := n.catalog.Map(cell)
				cl.c.Check(after.Coordinator, qt.Equals, before.Coordinator)
				cl.c.Check(after.Lease, qt.Equals, before.Lease)
				cl.c.Check(after.Generation > before.Generation, qt.Equals, tt.mapChanges)
				cl.c.Check(cl.countOwned(), qt.Equals, len(cl.engines))
				cl.checkInvariants()
			})
		})
	}
}

// TestUnansweredMapIsSentAsStored checks that the coordinator sends a map whose write was not answered with the generation of the
// stored map. A box that has read the map from the store then receives no map. With a different generation, all boxes received the
// whole map with each heartbeat.
func TestUnansweredMapIsSentAsStored(t *testing.T) {
	for _, dropTime := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		t.Run(dropTime.String(), func(t *testing.T) {
			for range 6 {
				synctest.Test(t, func(t *testing.T) {
					cl := newTimedCluster(t, 0, 40, 4*time.Millisecond, routedTiming())
					defer cl.stopAll()
					cl.spread = &fakeSpread{}
					for i, box := range []string{"box-000", "box-001", "box-002"} {
						cl.startBox(box, i)
					}
					cl.waitForOwners()
					cl.advance(20 * time.Second)
					n := cl.coordinator()
					n.setDropsAnswers(true)
					cl.declareEngine("engine-new")
					cl.advance(dropTime)
					n.setDropsAnswers(false)
					cl.advance(20 * time.Second)
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
