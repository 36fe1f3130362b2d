package turn_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/turn"
)

func TestNextDelay(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	var schedule turn.RetrySchedule
	for _, want := range []time.Duration{0, 10, 20, 30, 35, 35} {
		c.Check(schedule.NextDelay(now, 10*time.Millisecond, 35*time.Millisecond), qt.Equals, want*time.Millisecond)
	}
	c.Check(schedule.NextDelay(now.Add(time.Second), 10*time.Millisecond, 35*time.Millisecond), qt.Equals, time.Duration(0),
		qt.Commentf("all assigned retry times have passed"))
}
