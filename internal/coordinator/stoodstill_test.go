package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestCoordinatorThatStoodStill: it has heard nobody for as long as it stood still, and that says nothing of the others. A box that was silent before
// stays so, and one that is gone is found out a little later.
func TestCoordinatorThatStoodStill(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_800_000_000, 0)
	s := New(Config{Cell: "c", Box: "a", Lease: 1, Term: 4 * time.Second, SilentAfter: time.Second, Started: start}, Map{})
	beat := func(now time.Time, box string, sequence uint64) {
		c.Assert(s.Beat(now, Beat{Member: Member{Box: box, Incarnation: box}, Sequence: sequence}), qt.IsNil)
	}
	beat(start, "gone", 1)
	now := start.Add(2 * time.Second)
	beat(now, "a", 1)
	beat(now, "b", 1)
	const still = 10 * time.Second
	now = now.Add(still + 100*time.Millisecond)
	beat(now, "late", 1)
	s.StoodStill(now, still)
	s.Tick(now, nil)
	silent := map[string]bool{}
	for _, m := range s.Map().Members {
		silent[m.Box] = m.Silent
	}
	c.Check(silent, qt.DeepEquals, map[string]bool{"a": false, "b": false, "gone": true, "late": false})
	beat(now, "a", 2)
	now = now.Add(1100 * time.Millisecond)
	beat(now, "a", 3)
	s.Tick(now, nil)
	for _, m := range s.Map().Members {
		c.Check(m.Silent, qt.Equals, m.Box != "a", qt.Commentf(m.Box))
	}
	s.Tick(now.Add(4*time.Second), nil)
	c.Check(len(s.Map().Members) <= 1, qt.IsTrue)
}
