package owner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestBaseDemand covers engines that have just been added to a fleet without a loaded base model. If one request in a hundred
// finds no engine in time, the new engines stay without the base model. If many requests find none, each engine loads it within a
// second.
func TestBaseDemand(t *testing.T) {
	for _, test := range []struct {
		name     string
		interval time.Duration
		// requests is the number of requests after which the load starts, or zero if no load starts.
		requests int
	}{
		{"many", 50 * time.Millisecond, 4},
		{"two per second", 500 * time.Millisecond, 7},
		{"one every two seconds", 2 * time.Second, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var d baseDemand
			now := time.Unix(1_800_000_000, 0)
			got := 0
			for n := range 100 {
				now = now.Add(test.interval)
				if d.add(now) {
					got = n + 1
					break
				}
			}
			c.Check(got, qt.Equals, test.requests)
		})
	}
}
