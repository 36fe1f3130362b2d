package coordinator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/coordinator"
)

// TestEngineThatComesBackIsStillHeld: an engine whose entry is missing for a moment, as after an outage of the store, may still be ordered
// about by its owner, which has a term. No other box may have it before, also if the coordinator changes meanwhile and never knew the
// entry. The cause of what it shows: all that was known of an engine was dropped as soon as its entry was missing once.
func TestEngineThatComesBackIsStillHeld(t *testing.T) {
	for _, tt := range []struct {
		name     string
		takeover bool
		// heard says that the owner is heard on.
		heard bool
	}{
		{"the owner is silent", false, false},
		{"the owner is silent and the coordinator changes", true, false},
		{"the owner is there and has it back", false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(coordinator.Config{OrderGap: gap, Reclaim: true, SilentAfter: 3 * beat})
			w.beat("owner", "i")
			w.tick(0)
			c.Assert(w.owner(), qt.Equals, "owner")
			granted, last := w.epoch(), w.now
			step := func(engines ...coordinator.Engine) {
				w.now = w.now.Add(beat)
				w.beat("other", "j")
				if tt.heard {
					w.beat("owner", "i")
				}
				w.state.Tick(w.now, engines)
			}
			for range 4 {
				step(coordinator.Engine{Name: engineName, Zone: "z"})
			}
			step()
			if tt.takeover {
				w.takeOver(0)
				step()
			}
			for w.now.Sub(last) < term {
				step(coordinator.Engine{Name: engineName, Zone: "z"})
				c.Assert(w.owner(), qt.Not(qt.Equals), "other", qt.Commentf("%s after the owner was last heard", w.now.Sub(last)))
			}
			if tt.heard {
				c.Check(w.owner(), qt.Equals, "owner")
				c.Check(w.epoch() > granted, qt.IsTrue)
			}
		})
	}
}

// TestEpochsGrowForGood: the epoch of an engine that is gone for good is not given out again by the next coordinator, as an engine of the
// same name may come back.
func TestEpochsGrowForGood(t *testing.T) {
	c := qt.New(t)
	w := newWorld(coordinator.Config{OrderGap: gap, Reclaim: true, SilentAfter: 3 * beat})
	w.beat("owner", "i")
	w.tick(0)
	granted := w.epoch()
	c.Assert(granted > 0, qt.IsTrue)
	for waited := time.Duration(0); waited < 3*term; waited += beat {
		w.now = w.now.Add(beat)
		w.beat("owner", "i")
		w.state.Tick(w.now, nil)
	}
	c.Assert(w.ownership().Engine, qt.Equals, "", qt.Commentf("the engine is forgotten in the end"))
	w.takeOver(beat)
	w.beat("owner", "i")
	w.tick(0)
	c.Check(w.epoch() > granted, qt.IsTrue, qt.Commentf("%d after %d", w.epoch(), granted))
}
