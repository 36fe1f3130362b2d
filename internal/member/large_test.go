package member_test

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/aggregator"
	"github.com/bellgap/bellgap/internal/coordinator"
)

// newLargeCluster returns a cell of many boxes in four availability zones, with one engine for every three boxes.
func newLargeCluster(t *testing.T, boxes int) *cluster {
	cl := newTimedCluster(t, 0, boxes/3, 4*time.Millisecond, routedTiming())
	cl.zones = []string{"hall-a", "hall-b", "hall-c", "hall-d"}
	cl.spread = &fakeSpread{}
	for i := range boxes {
		cl.startBox(fmt.Sprintf("box-%03d", i), i)
	}
	return cl
}

// aggregators returns the names of the aggregators in use, each with the boxes that use it.
func (cl *cluster) aggregators() map[string][]string {
	used := map[string][]string{}
	for _, n := range cl.runningNodes() {
		m, _, _ := n.catalog.Map(cell)
		if all := aggregator.Choose(m, n.name, n.zone); len(all) > 0 {
			used[all[0].Box] = append(used[all[0].Box], n.name)
		}
	}
	return used
}

// busiestRate returns the messages per second that the busiest box receives, measured over a period.
func (cl *cluster) busiestRate(period time.Duration) float64 {
	before := map[string]int{}
	for _, n := range cl.runningNodes() {
		before[n.name] = cl.receivedBy(n)
	}
	time.Sleep(period)
	maxReceived := 0
	for _, n := range cl.runningNodes() {
		maxReceived = max(maxReceived, cl.receivedBy(n)-before[n.name])
	}
	return float64(maxReceived) / period.Seconds()
}

func (cl *cluster) receivedBy(n *node) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return n.received
}

// TestBusiestBoxMessageRateIsBounded checks the load of the busiest box in a cell without faults, from 30 to 400 boxes. If all boxes
// sent their heartbeats to one box, it would receive 1,000 messages per second at 400 boxes. The bound follows from 2.5 heartbeats
// per second from at most twice as many boxes as the square root of the cell's size, because the hash does not distribute boxes
// evenly.
func TestBusiestBoxMessageRateIsBounded(t *testing.T) {
	const growthExponent = 0.5
	var smallestRate float64
	for _, boxes := range []int{30, 100, 400} {
		synctest.Test(t, func(t *testing.T) {
			cl := newLargeCluster(t, boxes)
			defer cl.stopAll()
			time.Sleep(10 * time.Second)
			rate := cl.busiestRate(10 * time.Second)
			t.Logf("%d boxes: the busiest box receives %.1f messages per second, fan-in %d", boxes, rate, aggregator.FanIn(boxes))
			if smallestRate == 0 {
				smallestRate = rate
			}
			cl.c.Check(rate < 2*2.5*float64(aggregator.FanIn(boxes))+5, qt.IsTrue)
			cl.c.Check(rate <= smallestRate*math.Pow(float64(boxes)/30, growthExponent), qt.IsTrue)
			cl.c.Check(cl.countOwned(), qt.Equals, boxes/3)
		})
	}
}

// storedMap returns the cell map in the store.
func (cl *cluster) storedMap() coordinator.Map {
	o, err := cl.platform.Get(cl.c.Context(), coordinator.MapKind, cell)
	cl.c.Assert(err, qt.IsNil)
	var m coordinator.Map
	cl.c.Assert(json.Unmarshal(o.Value, &m), qt.IsNil)
	return m
}

func (cl *cluster) nodeNamed(name string) *node {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.nodes[name]
}

// countHidden counts the running boxes that the stored map shows as silent or lacks at any time during d, other than those in lost.
func (cl *cluster) countHidden(d time.Duration, lost []string) int {
	hidden := map[string]bool{}
	for start := time.Now(); time.Since(start) < d; {
		cl.advance(100 * time.Millisecond)
		m := cl.storedMap()
		shown := map[string]bool{}
		for _, b := range m.Members {
			shown[b.Box] = !b.Silent
		}
		for _, n := range cl.runningNodes() {
			if !shown[n.name] && !slices.Contains(lost, n.name) {
				hidden[n.name] = true
			}
		}
	}
	return len(hidden)
}

// TestLostAggregators checks the loss of aggregators of a cell with 120 boxes, in each of the ways in which boxes are lost. No other
// box may be hidden from callers, engines of other boxes keep their owners, and no two boxes ever have authority over the same
// engine.
func TestLostAggregators(t *testing.T) {
	for _, test := range []struct {
		name string
		lose func(cl *cluster, n *node)
	}{
		{"killed", func(cl *cluster, n *node) { cl.killBox(n.name) }},
		{"frozen", func(_ *cluster, n *node) { n.suspend() }},
		{"disconnected from boxes", func(_ *cluster, n *node) { n.setDisconnected(false, true) }},
		{"disconnected from the store", func(_ *cluster, n *node) { n.setDisconnected(true, false) }},
	} {
		for _, count := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d", test.name, count), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cl := newLargeCluster(t, 120)
					defer cl.stopAll()
					time.Sleep(15 * time.Second)
					var lost []string
					for name := range cl.aggregators() {
						if len(lost) < count && name != cl.coordinator().name {
							lost = append(lost, name)
						}
					}
					cl.c.Assert(lost, qt.HasLen, count)
					for _, name := range lost {
						test.lose(cl, cl.nodeNamed(name))
					}
					cl.c.Check(cl.countHidden(6*time.Second, lost), qt.Equals, 0)
					for _, n := range cl.runningNodes() {
						n.resume()
						n.setDisconnected(false, false)
					}
					cl.waitUntil(20*time.Second, func() bool { return cl.countOwned() == len(cl.engines) })
					cl.checkInvariants()
				})
			})
		}
	}
}

// TestLossOfManyBoxes checks the simultaneous loss of a tenth, a fifth and half of 120 boxes, of a zone, and of the coordinator with
// all aggregators. Every engine has an owner again within a term and the order gap between two owners, and never more than one owner.
func TestLossOfManyBoxes(t *testing.T) {
	for _, test := range []struct {
		name   string
		isLost func(cl *cluster, n *node, i int) bool
	}{
		{"a tenth", func(_ *cluster, _ *node, i int) bool { return i%10 == 0 }},
		{"a fifth", func(_ *cluster, _ *node, i int) bool { return i%5 == 0 }},
		{"half", func(_ *cluster, _ *node, i int) bool { return i%2 == 0 }},
		{"a zone", func(_ *cluster, n *node, _ int) bool { return n.zone == "hall-b" }},
		{"the coordinator and all aggregators", func(cl *cluster, n *node, _ int) bool {
			return n.name == cl.coordinator().name || cl.aggregators()[n.name] != nil
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newLargeCluster(t, 120)
				defer cl.stopAll()
				time.Sleep(15 * time.Second)
				var lost []string
				for i, n := range cl.runningNodes() {
					if test.isLost(cl, n, i) {
						lost = append(lost, n.name)
					}
				}
				for _, name := range lost {
					cl.killBox(name)
				}
				took := cl.waitUntil(20*time.Second, func() bool { return cl.countOwned() == len(cl.engines) })
				t.Logf("%d boxes lost: all engines owned after %s", len(lost), took)
				cl.checkInvariants()
			})
		})
	}
}

// TestResumedAggregatorForwardsNoStaleHeartbeats covers a box that loses power while its aggregator is suspended and holds heartbeats
// of that box. What the resumed aggregator reads is seconds old. It must not make the coordinator count the lost box as present.
func TestResumedAggregatorForwardsNoStaleHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newLargeCluster(t, 120)
		defer cl.stopAll()
		time.Sleep(15 * time.Second)
		var aggregatorName, lost string
		for name, boxes := range cl.aggregators() {
			for _, box := range boxes {
				if box != name && name != cl.coordinator().name {
					aggregatorName, lost = name, box
				}
			}
		}
		lostNode := cl.nodeNamed(lost)
		last := lostNode.lastBeat()
		cl.nodeNamed(aggregatorName).suspend()
		cl.killBox(lost)
		time.Sleep(4 * time.Second)
		resumedNode := cl.nodeNamed(aggregatorName)
		resumedNode.resume()
		// The aggregator may read this heartbeat before or after it has detected its own suspension.
		last.PassOn, last.Sequence = true, last.Sequence+1
		cl.group.Go(func() error {
			_, err := resumedNode.Receive(cl.c.Context(), last)
			cl.c.Check(err, qt.IsNotNil)
			return nil
		})
		for range 30 {
			cl.advance(100 * time.Millisecond)
			for _, b := range cl.storedMap().Members {
				cl.c.Check(b.Box == lost && !b.Silent, qt.IsFalse, qt.Commentf("map shows the lost box %s", lost))
			}
		}
	})
}

// TestFinalHeartbeatBypassesAggregator covers a planned stop in a large cell. A stopping box has half a second to release its
// engines, so it sends its last heartbeat directly to the coordinator.
func TestFinalHeartbeatBypassesAggregator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newLargeCluster(t, 120)
		defer cl.stopAll()
		time.Sleep(15 * time.Second)
		var leavingNode *node
		for _, n := range cl.runningNodes() {
			if n.ownedCount() > 0 && n.name != cl.coordinator().name {
				leavingNode = n
			}
		}
		leavingNode.Leave()
		time.Sleep(2 * time.Second)
		cl.c.Check(leavingNode.lastBeat().PassOn, qt.IsTrue)
		cl.killBox(leavingNode.name)
		time.Sleep(100 * time.Millisecond)
		last := leavingNode.lastBeat()
		cl.c.Check(last.PassOn, qt.IsFalse)
		cl.c.Check(last.Released, qt.Not(qt.HasLen), 0)
		cl.waitUntil(10*time.Second, func() bool { return cl.countOwned() == len(cl.engines) })
		cl.checkInvariants()
	})
}
