package coordinator_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bellgap/bellgap/internal/coordinator"
)

// TestHistoryDeltasLeadToNewestMap checks on random sequences of maps that the delta since any generation produces the newest map.
func TestHistoryDeltasLeadToNewestMap(t *testing.T) {
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
					t.Fatalf("no changes returned since generation %d, newest is %d", known.Generation, newest.Generation)
				}
				continue
			}
			got, ok := d.Apply(known)
			if !ok || !equalMaps(got, newest) {
				t.Fatalf("delta since generation %d produced %+v, want %+v", known.Generation, got, newest)
			}
		}
	})
}

// TestHistoryReturnsWholeMapForUnknownGeneration requests the changes since a generation that only the last coordinator had published.
func TestHistoryReturnsWholeMapForUnknownGeneration(t *testing.T) {
	c := qt.New(t)
	var h coordinator.History
	h.Set(coordinator.Map{Generation: 7, Lease: 2})
	d, changed := h.Since(6)
	c.Check(changed, qt.IsTrue)
	c.Check(d.From, qt.Equals, int64(0))
	_, changed = h.Since(8)
	c.Check(changed, qt.IsFalse)
}
