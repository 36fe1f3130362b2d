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

// settleLimit is when every engine has to have an owner after a start or a failure.
const settleLimit = 40 * time.Second

func (cl *cluster) settle() time.Duration {
	return cl.until(settleLimit, func() bool { return cl.owned() == len(cl.engines) })
}

func (cl *cluster) coordinator() *node {
	for _, n := range cl.list() {
		if n.Status().Coordinates {
			return n
		}
	}
	return nil
}

func TestEveryEngineGetsOneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, 7)
		defer cl.end()
		cl.settle()
		cl.run(30 * time.Second)
		for _, n := range cl.list() {
			cl.c.Check(n.ownedCount() <= 3, qt.IsTrue, qt.Commentf("%s", n.name))
		}
		cl.check()
	})
}

func TestPlatformCallsDoNotGrowWithTheBoxes(t *testing.T) {
	const period = 10 * time.Minute
	var smallest float64
	for _, boxes := range []int{3, 7, 30, 100} {
		synctest.Test(t, func(t *testing.T) {
			cl := newCluster(t, boxes, 2*boxes)
			defer cl.end()
			cl.settle()
			time.Sleep(time.Minute)
			before := cl.platform.Counts()
			beats := cl.sentBeats()
			time.Sleep(period)
			after := cl.platform.Counts()
			writes := float64(after.Writes-before.Writes) / period.Seconds()
			reads := float64(after.Reads-before.Reads) / period.Seconds()
			t.Logf("%d boxes: %.3f writes/s, %.3f reads/s, %.2f heartbeats/s", boxes, writes, reads, float64(cl.sentBeats()-beats)/period.Seconds())
			cl.c.Check(writes <= 1.2, qt.IsTrue, qt.Commentf("%f writes/s", writes))
			// One waiting watch every 20 s and the box list every two to three heartbeats.
			cl.c.Check(reads <= 0.5, qt.IsTrue, qt.Commentf("%f reads/s", reads))
			if smallest == 0 {
				smallest = reads + writes
			}
			cl.c.Check(reads+writes <= 1.05*smallest, qt.IsTrue, qt.Commentf("%f calls/s, %f with the fewest boxes", reads+writes, smallest))
		})
	}
}

// TestColdStartWritesLittle starts many boxes at once: all but a few find a coordinator and write nothing.
func TestColdStartWritesLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newSlowCluster(t, 60, 0, 4*time.Millisecond)
		defer cl.end()
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
			i := slices.IndexFunc(cl.list(), func(n *node) bool { return !n.Status().Coordinates })
			return cl.list()[i]
		}, 15 * time.Second},
	} {
		var took []time.Duration
		for seed := range 9 {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 7, 15)
				defer cl.end()
				cl.settle()
				cl.run(20*time.Second + time.Duration(seed)*137*time.Millisecond)
				cl.kill(tt.victim(cl).name)
				took = append(took, cl.until(tt.limit, func() bool { return cl.owned() == len(cl.engines) }))
				cl.check()
			})
		}
		slices.Sort(took)
		t.Logf("%s killed: every engine owned again after median %s, worst %s", tt.name, took[len(took)/2], took[len(took)-1])
	}
}

func TestFrozenCoordinatorIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, 6)
		defer cl.end()
		cl.settle()
		cl.run(20 * time.Second)
		frozen := cl.coordinator()
		frozen.freeze()
		took := cl.until(settleLimit, func() bool {
			c := cl.coordinator()
			return c != nil && c != frozen && cl.owned() == len(cl.engines)
		})
		t.Logf("replaced after %s", took)
		frozen.thaw()
		cl.run(20 * time.Second)
		cl.check()
	})
}

func TestPlatformDownForAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 7, 15)
		defer cl.end()
		cl.settle()
		cl.run(20 * time.Second)
		owners := fmt.Sprint(cl.list()[0].catalog.Topology().ByModel)
		cl.platform.SetFaults(fakeplatform.Faults{Down: true})
		before := cl.platform.Counts()
		cl.run(time.Hour)
		during := cl.platform.Counts()
		cl.c.Check(float64(during.Reads+during.Writes-before.Reads-before.Writes)/3600 < 8, qt.IsTrue)
		for _, n := range cl.list() {
			cl.c.Check(n.Status().Frozen, qt.IsTrue, qt.Commentf("%s", n.name))
		}
		cl.platform.SetFaults(fakeplatform.Faults{})
		took := cl.settle()
		t.Logf("all engines may get orders %s after the outage", took)
		cl.run(20 * time.Second)
		cl.c.Check(fmt.Sprint(cl.list()[0].catalog.Topology().ByModel), qt.Equals, owners)
		epochs := map[string]uint64{}
		for _, a := range cl.history {
			if e, ok := epochs[a.Engine]; ok {
				cl.c.Assert(a.Epoch, qt.Equals, e, qt.Commentf("%s changed hands in the outage", a.Engine))
			}
			epochs[a.Engine] = a.Epoch
		}
		cl.check()
	})
}

// TestFaultsNeverGiveTwoAuthorities kills, freezes and cuts boxes, and takes the platform down, singly and together.
func TestFaultsNeverGiveTwoAuthorities(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			cl := newCluster(t, 5, 8)
			defer cl.end()
			cl.settle()
			for step := range 60 {
				cl.fault(r, step)
				cl.run(time.Duration(r.IntN(12000)) * time.Millisecond)
			}
			for _, n := range cl.list() {
				n.thaw()
				n.cut(false, false)
			}
			cl.platform.SetFaults(fakeplatform.Faults{})
			cl.run(settleLimit)
			cl.c.Check(cl.owned(), qt.Equals, len(cl.engines), qt.Commentf("seed %d", seed))
			cl.check()
		})
	}
}

// fault switches one fault on or off.
func (cl *cluster) fault(r *rand.Rand, step int) {
	n := cl.list()[r.IntN(len(cl.list()))]
	switch r.IntN(9) {
	case 0:
		n.freeze()
	case 1, 2:
		n.thaw()
	case 3:
		n.cut(true, r.IntN(2) == 0)
	case 4:
		n.cut(false, true)
	case 5:
		n.cut(false, false)
	case 6:
		cl.platform.SetFaults(fakeplatform.Faults{Down: r.IntN(2) == 0, LoseAnswers: r.IntN(4), Delay: time.Duration(r.IntN(1000)) * time.Millisecond})
	case 7:
		cl.platform.SetFaults(fakeplatform.Faults{})
	case 8:
		n.thaw()
		cl.kill(n.name)
		cl.start(n.name, 100+step)
	}
}
