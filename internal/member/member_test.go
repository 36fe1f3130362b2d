package member_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/fakeplatform"
)

// ownershipTimeout is the time within which every engine must have an owner after a start or a failure.
const ownershipTimeout = 40 * time.Second

func (cl *cluster) waitForOwners() time.Duration {
	return cl.waitUntil(ownershipTimeout, func() bool { return cl.countOwned() == len(cl.engines) })
}

func (cl *cluster) coordinator() *node {
	for _, n := range cl.runningNodes() {
		if n.Status().Coordinates {
			return n
		}
	}
	return nil
}

func TestEveryEngineGetsOneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, 7)
		defer cl.stopAll()
		cl.waitForOwners()
		cl.advance(30 * time.Second)
		for _, n := range cl.runningNodes() {
			cl.c.Check(n.ownedCount() <= 3, qt.IsTrue, qt.Commentf("%s", n.name))
		}
		cl.checkInvariants()
	})
}

func TestPlatformCallRateIsIndependentOfBoxCount(t *testing.T) {
	const period = 10 * time.Minute
	var smallestRate float64
	for _, boxes := range []int{3, 7, 30, 100} {
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, boxes, 2*boxes)
			defer cl.stopAll()
			cl.waitForOwners()
			time.Sleep(time.Minute)
			before := cl.platform.Counts()
			beats := cl.sentMessages()
			time.Sleep(period)
			after := cl.platform.Counts()
			writes := float64(after.Writes-before.Writes) / period.Seconds()
			reads := float64(after.Reads-before.Reads) / period.Seconds()
			t.Logf("%d boxes: %.3f writes/s, %.3f reads/s, %.2f heartbeats/s", boxes, writes, reads, float64(cl.sentMessages()-beats)/period.Seconds())
			cl.c.Check(writes <= 1.2, qt.IsTrue, qt.Commentf("%f writes/s", writes))
			// The reads are one watch every 20 s, which waits for changes, and the box list every two to three heartbeats.
			cl.c.Check(reads <= 0.5, qt.IsTrue, qt.Commentf("%f reads/s", reads))
			if smallestRate == 0 {
				smallestRate = reads + writes
			}
			cl.c.Check(reads+writes <= 1.05*smallestRate, qt.IsTrue, qt.Commentf("%f calls/s, %f with the fewest boxes", reads+writes, smallestRate))
		})
	}
}

// TestColdStartLimitsPlatformWrites starts many boxes at once. All but a few of them find a coordinator and write nothing.
func TestColdStartLimitsPlatformWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newSlowCluster(t, 60, 0, 4*time.Millisecond)
		defer cl.stopAll()
		before := cl.platform.Counts().Writes
		time.Sleep(3 * time.Second)
		cl.c.Check(cl.coordinator(), qt.IsNotNil)
		writes := cl.platform.Counts().Writes - before
		cl.c.Check(writes <= 15, qt.IsTrue, qt.Commentf("%d writes", writes))
	})
}

func TestTakeover(t *testing.T) {
	for _, tt := range []struct {
		name   string
		victim func(*cluster) *node
		limit  time.Duration
	}{
		{"coordinator", (*cluster).coordinator, 30 * time.Second},
		{"member", func(cl *cluster) *node {
			i := slices.IndexFunc(cl.runningNodes(), func(n *node) bool { return !n.Status().Coordinates })
			return cl.runningNodes()[i]
		}, 15 * time.Second},
	} {
		var took []time.Duration
		for seed := range 9 {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 7, 15)
				defer cl.stopAll()
				cl.waitForOwners()
				cl.advance(20*time.Second + time.Duration(seed)*137*time.Millisecond)
				cl.killBox(tt.victim(cl).name)
				took = append(took, cl.waitUntil(tt.limit, func() bool { return cl.countOwned() == len(cl.engines) }))
				cl.checkInvariants()
			})
		}
		slices.Sort(took)
		t.Logf("%s killed: every engine has an owner again after %s (median), %s (worst case)", tt.name, took[len(took)/2], took[len(took)-1])
	}
}

func TestSuspendedCoordinatorIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, 6)
		defer cl.stopAll()
		cl.waitForOwners()
		cl.advance(20 * time.Second)
		suspended := cl.coordinator()
		suspended.suspend()
		took := cl.waitUntil(ownershipTimeout, func() bool {
			c := cl.coordinator()
			return c != nil && c != suspended && cl.countOwned() == len(cl.engines)
		})
		t.Logf("suspended coordinator replaced after %s", took)
		suspended.resume()
		cl.advance(20 * time.Second)
		cl.checkInvariants()
	})
}

func TestOwnersSurviveHourLongPlatformOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 7, 15)
		defer cl.stopAll()
		cl.waitForOwners()
		cl.advance(20 * time.Second)
		owners := fmt.Sprint(cl.runningNodes()[0].catalog.Topology().ByModel)
		cl.platform.SetFaults(fakeplatform.Faults{Down: true})
		before := cl.platform.Counts()
		cl.advance(time.Hour)
		during := cl.platform.Counts()
		cl.c.Check(float64(during.Reads+during.Writes-before.Reads-before.Writes)/3600 < 8, qt.IsTrue)
		for _, n := range cl.runningNodes() {
			cl.c.Check(n.Status().Frozen, qt.IsTrue, qt.Commentf("%s", n.name))
		}
		cl.platform.SetFaults(fakeplatform.Faults{})
		took := cl.waitForOwners()
		t.Logf("all engines may receive orders %s after the outage", took)
		cl.advance(20 * time.Second)
		cl.c.Check(fmt.Sprint(cl.runningNodes()[0].catalog.Topology().ByModel), qt.Equals, owners)
		epochs := map[string]uint64{}
		for _, a := range cl.history {
			if e, ok := epochs[a.Engine]; ok {
				cl.c.Assert(a.Epoch, qt.Equals, e, qt.Commentf("%s changed its owner during the outage", a.Engine))
			}
			epochs[a.Engine] = a.Epoch
		}
		cl.checkInvariants()
	})
}

// TestFaultsNeverCreateTwoAuthorities kills, suspends and disconnects boxes and takes the platform down, separately and in combination.
func TestFaultsNeverCreateTwoAuthorities(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			cl := newCluster(t, 5, 8)
			defer cl.stopAll()
			cl.waitForOwners()
			for step := range 60 {
				cl.injectFault(r, step)
				cl.advance(time.Duration(r.IntN(12000)) * time.Millisecond)
			}
			for _, n := range cl.runningNodes() {
				n.resume()
				n.setDisconnected(false, false)
			}
			cl.platform.SetFaults(fakeplatform.Faults{})
			cl.advance(ownershipTimeout)
			cl.c.Check(cl.countOwned(), qt.Equals, len(cl.engines), qt.Commentf("seed %d", seed))
			cl.checkInvariants()
		})
	}
}

// injectFault switches one random fault on or off.
func (cl *cluster) injectFault(r *rand.Rand, step int) {
	n := cl.runningNodes()[r.IntN(len(cl.runningNodes()))]
	switch r.IntN(9) {
	case 0:
		n.suspend()
	case 1, 2:
		n.resume()
	case 3:
		n.setDisconnected(true, r.IntN(2) == 0)
	case 4:
		n.setDisconnected(false, true)
	case 5:
		n.setDisconnected(false, false)
	case 6:
		cl.platform.SetFaults(fakeplatform.Faults{Down: r.IntN(2) == 0, DropResponses: r.IntN(4), Delay: time.Duration(r.IntN(1000)) * time.Millisecond})
	case 7:
		cl.platform.SetFaults(fakeplatform.Faults{})
	case 8:
		n.resume()
		cl.killBox(n.name)
		cl.startBox(n.name, 100+step)
	}
}
