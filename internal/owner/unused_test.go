package owner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/resource"
)

// TestUnusedGrantsAreNoRuns guards against expecting short waits because grants that were not used count as short runs.
func TestUnusedGrantsAreNoRuns(t *testing.T) {
	const held = 5 * time.Millisecond
	for _, tt := range []struct {
		name   string
		finish func(s *State, now time.Time, id uint64)
		counts bool
	}{
		{"run ends", func(s *State, now time.Time, id uint64) { s.FinishTicket(now, id, EndWhole) }, true},
		{"not used", func(s *State, now time.Time, id uint64) { s.FinishTicket(now, id, EndUnused) }, false},
		{"caller left before the decision", func(s *State, now time.Time, id uint64) { s.Cancel(now, id) }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			s := New(Config{Slots: 2, Batch: 4, MaxQueue: 10})
			ref := resource.Ref{Adapter: "base.a", Version: "1"}
			s.Adopt([]resource.Ref{ref}, false)
			s.Submit(now, Ticket{ID: 1, Ref: ref, Arrived: now, StartBy: now.Add(time.Minute)})
			c.Assert(s.InFlight(), qt.Equals, 1)
			tt.finish(s, now.Add(held), 1)
			c.Check(s.InFlight(), qt.Equals, 0)
			c.Check(s.meanRunTime < defaultRunTime, qt.Equals, tt.counts)
		})
	}
}
