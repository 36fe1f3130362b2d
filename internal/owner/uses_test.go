package owner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/resource"
)

// TestReloadedAdapterIsKeptForEarlierRuns checks that an adapter is not unloaded while a run that started before a reload is
// still in progress. TestStateInvariants once found this failure: the engine reported for one request that the adapter was not
// loaded, while another request still ran on it. The adapter was loaded again. The older run was counted only in the removed
// slot, so the adapter was unloaded during that run.
func TestReloadedAdapterIsKeptForEarlierRuns(t *testing.T) {
	for _, tt := range []struct {
		name string
		// endsBeforeLoad is true if the older run ends before the adapter is loaded again.
		endsBeforeLoad bool
		// end is the way in which the older run ends.
		end owner.End
		// wait is the time from the end of the older run to the permit for another adapter.
		wait time.Duration
		// unloads is the number of unloads that follow from the permit.
		unloads int
	}{
		{"run finishes", false, owner.EndWhole, 0, 1},
		{"run breaks off and may continue", false, owner.EndBroken, 0, 0},
		{"run broke off a minute ago", false, owner.EndBroken, time.Minute, 1},
		{"run breaks off before the load and may continue", true, owner.EndBroken, 0, 0},
		{"run broke off before the load a minute ago", true, owner.EndBroken, time.Minute, 1},
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
			s.FinishTicket(now, 1, owner.EndNotLoaded)
			if tt.endsBeforeLoad {
				s.FinishTicket(now, 2, tt.end)
			}
			s.Submit(now, ticket(3, ref(1)))
			c.Assert(actionsOf[owner.Load](s.PermitGranted(now, ref(1))), qt.HasLen, 1)
			s.FinishLoad(now, ref(1), nil)
			s.FinishTicket(now, 3, owner.EndWhole)
			s.Submit(now, ticket(4, ref(2)))
			if !tt.endsBeforeLoad {
				c.Assert(actionsOf[owner.Unload](s.PermitGranted(now, ref(2))), qt.HasLen, 0, qt.Commentf("the older run is still in progress"))
				s.FinishTicket(now, 2, tt.end)
			}
			now = now.Add(tt.wait)
			c.Check(actionsOf[owner.Unload](s.PermitGranted(now, ref(2))), qt.HasLen, tt.unloads)
		})
	}
}
