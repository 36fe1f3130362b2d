package owner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBaseDemand: the pattern is engines that have just been added to a fleet. Where a request in a hundred finds no engine in time the new ones stay
// without a base model; where many do, each is loaded within a second.
func TestBaseDemand(t *testing.T) {
	for _, test := range []struct {
		name  string
		every time.Duration
		// after is after how many requests the load begins, zero if it does not.
		after int
	}{
		{"many", 50 * time.Millisecond, 4},
		{"two a second", 500 * time.Millisecond, 7},
		{"one in two seconds", 2 * time.Second, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var d baseDemand
			now := time.Unix(1_800_000_000, 0)
			after := 0
			for n := range 100 {
				now = now.Add(test.every)
				if d.note(now) {
					after = n + 1
					break
				}
			}
			c.Check(after, qt.Equals, test.after)
		})
	}
}
