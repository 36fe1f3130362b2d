package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSuspensionOfCoordinatorSilencesNoBox checks that a coordinator that was suspended, and so received no heartbeats, does not mark
// other boxes as silent because of that. A box that was silent before stays silent, and a lost box is detected a little later.
func TestSuspensionOfCoordinatorSilencesNoBox(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_800_000_000, 0)
	s := New(Config{Cell: "c", Box: "a", Lease: 1, Term: 4 * time.Second, SilentAfter: time.Second, Started: start}, Map{})
	sendBeat := func(now time.Time, box string, sequence uint64) {
		c.Assert(s.RecordBeat(now, Beat{Member: Member{Box: box, Incarnation: box}, Sequence: sequence}), qt.IsNil)
	}
	sendBeat(start, "gone", 1)
	now := start.Add(2 * time.Second)
	sendBeat(now, "a", 1)
	sendBeat(now, "b", 1)
	const suspension = 10 * time.Second
	now = now.Add(suspension + 100*time.Millisecond)
	sendBeat(now, "late", 1)
	s.CorrectForSuspension(now, suspension)
	s.Tick(now, nil)
	silent := map[string]bool{}
	for _, m := range s.Map().Members {
		silent[m.Box] = m.Silent
	}
	c.Check(silent, qt.DeepEquals, map[string]bool{"a": false, "b": false, "gone": true, "late": false})
	sendBeat(now, "a", 2)
	now = now.Add(1100 * time.Millisecond)
	sendBeat(now, "a", 3)
	s.Tick(now, nil)
	for _, m := range s.Map().Members {
		c.Check(m.Silent, qt.Equals, m.Box != "a", qt.Commentf(m.Box))
	}
	s.Tick(now.Add(4*time.Second), nil)
	c.Check(len(s.Map().Members) <= 1, qt.IsTrue)
}
