package coordinator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/coordinator"
)

// TestSilentBoxStaysHiddenWhenTheCoordinatorChanges tells an incident. Callers were sent to a box that had lost power seven seconds
// before. It had been hidden from them after 1.2 s, as it was silent; then the coordinator's process was killed, the next one took the
// lease back half a second later, and for another 1.2 s the map showed the lost box again. The cause: whoever takes over gave every box
// of the stored map the time of the takeover as the time it was last heard, so that the silence of a box was forgotten with the
// coordinator that had noticed it. What proved it: on days like that one the box that answered had the new coordinator's first map, in
// which the lost box was not silent, as it had been in the map before.
func TestSilentBoxStaysHiddenWhenTheCoordinatorChanges(t *testing.T) {
	const silentAfter = 3 * beat
	for _, tt := range []struct {
		name string
		// silent is how long the lost box has said nothing when the coordinator goes.
		silent time.Duration
		// without holds for how long there is no coordinator, one time after the other, with a heartbeat in between.
		without []time.Duration
	}{
		{"its next process comes back at once", 6 * time.Second, []time.Duration{500 * time.Millisecond}},
		{"another box takes the lease over", 6 * time.Second, []time.Duration{2400 * time.Millisecond}},
		{"soon after the silence was noticed", 5 * beat, []time.Duration{2400 * time.Millisecond}},
		{"the coordinator goes twice", 4 * time.Second, []time.Duration{500 * time.Millisecond, 2400 * time.Millisecond}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(coordinator.Config{OrderGap: gap, Reclaim: true, SilentAfter: silentAfter})
			w.beat("stays", "i")
			w.beat("lost", "j")
			w.tick(0)
			for silent := time.Duration(0); silent < tt.silent; silent += beat {
				w.beat("stays", "i")
				w.tick(beat)
			}
			c.Assert(w.member("lost").Silent, qt.IsTrue)
			for _, without := range tt.without {
				w.takeOver(without)
				w.beat("stays", "i")
				w.tick(0)
				c.Check(w.shows("lost"), qt.IsFalse, qt.Commentf("in the first map after %s without a coordinator", without))
				c.Check(w.shows("stays"), qt.IsTrue)
				w.tick(beat)
			}
			for range 2 * int(term/beat) {
				w.beat("stays", "i")
				w.tick(beat)
				c.Check(w.shows("lost"), qt.IsFalse, qt.Commentf("%s after the takeover", w.now.Sub(w.cfg.Started)))
			}
			w.beat("lost", "j")
			w.tick(0)
			c.Check(w.shows("lost"), qt.IsTrue, qt.Commentf("it is heard again"))
		})
	}
}

// TestLapsedCoordinatorIsHidden: a coordinator whose lease ran out has been silent for that long, and callers are not sent to it from the
// first map of its successor on, until it is heard.
func TestLapsedCoordinatorIsHidden(t *testing.T) {
	c := qt.New(t)
	w := newWorld(coordinator.Config{OrderGap: gap, Reclaim: true, SilentAfter: 3 * beat})
	w.beat("stays", "i")
	w.beat("lapsed", "j")
	w.tick(0)
	c.Assert(w.shows("lapsed"), qt.IsTrue)
	w.cfg.Lapsed = "lapsed"
	w.takeOver(2400 * time.Millisecond)
	w.beat("stays", "i")
	w.tick(0)
	c.Check(w.shows("lapsed"), qt.IsFalse)
	c.Check(w.shows("stays"), qt.IsTrue)
	w.beat("lapsed", "j")
	w.tick(beat)
	c.Check(w.shows("lapsed"), qt.IsTrue)
}

// TestTakeoverKeepsTheTermOfASilentBox: that a box stays hidden says nothing of its grants. It may have been heard, and given a whole
// term, after the last map was stored, so no other box may own its engine within a term of the takeover.
func TestTakeoverKeepsTheTermOfASilentBox(t *testing.T) {
	c := qt.New(t)
	w := newWorld(coordinator.Config{OrderGap: gap, Reclaim: true, SilentAfter: 3 * beat})
	w.beat("owner", "i")
	w.tick(0)
	c.Assert(w.owner(), qt.Equals, "owner")
	for range 10 {
		w.beat("other", "j")
		w.tick(beat)
	}
	c.Assert(w.member("owner").Silent, qt.IsTrue)
	w.takeOver(beat)
	for w.now.Sub(w.cfg.Started) < term {
		w.beat("other", "j")
		w.tick(beat)
		c.Check(w.owner() == "owner" || w.now.Sub(w.cfg.Started) >= term, qt.IsTrue, qt.Commentf("%q owns it %s after the takeover", w.owner(), w.now.Sub(w.cfg.Started)))
	}
}
