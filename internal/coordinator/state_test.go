package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/coordinator"
)

// TestAssignmentPrefersEngineZone assigns the engines of three zones to boxes in the first two zones.
func TestAssignmentPrefersEngineZone(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := coordinator.New(coordinator.Config{Cell: "c", Term: 4 * time.Second, Started: now.Add(-time.Minute)}, coordinator.Map{})
	zoneOf := map[string]string{}
	sendBeat := func(box string) {
		_ = s.RecordBeat(now, coordinator.Beat{Member: coordinator.Member{Box: box, Zone: zoneOf[box], Incarnation: box}})
	}
	for i, zone := range []string{"a", "a", "b", "b"} {
		box := fmt.Sprintf("box-%d", i)
		zoneOf[box] = zone
		sendBeat(box)
	}
	var engines []coordinator.Engine
	for i := range 12 {
		engines = append(engines, coordinator.Engine{Name: fmt.Sprintf("engine-%02d", i), Zone: []string{"a", "b", "c"}[i%3]})
	}
	s.Tick(now, engines)
	inZone := 0
	for _, o := range s.Map().Owners {
		c.Check(o.Owner, qt.Not(qt.Equals), "", qt.Commentf("%s", o.Engine))
		for _, e := range engines {
			if e.Name == o.Engine && zoneOf[o.Owner] == e.Zone {
				inZone++
			}
		}
	}
	c.Check(inZone >= 6, qt.IsTrue, qt.Commentf("%d of 8 engines have an owner in their zone", inZone))
	// The boxes of zone a become silent, so its engines are assigned to zone b.
	for range 6 {
		now = now.Add(time.Second)
		sendBeat("box-2")
		sendBeat("box-3")
		s.Tick(now, engines)
	}
	for _, o := range s.Map().Owners {
		c.Check(zoneOf[o.Owner], qt.Equals, "b", qt.Commentf("%s", o.Engine))
	}
}

// TestReleaseOfOlderGrantIsIgnored sends the release of an older grant once more after the engine was granted again.
func TestReleaseOfOlderGrantIsIgnored(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := coordinator.New(coordinator.Config{Cell: "c", Term: 4 * time.Second, Started: now.Add(-time.Minute)}, coordinator.Map{})
	engines := []coordinator.Engine{{Name: "engine-1", Zone: "a"}}
	beat := coordinator.Beat{Member: coordinator.Member{Box: "box-1", Zone: "a", Incarnation: "i"}}
	_ = s.RecordBeat(now, beat)
	s.Tick(now, engines)
	granted := s.Map().Owners[0]
	beat.Released = []coordinator.Release{{Engine: "engine-1", Epoch: granted.Epoch}}
	_ = s.RecordBeat(now, beat)
	s.Tick(now, engines)
	regranted := s.Map().Owners[0]
	c.Assert(regranted.Epoch, qt.Equals, granted.Epoch+1)
	_ = s.RecordBeat(now, beat)
	s.Tick(now, engines)
	c.Check(s.Map().Owners[0], qt.Equals, regranted)
}

// TestPreviousOwnerIsClearedAfterDraining checks that an engine that changes its owner keeps the previous owner in the map until that
// box reports that it has no more requests in flight on the engine.
func TestPreviousOwnerIsClearedAfterDraining(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := coordinator.New(coordinator.Config{Cell: "c", Term: 4 * time.Second, Drain: time.Hour, Started: now.Add(-time.Minute)}, coordinator.Map{})
	engines := []coordinator.Engine{{Name: "engine-1", Zone: "a"}}
	oldOwner := coordinator.Beat{Member: coordinator.Member{Box: "box-1", Incarnation: "i"}}
	_ = s.RecordBeat(now, oldOwner)
	s.Tick(now, engines)
	granted := s.Map().Owners[0]
	_ = s.RecordBeat(now, coordinator.Beat{Member: coordinator.Member{Box: "box-2", Incarnation: "j"}})
	oldOwner.Member.Leaving = true
	oldOwner.Owned = []coordinator.Ownership{granted}
	oldOwner.Released = []coordinator.Release{{Engine: "engine-1", Epoch: granted.Epoch}}
	for _, step := range []struct {
		name     string
		owned    []coordinator.Ownership
		draining []string
		previous string
	}{
		{"has released the engine", oldOwner.Owned, nil, "box-1"},
		{"has not received the reply yet", oldOwner.Owned, nil, "box-1"},
		{"has requests in flight", nil, []string{"engine-1"}, "box-1"},
		{"has no more requests in flight", nil, nil, ""},
	} {
		now = now.Add(time.Second)
		oldOwner.Owned, oldOwner.Draining = step.owned, step.draining
		_ = s.RecordBeat(now, oldOwner)
		s.Tick(now, engines)
		c.Check(s.Map().Owners[0].Owner, qt.Equals, "box-2", qt.Commentf(step.name))
		c.Check(s.Map().Owners[0].Previous, qt.Equals, step.previous, qt.Commentf(step.name))
	}
}

// TestReleasedEngineIsNotReturnedToSameProcess checks that a process that releases an engine, because other boxes have joined, does not
// get the engine back during the order gap. After the gap the engine is free for any box. A new process of the box gets it back at
// once.
func TestReleasedEngineIsNotReturnedToSameProcess(t *testing.T) {
	for _, tt := range []struct {
		name string
		// incarnation identifies the process of the box after the release. wait is the time from the release to the check of the owner.
		incarnation string
		wait        time.Duration
		owner       string
	}{
		{"the same process, within the gap", "i", beatInterval, ""},
		{"the same process, after the gap", "i", orderGap + beatInterval, "box-2"},
		{"the next process", "k", beatInterval, "box-1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			sim := newSimulation(coordinator.Config{OrderGap: orderGap, Reclaim: true, SilentAfter: 3 * beatInterval})
			sim.sendBeat("box-1", "i")
			sim.tickAfter(0)
			c.Assert(sim.owner(), qt.Equals, "box-1")
			_ = sim.state.RecordBeat(sim.now, coordinator.Beat{
				Member:   coordinator.Member{Box: "box-1", Zone: "z", Incarnation: "i", Leaving: tt.incarnation != "i"},
				Released: []coordinator.Release{{Engine: engineName, Epoch: sim.epoch()}},
			})
			sim.tickAfter(0)
			c.Assert(sim.owner(), qt.Equals, "")
			for waited := time.Duration(0); waited < tt.wait; waited += beatInterval {
				sim.sendBeat("box-1", tt.incarnation)
				if tt.owner == "box-2" {
					sim.sendBeat("box-2", "j")
				}
				sim.tickAfter(beatInterval)
			}
			if tt.owner == "box-2" {
				// Either box may own the engine now, as it had no owner during the order gap.
				c.Check(sim.owner(), qt.Not(qt.Equals), "")
				return
			}
			c.Check(sim.owner(), qt.Equals, tt.owner)
		})
	}
}
