package relay

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestBudgetIsKeptWhenAllBoxesRestart guards against retries that exceed what the users allow to a service in a window, because boxes that
// have just started give themselves a whole allowance although their former processes have used theirs.
func TestBudgetIsKeptWhenAllBoxesRestart(t *testing.T) {
	// The sizes are those of the smallest deployment: the window is ten seconds, and few requests come while most of the boxes are away.
	const (
		boxes     = 7
		ratio     = 0.2
		allowance = 54.0
	)
	for _, tt := range []struct {
		name     string
		restarts int
		// requests are those that each process of a box serves before the next restart.
		requests int
	}{
		{name: "one restart", restarts: 1, requests: 20},
		{name: "one restart, few requests", restarts: 1, requests: 5},
		{name: "two restarts", restarts: 2, requests: 20},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			retries, requests := 0, 0
			for range tt.restarts + 1 {
				for range boxes {
					b := newBudgets(BudgetConfig{RetriesPerRequest: ratio, Allowance: allowance, Boxes: func() int { return boxes }})
					for range tt.requests {
						b.earn("s")
						requests++
						for b.spend("s") {
							retries++
						}
					}
				}
			}
			allowed := ratio*float64(requests) + allowance
			t.Logf("%d retries of %d requests, allowed %.1f", retries, requests, allowed)
			c.Check(float64(retries) <= allowed, qt.IsTrue)
		})
	}
}
