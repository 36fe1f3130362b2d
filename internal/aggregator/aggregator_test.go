package aggregator_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bellgap/bellgap/internal/aggregator"
	"github.com/bellgap/bellgap/internal/coordinator"
)

func newCellMap(boxes, zones int) coordinator.Map {
	m := coordinator.Map{Cell: "default", Coordinator: "box-000"}
	for i := range boxes {
		m.Members = append(m.Members, coordinator.Member{Box: fmt.Sprintf("box-%03d", i), Zone: fmt.Sprint("zone-", i%zones)})
	}
	return m
}

// TestChooseBalancesLoad counts, for cells of 6 to 415 boxes, how many boxes report to the coordinator directly and how many boxes the
// most loaded aggregator has. The bounds follow from the square root of the number of boxes, and from the choice of the less loaded of
// two aggregators, which keeps the highest load a few boxes above the mean.
func TestChooseBalancesLoad(t *testing.T) {
	for _, test := range []struct{ boxes, zones, direct, aggregators, maxLoad int }{
		{6, 4, 6, 0, 0},
		{16, 5, 16, 0, 0},
		{30, 5, 1, 5, 6},
		{100, 5, 1, 10, 13},
		{195, 5, 1, 15, 17},
		{300, 5, 1, 15, 21},
		{415, 4, 1, 20, 27},
	} {
		t.Run(fmt.Sprint(test.boxes), func(t *testing.T) {
			c := qt.New(t)
			m := newCellMap(test.boxes, test.zones)
			direct, load := 0, map[string]int{}
			for _, b := range m.Members {
				chosen := aggregator.Choose(m, b.Box, b.Zone)
				if len(chosen) == 0 {
					direct++
					continue
				}
				c.Check(chosen[0].Zone, qt.Equals, b.Zone)
				load[chosen[0].Box]++
			}
			highestLoad := 0
			for _, n := range load {
				highestLoad = max(highestLoad, n)
			}
			c.Check(direct, qt.Equals, test.direct)
			c.Check(len(load), qt.Equals, test.aggregators)
			c.Check(highestLoad <= test.maxLoad, qt.IsTrue, qt.Commentf("the most loaded aggregator has %d boxes", highestLoad))
		})
	}
}

// TestChooseReturnsOnlyEligibleBoxes checks on random cells that no box uses the coordinator or a box that is leaving, silent or in
// another zone as its aggregator, and that an aggregator uses only itself.
func TestChooseReturnsOnlyEligibleBoxes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCellMap(rapid.IntRange(1, 60).Draw(t, "boxes"), rapid.IntRange(1, 5).Draw(t, "zones"))
		for i := range m.Members {
			m.Members[i].Leaving, m.Members[i].Silent = rapid.Bool().Draw(t, "leaving"), rapid.Bool().Draw(t, "silent")
		}
		for _, b := range append(m.Members, coordinator.Member{Box: "new", Zone: "zone-0"}) {
			for _, a := range aggregator.Choose(m, b.Box, b.Zone) {
				if a.Box == m.Coordinator || a.Leaving || a.Silent || a.Zone != b.Zone {
					t.Fatalf("%s uses %+v", b.Box, a)
				}
				if own := aggregator.Choose(m, a.Box, a.Zone); len(own) != 1 || own[0].Box != a.Box {
					t.Fatalf("aggregator %s uses %+v", a.Box, own)
				}
			}
		}
	})
}

// TestCollector checks that a batch is fresh if it is taken on time or a little late, and not fresh if it is taken much too late or
// shortly after the process was suspended.
func TestCollector(t *testing.T) {
	const window, maxDelay = 200 * time.Millisecond, 400 * time.Millisecond
	for _, test := range []struct {
		name string
		// suspendedBefore is the time from the detection of a suspension to the taking of the batch. It is zero without a suspension.
		// takenAfter is the time from the first entry to the taking of the batch.
		suspendedBefore, takenAfter time.Duration
		fresh                       bool
	}{
		{name: "on time", takenAfter: window, fresh: true},
		{name: "a little late", takenAfter: window + 100*time.Millisecond, fresh: true},
		{name: "much too late, after an undetected suspension", takenAfter: 3 * time.Second},
		{name: "right after a suspension", suspendedBefore: window, takenAfter: window},
		{name: "long after a suspension", suspendedBefore: time.Second, takenAfter: window, fresh: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Now()
			collector := aggregator.NewCollector[int](aggregator.CollectorConfig{Window: window, MaxDelay: maxDelay})
			c.Check(collector.Add(now, 1), qt.IsTrue)
			c.Check(collector.Add(now.Add(window/2), 2), qt.IsFalse)
			if test.suspendedBefore > 0 {
				collector.RecordSuspension(now.Add(test.takenAfter - test.suspendedBefore))
			}
			batch, fresh := collector.Take(now.Add(test.takenAfter))
			c.Check(batch, qt.DeepEquals, []int{1, 2})
			c.Check(fresh, qt.Equals, test.fresh)
			c.Check(collector.Add(now.Add(test.takenAfter), 3), qt.IsTrue)
		})
	}
}
