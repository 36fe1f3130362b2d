package logline

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLimit checks that lines above the limit are omitted and counted.
func TestLimit(t *testing.T) {
	c := qt.New(t)
	l := RateLimiter{MaxPerSecond: 3}
	now := time.Unix(1000, 0)
	for range 5 {
		l.Info(now, "line")
	}
	c.Check(l.omitted, qt.Equals, 2)
	l.Info(now.Add(time.Second), "line")
	c.Check(l.omitted, qt.Equals, 0, qt.Commentf("the next line reports the omitted lines and resets their count"))
}
