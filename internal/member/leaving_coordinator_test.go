package member_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/fakeplatform"
)

// TestLeavingCoordinatorContinuesAfterStoreRestore guards against a cell without a coordinator after the store was restored. A box is
// lost just before the store goes down, so that the coordinator cannot store its silence. The coordinator starts to leave, and the store
// comes back from an older copy that names it as the holder of the lease. It used to leave that lease to expire, although it was
// still running, so that the directories named the lost box for a whole takeover longer.
func TestLeavingCoordinatorContinuesAfterStoreRestore(t *testing.T) {
	// maxHidingTime adds up:
	//   - 0.4 s until the coordinator's next round finds the restore and acquires the lease,
	//   - 0.8 s in which boxes report the engines that they own,
	//   - 0.4 s until the next round, which writes the map,
	//   - 0.1 s for calls and for the interval between two observations.
	const maxHidingTime = 1700 * time.Millisecond
	for _, outage := range []time.Duration{time.Second, 3 * time.Second, 5500 * time.Millisecond} {
		t.Run(outage.String(), func(t *testing.T) {
			c := qt.New(t)
			for seed := range 8 {
				synctest.Test(t, func(t *testing.T) {
					cl := newCalmCluster(t, 4*time.Millisecond, seed)
					defer cl.stopAll()
					holder := cl.coordinator()
					backup := cl.platform.Snapshot()
					cl.advance(time.Second)
					lost := cl.otherNode(holder)
					lost.suspend()
					cl.platform.SetFaults(fakeplatform.Faults{Down: true})
					time.Sleep(outage - 900*time.Millisecond)
					holder.Leave()
					time.Sleep(900 * time.Millisecond)
					cl.platform.SetFaults(fakeplatform.Faults{})
					cl.platform.RestoreInNewEra(backup)
					restoredAt := time.Now()
					for cl.storedMapShows(lost.name) && time.Since(restoredAt) < 10*time.Second {
						time.Sleep(10 * time.Millisecond)
					}
					took := time.Since(restoredAt)
					c.Check(took <= maxHidingTime, qt.IsTrue, qt.Commentf("seed %d: the map shows the lost box for %s after the restore", seed, took))
				})
			}
		})
	}
}

// TestLeavingBoxDoesNotReplaceLaterCoordinator restores the store from a copy that names a leaving box as the coordinator, although another
// box has coordinated since. It guards against two boxes with authority over an engine: one box is disconnected from the store and knows
// only the later coordinator. It cannot report its engines to the leaving box, which would give them back to their former owner.
func TestLeavingBoxDoesNotReplaceLaterCoordinator(t *testing.T) {
	for seed := range 8 {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newTimedCluster(t, 3, 12, 4*time.Millisecond, routedTiming())
				defer cl.stopAll()
				cl.waitForOwners()
				cl.advance(20*time.Second + time.Duration(seed)*137*time.Millisecond)
				former := cl.coordinator()
				backup := cl.platform.Snapshot()
				later := cl.otherNode(former)
				cl.killBox(later.name)
				cl.advance(16 * time.Second)
				port := netip.MustParseAddrPort(later.address).Port()
				cl.startBox(later.name, int(port)-firstPort)
				later = cl.nodes[later.name]
				for _, n := range cl.runningNodes() {
					n.setDisconnected(n != later, false)
				}
				cl.waitUntil(10*time.Second, func() bool { return cl.storedLeaseHolder() == later.name })
				for _, n := range cl.runningNodes() {
					n.setDisconnected(false, false)
				}
				cl.advance(3 * time.Second)
				for _, n := range cl.runningNodes() {
					n.setDisconnected(n != later && n != former, false)
				}
				former.Leave()
				cl.platform.RestoreInNewEra(backup)
				cl.advance(25 * time.Second)
				cl.checkInvariants()
			})
		})
	}
}

// storedMapShows reports whether the stored cell map shows a box to callers.
func (cl *cluster) storedMapShows(box string) bool {
	var m coordinator.Map
	o, err := cl.platform.Get(context.Background(), coordinator.MapKind, cell)
	cl.c.Assert(err, qt.IsNil)
	cl.c.Assert(json.Unmarshal(o.Value, &m), qt.IsNil)
	return slices.ContainsFunc(m.Members, func(b coordinator.Member) bool { return b.Box == box && !b.Silent })
}
