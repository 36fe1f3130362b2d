package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/coordinator"
)

// TestZones assigns engines of three zones, the last of which has no box.
func TestZones(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := coordinator.New(coordinator.Config{Cell: "c", Term: 4 * time.Second, Started: now.Add(-time.Minute)}, coordinator.Map{})
	zoneOf := map[string]string{}
	beat := func(box string) {
		_ = s.Beat(now, coordinator.Beat{Member: coordinator.Member{Box: box, Zone: zoneOf[box], Incarnation: box}})
	}
	for i, zone := range []string{"a", "a", "b", "b"} {
		box := fmt.Sprintf("box-%d", i)
		zoneOf[box] = zone
		beat(box)
	}
	var engines []coordinator.Engine
	for i := range 12 {
		engines = append(engines, coordinator.Engine{Name: fmt.Sprintf("engine-%02d", i), Zone: []string{"a", "b", "c"}[i%3]})
	}
	s.Tick(now, engines)
	near := 0
	for _, o := range s.Map().Owners {
		c.Check(o.Owner, qt.Not(qt.Equals), "", qt.Commentf("%s", o.Engine))
		for _, e := range engines {
			if e.Name == o.Engine && zoneOf[o.Owner] == e.Zone {
				near++
			}
		}
	}
	c.Check(near >= 6, qt.IsTrue, qt.Commentf("%d of 8 engines have an owner in their zone", near))
	// The boxes of zone a fall silent: its engines pass to zone b.
	for range 6 {
		now = now.Add(time.Second)
		beat("box-2")
		beat("box-3")
		s.Tick(now, engines)
	}
	for _, o := range s.Map().Owners {
		c.Check(zoneOf[o.Owner], qt.Equals, "b", qt.Commentf("%s", o.Engine))
	}
}

// TestReleaseNamesItsGrant takes a release of an older grant in after the engine was granted again.
func TestReleaseNamesItsGrant(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := coordinator.New(coordinator.Config{Cell: "c", Term: 4 * time.Second, Started: now.Add(-time.Minute)}, coordinator.Map{})
	engines := []coordinator.Engine{{Name: "engine-1", Zone: "a"}}
	beat := coordinator.Beat{Member: coordinator.Member{Box: "box-1", Zone: "a", Incarnation: "i"}}
	_ = s.Beat(now, beat)
	s.Tick(now, engines)
	granted := s.Map().Owners[0]
	beat.Released = []coordinator.Release{{Engine: "engine-1", Epoch: granted.Epoch}}
	_ = s.Beat(now, beat)
	s.Tick(now, engines)
	again := s.Map().Owners[0]
	c.Assert(again.Epoch, qt.Equals, granted.Epoch+1)
	_ = s.Beat(now, beat)
	s.Tick(now, engines)
	c.Check(s.Map().Owners[0], qt.Equals, again)
}

// TestPreviousOwnerIsSettledOnlyByWord hands an engine over while its old owner has requests in flight.
func TestPreviousOwnerIsSettledOnlyByWord(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := coordinator.New(coordinator.Config{Cell: "c", Term: 4 * time.Second, Drain: time.Hour, Started: now.Add(-time.Minute)}, coordinator.Map{})
	engines := []coordinator.Engine{{Name: "engine-1", Zone: "a"}}
	old := coordinator.Beat{Member: coordinator.Member{Box: "box-1", Incarnation: "i"}}
	_ = s.Beat(now, old)
	s.Tick(now, engines)
	granted := s.Map().Owners[0]
	_ = s.Beat(now, coordinator.Beat{Member: coordinator.Member{Box: "box-2", Incarnation: "j"}})
	old.Member.Leaving = true
	old.Owned = []coordinator.Ownership{granted}
	old.Released = []coordinator.Release{{Engine: "engine-1", Epoch: granted.Epoch}}
	for _, step := range []struct {
		name     string
		owned    []coordinator.Ownership
		draining []string
		previous string
	}{
		{"has offered it", old.Owned, nil, "box-1"},
		{"has not heard yet", old.Owned, nil, "box-1"},
		{"has requests in flight", nil, []string{"engine-1"}, "box-1"},
		{"is done", nil, nil, ""},
	} {
		now = now.Add(time.Second)
		old.Owned, old.Draining = step.owned, step.draining
		_ = s.Beat(now, old)
		s.Tick(now, engines)
		c.Check(s.Map().Owners[0].Owner, qt.Equals, "box-2", qt.Commentf(step.name))
		c.Check(s.Map().Owners[0].Previous, qt.Equals, step.previous, qt.Commentf(step.name))
	}
}

// TestReleasedEngineGoesToAnotherBox: a box that gives an engine up because others have joined does not get it back, neither at
// once nor after the order gap, while its next process may have it back at once.
func TestReleasedEngineGoesToAnotherBox(t *testing.T) {
	for _, tt := range []struct {
		name string
		// incarnation is that of the box after its release, wait how long after the release the ownership is looked at.
		incarnation string
		wait        time.Duration
		owner       string
	}{
		{"the same process, within the gap", "i", beat, ""},
		{"the same process, after the gap", "i", gap + beat, "box-2"},
		{"the next process", "k", beat, "box-1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(coordinator.Config{OrderGap: gap, Reclaim: true, SilentAfter: 3 * beat})
			w.beat("box-1", "i")
			w.tick(0)
			c.Assert(w.owner(), qt.Equals, "box-1")
			_ = w.state.Beat(w.now, coordinator.Beat{
				Member:   coordinator.Member{Box: "box-1", Zone: "z", Incarnation: "i", Leaving: tt.incarnation != "i"},
				Released: []coordinator.Release{{Engine: engineName, Epoch: w.epoch()}},
			})
			w.tick(0)
			c.Assert(w.owner(), qt.Equals, "")
			for waited := time.Duration(0); waited < tt.wait; waited += beat {
				w.beat("box-1", tt.incarnation)
				if tt.owner == "box-2" {
					w.beat("box-2", "j")
				}
				w.tick(beat)
			}
			if tt.owner == "box-2" {
				// Either box may have it now; what counts is that it was free in between.
				c.Check(w.owner(), qt.Not(qt.Equals), "")
				return
			}
			c.Check(w.owner(), qt.Equals, tt.owner)
		})
	}
}
