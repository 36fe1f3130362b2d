package coordinator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/coordinator"
)

// TestUndeclaredEngineStaysReserved guards against assigning an engine to another box after its entry was missing for a moment, for
// example after an outage of the store. The owner may send orders to the engine until its term ends, so no other box may own the engine
// before that. This also holds if the coordinator changes meanwhile and the new one has never seen the entry. The fault was that the
// state of an engine was deleted as soon as its entry was missing once.
func TestUndeclaredEngineStaysReserved(t *testing.T) {
	for _, tt := range []struct {
		name     string
		takeover bool
		// ownerSendsBeats means that the owner continues to send heartbeats.
		ownerSendsBeats bool
	}{
		{"the owner is silent", false, false},
		{"the owner is silent and the coordinator changes", true, false},
		{"the owner sends heartbeats and gets the engine back", false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			sim := newSimulation(coordinator.Config{OrderGap: orderGap, Reclaim: true, SilentAfter: 3 * beatInterval})
			sim.sendBeat("owner", "i")
			sim.tickAfter(0)
			c.Assert(sim.owner(), qt.Equals, "owner")
			grantedEpoch, grantedAt := sim.epoch(), sim.now
			runStep := func(engines ...coordinator.Engine) {
				sim.now = sim.now.Add(beatInterval)
				sim.sendBeat("other", "j")
				if tt.ownerSendsBeats {
					sim.sendBeat("owner", "i")
				}
				sim.state.Tick(sim.now, engines)
			}
			for range 4 {
				runStep(coordinator.Engine{Name: engineName, Zone: "z"})
			}
			runStep()
			if tt.takeover {
				sim.takeOver(0)
				runStep()
			}
			for sim.now.Sub(grantedAt) < term {
				runStep(coordinator.Engine{Name: engineName, Zone: "z"})
				c.Assert(sim.owner(), qt.Not(qt.Equals), "other", qt.Commentf("%s after the engine was granted", sim.now.Sub(grantedAt)))
			}
			if tt.ownerSendsBeats {
				c.Check(sim.owner(), qt.Equals, "owner")
				c.Check(sim.epoch() > grantedEpoch, qt.IsTrue)
			}
		})
	}
}

// TestEpochsIncreaseAfterEngineRemoval checks that the next coordinator does not reuse the epoch of an engine that was removed, as an
// engine of the same name may come back.
func TestEpochsIncreaseAfterEngineRemoval(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(coordinator.Config{OrderGap: orderGap, Reclaim: true, SilentAfter: 3 * beatInterval})
	sim.sendBeat("owner", "i")
	sim.tickAfter(0)
	grantedEpoch := sim.epoch()
	c.Assert(grantedEpoch > 0, qt.IsTrue)
	for waited := time.Duration(0); waited < 3*term; waited += beatInterval {
		sim.now = sim.now.Add(beatInterval)
		sim.sendBeat("owner", "i")
		sim.state.Tick(sim.now, nil)
	}
	c.Assert(sim.ownership().Engine, qt.Equals, "", qt.Commentf("the engine was not removed from the map"))
	sim.takeOver(beatInterval)
	sim.sendBeat("owner", "i")
	sim.tickAfter(0)
	c.Check(sim.epoch() > grantedEpoch, qt.IsTrue, qt.Commentf("epoch %d after %d", sim.epoch(), grantedEpoch))
}
