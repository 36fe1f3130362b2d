package coordinator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/coordinator"
)

// TestSilentBoxStaysHiddenAfterTakeover guards against a lost box that the map shows again after a change of coordinator. In an
// incident, callers were sent to a box that had lost power seven seconds before. The box had been hidden as silent after 1.2 s. Then
// the coordinator's process was killed, the next process acquired the lease half a second later, and its map showed the lost box for
// another 1.2 s. The new coordinator had used the time of the takeover as the last heartbeat time of every box in the stored map, so
// the silence of a box was lost with the coordinator that had detected it. The box that answered the callers had the new coordinator's
// first map, in which the lost box was not silent, although it was silent in the map before.
func TestSilentBoxStaysHiddenAfterTakeover(t *testing.T) {
	const silentAfter = 3 * beatInterval
	for _, tt := range []struct {
		name string
		// silentFor is how long the lost box has been silent when the coordinator stops.
		silentFor time.Duration
		// outages holds the durations of consecutive periods without a coordinator, with one heartbeat between two periods.
		outages []time.Duration
	}{
		{"the coordinator restarts at once", 6 * time.Second, []time.Duration{500 * time.Millisecond}},
		{"another box takes over the lease", 6 * time.Second, []time.Duration{2400 * time.Millisecond}},
		{"takeover soon after the silence was detected", 5 * beatInterval, []time.Duration{2400 * time.Millisecond}},
		{"the coordinator stops twice", 4 * time.Second, []time.Duration{500 * time.Millisecond, 2400 * time.Millisecond}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			sim := newSimulation(coordinator.Config{OrderGap: orderGap, Reclaim: true, SilentAfter: silentAfter})
			sim.sendBeat("stays", "i")
			sim.sendBeat("lost", "j")
			sim.tickAfter(0)
			for elapsed := time.Duration(0); elapsed < tt.silentFor; elapsed += beatInterval {
				sim.sendBeat("stays", "i")
				sim.tickAfter(beatInterval)
			}
			c.Assert(sim.member("lost").Silent, qt.IsTrue)
			for _, outage := range tt.outages {
				sim.takeOver(outage)
				sim.sendBeat("stays", "i")
				sim.tickAfter(0)
				c.Check(sim.isShown("lost"), qt.IsFalse, qt.Commentf("in the first map after %s without a coordinator", outage))
				c.Check(sim.isShown("stays"), qt.IsTrue)
				sim.tickAfter(beatInterval)
			}
			for range 2 * int(term/beatInterval) {
				sim.sendBeat("stays", "i")
				sim.tickAfter(beatInterval)
				c.Check(sim.isShown("lost"), qt.IsFalse, qt.Commentf("%s after the takeover", sim.now.Sub(sim.cfg.Started)))
			}
			sim.sendBeat("lost", "j")
			sim.tickAfter(0)
			c.Check(sim.isShown("lost"), qt.IsTrue, qt.Commentf("after it has sent a heartbeat again"))
		})
	}
}

// TestCoordinatorWithExpiredLeaseIsHidden checks that a coordinator whose lease expired is hidden from callers, as it was silent for
// the duration of the lease. It is hidden from the first map of its successor until it sends a heartbeat.
func TestCoordinatorWithExpiredLeaseIsHidden(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(coordinator.Config{OrderGap: orderGap, Reclaim: true, SilentAfter: 3 * beatInterval})
	sim.sendBeat("stays", "i")
	sim.sendBeat("lapsed", "j")
	sim.tickAfter(0)
	c.Assert(sim.isShown("lapsed"), qt.IsTrue)
	sim.cfg.ExpiredCoordinator = "lapsed"
	sim.takeOver(2400 * time.Millisecond)
	sim.sendBeat("stays", "i")
	sim.tickAfter(0)
	c.Check(sim.isShown("lapsed"), qt.IsFalse)
	c.Check(sim.isShown("stays"), qt.IsTrue)
	sim.sendBeat("lapsed", "j")
	sim.tickAfter(beatInterval)
	c.Check(sim.isShown("lapsed"), qt.IsTrue)
}

// TestTakeoverWaitsForTermOfSilentBox checks that no other box gets the engine of a silent box within a term after a takeover. The
// silent box may have sent a heartbeat after the last map was stored, and its grants may have been renewed for a whole term.
func TestTakeoverWaitsForTermOfSilentBox(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(coordinator.Config{OrderGap: orderGap, Reclaim: true, SilentAfter: 3 * beatInterval})
	sim.sendBeat("owner", "i")
	sim.tickAfter(0)
	c.Assert(sim.owner(), qt.Equals, "owner")
	for range 10 {
		sim.sendBeat("other", "j")
		sim.tickAfter(beatInterval)
	}
	c.Assert(sim.member("owner").Silent, qt.IsTrue)
	sim.takeOver(beatInterval)
	for sim.now.Sub(sim.cfg.Started) < term {
		sim.sendBeat("other", "j")
		sim.tickAfter(beatInterval)
		c.Check(sim.owner() == "owner" || sim.now.Sub(sim.cfg.Started) >= term, qt.IsTrue,
			qt.Commentf("%q owns the engine %s after the takeover", sim.owner(), sim.now.Sub(sim.cfg.Started)))
	}
}
