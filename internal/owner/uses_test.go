package owner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/resource"
)

// TestRunsKeepAnAdapterThatWasLoadedAnew: an engine says of one request that it does not hold the adapter, while another still runs on it;
// the adapter is loaded anew. The run from before used to be forgotten with the slot that it had begun on, and the adapter was unloaded
// under it. Drawn once by TestStateAlwaysHolds.
func TestRunsKeepAnAdapterThatWasLoadedAnew(t *testing.T) {
	for _, tt := range []struct {
		name string
		// before says that the other run ends before the adapter is loaded anew, end how it ends.
		before bool
		end    owner.End
		// waited is how long after that the adapter is to make way, unloads how often it does.
		waited  time.Duration
		unloads int
	}{
		{"it ends whole", false, owner.EndWhole, 0, 1},
		{"it breaks off and may go on", false, owner.EndBroken, 0, 0},
		{"it broke off a while ago", false, owner.EndBroken, time.Minute, 1},
		{"it breaks off before the load and may go on", true, owner.EndBroken, 0, 0},
		{"it broke off before the load, a while ago", true, owner.EndBroken, time.Minute, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			s := owner.New(owner.Config{Slots: 1, Batch: 4, MaxQueue: 4})
			ticket := func(id uint64, r resource.Ref) owner.Ticket {
				return owner.Ticket{ID: id, Ref: r, Arrived: now, StartBy: now.Add(time.Hour), Last: true}
			}
			s.Adopt([]resource.Ref{ref(1)}, false)
			for id := range uint64(2) {
				c.Assert(actionsOf[owner.Start](s.Submit(now, ticket(id+1, ref(1)))), qt.HasLen, 1)
			}
			s.Done(now, 1, owner.EndNotLoaded)
			if tt.before {
				s.Done(now, 2, tt.end)
			}
			s.Submit(now, ticket(3, ref(1)))
			c.Assert(actionsOf[owner.Load](s.Granted(now, ref(1))), qt.HasLen, 1)
			s.Loaded(now, ref(1), nil)
			s.Done(now, 3, owner.EndWhole)
			s.Submit(now, ticket(4, ref(2)))
			if !tt.before {
				c.Assert(actionsOf[owner.Unload](s.Granted(now, ref(2))), qt.HasLen, 0, qt.Commentf("one still runs"))
				s.Done(now, 2, tt.end)
			}
			now = now.Add(tt.waited)
			c.Check(actionsOf[owner.Unload](s.Granted(now, ref(2))), qt.HasLen, tt.unloads)
		})
	}
}
