package coordinator_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bellgap/bellgap/internal/coordinator"
)

// TestHistoryLeadsToTheNewestMap draws successions of maps: whoever knows any generation gets to the newest with what it is told.
func TestHistoryLeadsToTheNewestMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h coordinator.History
		maps := []coordinator.Map{{}}
		for generation := range rapid.IntRange(1, 30).Draw(t, "maps") {
			m := drawMap(t, int64(generation)+1)
			maps = append(maps, m)
			h.Set(m)
		}
		newest := maps[len(maps)-1]
		for _, known := range maps {
			d, changed := h.Since(known.Generation)
			if !changed {
				if known.Generation != newest.Generation {
					t.Fatalf("nothing told to a box with generation %d of %d", known.Generation, newest.Generation)
				}
				continue
			}
			got, ok := d.Apply(known)
			if !ok || !equal(got, newest) {
				t.Fatalf("generation %d became %+v, not %+v", known.Generation, got, newest)
			}
		}
	})
}

// TestHistoryOfAnotherCoordinator asks for a map that only the coordinator before had published.
func TestHistoryOfAnotherCoordinator(t *testing.T) {
	c := qt.New(t)
	var h coordinator.History
	h.Set(coordinator.Map{Generation: 7, Lease: 2})
	d, changed := h.Since(6)
	c.Check(changed, qt.IsTrue)
	c.Check(d.From, qt.Equals, int64(0))
	_, changed = h.Since(8)
	c.Check(changed, qt.IsFalse)
}
