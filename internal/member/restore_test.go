package member_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/fakeplatform"
	"github.com/bellgap/bellgap/internal/invariant"
)

// TestAuthorityAfterStoreRestore restores the store from a copy that lacks the last takeovers. It guards against two boxes with
// authority over the same engine, and against epochs that are assigned twice.
func TestAuthorityAfterStoreRestore(t *testing.T) {
	for snapshotAge := 500 * time.Millisecond; snapshotAge <= 14*time.Second; snapshotAge += 900 * time.Millisecond {
		for _, nextFaultDelay := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second, 9 * time.Second} {
			t.Run(fmt.Sprint(snapshotAge, "-then-", nextFaultDelay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cl := newTimedCluster(t, 5, 12, 0, routedTiming())
					defer cl.stopAll()
					cl.waitUntil(30*time.Second, func() bool { return cl.countOwned() == len(cl.engines) })
					cl.advance(8 * time.Second)
					backup := cl.platform.Snapshot()
					cl.killBox("box-000")
					cl.startBox("box-005", 5)
					cl.advance(snapshotAge)
					cl.killBox("box-001")
					cl.platform.RestoreInNewEra(backup)
					cl.advance(nextFaultDelay)
					cl.killBox("box-002")
					cl.startBox("box-006", 6)
					cl.waitUntil(40*time.Second, func() bool { return cl.countOwned() == len(cl.engines) })
					cl.advance(10 * time.Second)
					cl.c.Check(cl.countOwned(), qt.Equals, len(cl.engines))
					cl.checkInvariants()
				})
			})
		}
	}
}

// TestAuthorityAfterRestoreToBeforeFirstMap restores the store to a copy without a cell map while only a box that has just started reaches it. It
// guards against a coordinator that takes the cell for a new one, and gives engines away that other boxes still own.
func TestAuthorityAfterRestoreToBeforeFirstMap(t *testing.T) {
	for _, cutTime := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, time.Second, 3 * time.Second} {
		t.Run(fmt.Sprint(cutTime), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newTimedCluster(t, 5, 12, 0, routedTiming())
				defer cl.stopAll()
				backup := cl.platform.Snapshot()
				cl.platform.RestoreInNewEra(backup)
				cl.waitUntil(30*time.Second, func() bool { return cl.countOwned() == len(cl.engines) })
				cl.advance(8 * time.Second)
				owners := cl.runningNodes()
				for _, n := range owners {
					n.setDisconnected(true, false)
				}
				cl.platform.RestoreInNewEra(backup)
				cl.startBox("box-006", 6)
				cl.advance(cutTime)
				for _, n := range owners {
					n.setDisconnected(false, false)
				}
				cl.waitUntil(40*time.Second, func() bool { return cl.countOwned() == len(cl.engines) })
				cl.advance(10 * time.Second)
				cl.checkInvariants()
				cl.checkOrderGaps()
			})
		})
	}
}

// TestAuthorityAfterLeavingCoordinatorContinues restores the store while its coordinator is leaving, and ends that coordinator's process
// soon after it has acquired the lease again. It guards against a successor that gives an engine to a box before the authority of the
// former owner, which is lost or disconnected, has ended for the order gap.
func TestAuthorityAfterLeavingCoordinatorContinues(t *testing.T) {
	for _, stopDelay := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond, 1300 * time.Millisecond, 3 * time.Second} {
		for seed := range 8 {
			t.Run(fmt.Sprint(stopDelay, "-seed-", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cl := newCalmCluster(t, 4*time.Millisecond, seed)
					defer cl.stopAll()
					holder := cl.coordinator()
					lost := cl.otherNode(holder)
					backup := cl.platform.Snapshot()
					cl.advance(time.Second)
					cl.startBox("box-006", 6)
					cl.advance(6 * time.Second)
					cl.platform.SetFaults(fakeplatform.Faults{Down: true})
					holder.Leave()
					cl.advance(900 * time.Millisecond)
					cl.platform.SetFaults(fakeplatform.Faults{})
					cl.platform.RestoreInNewEra(backup)
					lost.setDisconnected(true, true)
					cl.advance(stopDelay)
					holder.stop()
					cl.advance(25 * time.Second)
					cl.checkInvariants()
					cl.checkOrderGaps()
				})
			})
		}
	}
}

// checkOrderGaps checks that the authority of each former owner of an engine had ended for OrderGap before that of the next one began.
func (cl *cluster) checkOrderGaps() {
	last := map[string]invariant.Authority{}
	for _, a := range cl.history {
		b, ok := last[a.Engine]
		if gap := a.At.Sub(b.At); ok && a.Box != b.Box && gap < cl.timing.OrderGap {
			cl.c.Errorf("%s had authority over %s %v after %s", a.Box, a.Engine, gap, b.Box)
		}
		last[a.Engine] = a
	}
}

// TestLargeCellAfterStoreRestore restores the store from an older copy, without any other fault. It guards against boxes behind
// aggregators that lose their engines or are hidden from callers.
func TestLargeCellAfterStoreRestore(t *testing.T) {
	for _, snapshotAge := range []time.Duration{300 * time.Millisecond, 1700 * time.Millisecond, 4 * time.Second} {
		t.Run(snapshotAge.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newTimedCluster(t, 30, 60, 4*time.Millisecond, routedTiming())
				defer cl.stopAll()
				cl.waitUntil(40*time.Second, func() bool { return cl.countOwned() == len(cl.engines) })
				cl.advance(12 * time.Second)
				owners := cl.ownerByEngine()
				backup := cl.platform.Snapshot()
				cl.advance(snapshotAge)
				cl.platform.RestoreInNewEra(backup)
				for range 120 {
					cl.advance(100 * time.Millisecond)
					cl.c.Check(cl.countOwned(), qt.Equals, len(cl.engines))
				}
				cl.c.Check(cl.ownerByEngine(), qt.DeepEquals, owners)
				_, hidden := cl.observeMaps(nil, 2*time.Second)
				cl.c.Check(hidden, qt.Equals, 0)
				cl.checkInvariants()
			})
		})
	}
}

// ownerByEngine returns, for each engine, the box that may give it orders.
func (cl *cluster) ownerByEngine() map[string]string {
	now, all := time.Now(), map[string]string{}
	for _, e := range cl.engines {
		for _, n := range cl.runningNodes() {
			if _, ok := n.Authority(e, now); ok {
				all[e] = n.name
			}
		}
	}
	return all
}
