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

// newLargeCluster returns a cell of hundreds of boxes in four availability zones, with an engine for every three of them.
func newLargeCluster(t *testing.T, boxes int) *cluster {
	cl := newTimedCluster(t, 0, boxes/3, 4*time.Millisecond, routedTiming())
	cl.zones = []string{"hall-a", "hall-b", "hall-c", "hall-d"}
	cl.spread = &spread{}
	for i := range boxes {
		cl.start(fmt.Sprintf("box-%03d", i), i)
	}
	return cl
}

// aggregators returns those that the boxes use, with the boxes that use them.
func (cl *cluster) aggregators() map[string][]string {
	used := map[string][]string{}
	for _, n := range cl.list() {
		m, _, _ := n.catalog.Map(cell)
		if all := aggregator.Choose(m, n.name, n.zone); len(all) > 0 {
			used[all[0].Box] = append(used[all[0].Box], n.name)
		}
	}
	return used
}

// heard returns how many messages the busiest box got in a second, over some time.
func (cl *cluster) heard(over time.Duration) float64 {
	before := map[string]int{}
	for _, n := range cl.list() {
		before[n.name] = cl.receivedBy(n)
	}
	time.Sleep(over)
	most := 0
	for _, n := range cl.list() {
		most = max(most, cl.receivedBy(n)-before[n.name])
	}
	return float64(most) / over.Seconds()
}

func (cl *cluster) receivedBy(n *node) int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return n.received
}

// TestBusiestBoxHearsABoundedNumber: the pattern is a calm cell, from 30 to 400 boxes. All-to-one heartbeats are 1,000 messages a second at
// 400 boxes; the grounds for the bound are 2.5 heartbeats a second of at most twice the square root of the boxes, as a hash shares them out.
func TestBusiestBoxHearsABoundedNumber(t *testing.T) {
	const growth = 0.5
	var least float64
	for _, boxes := range []int{30, 100, 400} {
		synctest.Test(t, func(t *testing.T) {
			cl := newLargeCluster(t, boxes)
			defer cl.end()
			time.Sleep(10 * time.Second)
			rate := cl.heard(10 * time.Second)
			t.Logf("%d boxes: the busiest hears %.1f messages a second, fan-in %d", boxes, rate, aggregator.FanIn(boxes))
			if least == 0 {
				least = rate
			}
			cl.c.Check(rate < 2*2.5*float64(aggregator.FanIn(boxes))+5, qt.IsTrue)
			cl.c.Check(rate <= least*math.Pow(float64(boxes)/30, growth), qt.IsTrue)
			cl.c.Check(cl.owned(), qt.Equals, boxes/3)
		})
	}
}

// newestMap returns the map that is stored.
func (cl *cluster) newestMap() coordinator.Map {
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

// hiddenDuring counts the boxes that are there and that the newest map has shown as silent or not at all at some time.
func (cl *cluster) hiddenDuring(d time.Duration, lost []string) int {
	hidden := map[string]bool{}
	for began := time.Now(); time.Since(began) < d; {
		cl.run(100 * time.Millisecond)
		m := cl.newestMap()
		shown := map[string]bool{}
		for _, b := range m.Members {
			shown[b.Box] = !b.Silent
		}
		for _, n := range cl.list() {
			if !shown[n.name] && !slices.Contains(lost, n.name) {
				hidden[n.name] = true
			}
		}
	}
	return len(hidden)
}

// TestLostAggregators: the pattern is a cell of 120 boxes that loses aggregators in each of the ways that boxes are lost. Nobody else may be
// hidden from callers for it, every engine that the lost boxes did not own keeps its owner, and no two boxes ever have authority over one.
func TestLostAggregators(t *testing.T) {
	for _, test := range []struct {
		name string
		lose func(cl *cluster, n *node)
	}{
		{"killed", func(cl *cluster, n *node) { cl.kill(n.name) }},
		{"frozen", func(_ *cluster, n *node) { n.freeze() }},
		{"cut off from boxes", func(_ *cluster, n *node) { n.cut(false, true) }},
		{"cut off from the store", func(_ *cluster, n *node) { n.cut(true, false) }},
	} {
		for _, count := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d", test.name, count), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cl := newLargeCluster(t, 120)
					defer cl.end()
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
					cl.c.Check(cl.hiddenDuring(6*time.Second, lost), qt.Equals, 0)
					for _, n := range cl.list() {
						n.thaw()
						n.cut(false, false)
					}
					cl.until(20*time.Second, func() bool { return cl.owned() == len(cl.engines) })
					cl.check()
				})
			})
		}
	}
}

// TestLargeLosses: the patterns are losses at once of a tenth, a fifth and half of 120 boxes, of a zone, and of the coordinator with all
// aggregators. Every engine has one owner again within a term and the gap between two owners' orders, and one at a time.
func TestLargeLosses(t *testing.T) {
	for _, test := range []struct {
		name string
		lost func(cl *cluster, n *node, i int) bool
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
				defer cl.end()
				time.Sleep(15 * time.Second)
				var lost []string
				for i, n := range cl.list() {
					if test.lost(cl, n, i) {
						lost = append(lost, n.name)
					}
				}
				for _, name := range lost {
					cl.kill(name)
				}
				took := cl.until(20*time.Second, func() bool { return cl.owned() == len(cl.engines) })
				t.Logf("%d boxes lost: all engines owned after %s", len(lost), took)
				cl.check()
			})
		})
	}
}

// TestThawedAggregatorRevivesNobody: the pattern is a box that loses power while its aggregator stands still with heartbeats of it. What the
// aggregator reads when it goes on is seconds old and must not make the coordinator take the box for alive.
func TestThawedAggregatorRevivesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newLargeCluster(t, 120)
		defer cl.end()
		time.Sleep(15 * time.Second)
		var via, lost string
		for name, boxes := range cl.aggregators() {
			for _, box := range boxes {
				if box != name && name != cl.coordinator().name {
					via, lost = name, box
				}
			}
		}
		stale := cl.nodeNamed(lost)
		last := stale.lastBeat()
		cl.nodeNamed(via).freeze()
		cl.kill(lost)
		time.Sleep(4 * time.Second)
		aggregating := cl.nodeNamed(via)
		aggregating.thaw()
		// It may read this after it has found out that it stood still, or before.
		last.PassOn, last.Sequence = true, last.Sequence+1
		cl.group.Go(func() error {
			_, err := aggregating.Receive(cl.c.Context(), last)
			cl.c.Check(err, qt.IsNotNil)
			return nil
		})
		for range 30 {
			cl.run(100 * time.Millisecond)
			for _, b := range cl.newestMap().Members {
				cl.c.Check(b.Box == lost && !b.Silent, qt.IsFalse, qt.Commentf("%s is shown", lost))
			}
		}
	})
}

// TestLastHeartbeatWaitsForNobody: the pattern is a planned stop in a large cell. A box that ends has half a second to give its engines up; its
// last heartbeat goes straight to the coordinator.
func TestLastHeartbeatWaitsForNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newLargeCluster(t, 120)
		defer cl.end()
		time.Sleep(15 * time.Second)
		var leaver *node
		for _, n := range cl.list() {
			if n.ownedCount() > 0 && n.name != cl.coordinator().name {
				leaver = n
			}
		}
		leaver.Leave()
		time.Sleep(2 * time.Second)
		cl.c.Check(leaver.lastBeat().PassOn, qt.IsTrue)
		cl.kill(leaver.name)
		time.Sleep(100 * time.Millisecond)
		last := leaver.lastBeat()
		cl.c.Check(last.PassOn, qt.IsFalse)
		cl.c.Check(last.Released, qt.Not(qt.HasLen), 0)
		cl.until(10*time.Second, func() bool { return cl.owned() == len(cl.engines) })
		cl.check()
	})
}
