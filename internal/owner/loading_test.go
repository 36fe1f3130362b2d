package owner_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/resource"
)

// TestUnansweredLoadKeepsItsSlot checks that the slot of a load whose answer was lost is not given to another adapter. The engine
// may carry out such a load seconds later.
func TestUnansweredLoadKeepsItsSlot(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := newDiscoveredState(1)
	s.Submit(now, owner.Ticket{ID: 1, Ref: ref(1), Arrived: now, StartBy: now.Add(time.Minute), Last: true})
	c.Assert(actionsOf[owner.Load](s.PermitGranted(now, ref(1))), qt.HasLen, 1)
	s.FinishLoad(now, ref(1), errors.New("no answer"))
	now = now.Add(5 * time.Second)
	s.Submit(now, owner.Ticket{ID: 2, Ref: ref(2), Arrived: now, StartBy: now.Add(time.Minute), Last: true})
	c.Check(actionsOf[owner.Load](s.PermitGranted(now, ref(2))), qt.HasLen, 0)
	now = now.Add(11 * time.Second)
	c.Check(actionsOf[owner.RequestPermit](s.Tick(now)), qt.HasLen, 1)
	c.Check(actionsOf[owner.Load](s.PermitGranted(now, ref(2))), qt.HasLen, 1)
}

// TestReplacedVersionKeepsSlotUntilNewVersionIsLoaded checks that the old and the new version of an adapter both occupy a slot
// while requests still run on the old version.
func TestReplacedVersionKeepsSlotUntilNewVersionIsLoaded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := newDiscoveredState(2)
	first, second, other := resource.Ref{Adapter: "a", Version: "1"}, resource.Ref{Adapter: "a", Version: "2"}, ref(9)
	s.Adopt([]resource.Ref{first}, false)
	c.Assert(actionsOf[owner.Start](s.Submit(now, owner.Ticket{
		ID: 1, Ref: first, Arrived: now, StartBy: now.Add(time.Minute),
	})), qt.HasLen, 1)
	s.Submit(now, owner.Ticket{ID: 2, Ref: second, Arrived: now, StartBy: now.Add(time.Minute), Last: true})
	c.Assert(actionsOf[owner.Load](s.PermitGranted(now, second)), qt.HasLen, 1)
	s.Submit(now, owner.Ticket{ID: 3, Ref: other, Arrived: now, StartBy: now.Add(time.Minute), Last: true})
	c.Check(actionsOf[owner.Load](s.PermitGranted(now, other)), qt.HasLen, 0)
	c.Check(actionsOf[owner.Start](s.FinishLoad(now, second, nil)), qt.HasLen, 1)
	c.Check(s.IsLoaded(first), qt.IsFalse)
	c.Check(actionsOf[owner.Load](s.PermitGranted(now, other)), qt.HasLen, 1)
}

// TestNoLoadBeforeFirstReport checks that no load is requested while the loaded adapters of the engine are unknown.
func TestNoLoadBeforeFirstReport(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := owner.New(owner.Config{Slots: 1, Batch: 1, MaxQueue: 4, AwaitReport: true})
	actions := s.Submit(now, owner.Ticket{ID: 1, Ref: ref(1), Arrived: now, StartBy: now.Add(time.Minute), Last: true})
	c.Check(actionsOf[owner.RequestPermit](actions), qt.HasLen, 0)
	s.Adopt([]resource.Ref{ref(1)}, false)
	c.Check(actionsOf[owner.Start](s.Tick(now)), qt.HasLen, 1)
}

// TestNoLoadWhileSlotsAreExceeded checks that no load follows an unload if reports have shown more loaded adapters than slots.
// The unload alone does not free a slot then.
func TestNoLoadWhileSlotsAreExceeded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := newDiscoveredState(2)
	s.Adopt([]resource.Ref{ref(1), ref(2)}, false)
	s.Submit(now, owner.Ticket{ID: 1, Ref: ref(3), Arrived: now, StartBy: now.Add(time.Minute), Last: true})
	unload := actionsOf[owner.Unload](s.PermitGranted(now, ref(3)))
	c.Assert(unload, qt.HasLen, 1)
	s.Adopt([]resource.Ref{ref(4), ref(5)}, false)
	actions := s.FinishUnload(now, unload[0].Ref, nil)
	c.Check(actionsOf[owner.Load](actions), qt.HasLen, 0)
	c.Check(actionsOf[owner.ReturnPermit](actions), qt.HasLen, 1)
}

// TestNoLoadOfAdapterFoundDuringUnload guards against a load that replaces the slot of an adapter that a report has shown as loaded while
// another adapter was unloaded for it. The failure of that load would free the slot although the engine holds the adapter.
func TestNoLoadOfAdapterFoundDuringUnload(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := newDiscoveredState(3)
	s.Adopt([]resource.Ref{ref(1), ref(2), ref(3)}, false)
	s.Submit(now, owner.Ticket{ID: 1, Ref: ref(4), Arrived: now, StartBy: now.Add(time.Minute), Last: true})
	unload := actionsOf[owner.Unload](s.PermitGranted(now, ref(4)))
	c.Assert(unload, qt.HasLen, 1)
	s.Adopt([]resource.Ref{ref(4)}, false)
	for i := 1; i <= 3; i++ {
		if ref(i) != unload[0].Ref {
			s.RemoveLost(now, []resource.Ref{ref(i)})
		}
	}
	actions := s.FinishUnload(now, unload[0].Ref, nil)
	c.Check(actionsOf[owner.Load](actions), qt.HasLen, 0)
	c.Check(actionsOf[owner.ReturnPermit](actions), qt.HasLen, 1)
	c.Check(s.IsLoaded(ref(4)), qt.IsTrue)
}

// TestUnloadOfMissingAdapterFreesSlot checks that the slot is free if the engine refuses an unload because it does not have the
// adapter.
func TestUnloadOfMissingAdapterFreesSlot(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := newDiscoveredState(1)
	s.Adopt([]resource.Ref{ref(1)}, false)
	s.Submit(now, owner.Ticket{ID: 1, Ref: ref(2), Arrived: now, StartBy: now.Add(time.Minute), Last: true})
	unloads := actionsOf[owner.Unload](s.PermitGranted(now, ref(2)))
	c.Assert(unloads, qt.HasLen, 1)
	loads := actionsOf[owner.Load](s.FinishUnload(now, ref(1), &engine.OrderRefusedError{Type: engine.RefusalNotFound}))
	c.Assert(loads, qt.HasLen, 1)
	c.Check(loads[0].Ref, qt.Equals, ref(2))
}

// TestFailedUnloadIsRetriedWithDelay checks that a failed unload is retried only a few times per second. On a box without
// authority each order fails immediately, so that retries without delay would be a busy loop.
func TestFailedUnloadIsRetriedWithDelay(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := newDiscoveredState(1)
	s.Adopt([]resource.Ref{ref(1)}, false)
	pending := s.Submit(now, owner.Ticket{ID: 1, Ref: ref(2), Arrived: now, StartBy: now.Add(time.Minute), Last: true})
	unloads := 0
	for until := now.Add(time.Second); now.Before(until); now = now.Add(10 * time.Millisecond) {
		for i := 0; len(pending) > 0 && i < 100; i++ {
			var next []owner.Action
			for range actionsOf[owner.RequestPermit](pending) {
				next = append(next, s.PermitGranted(now, ref(2))...)
			}
			for _, u := range actionsOf[owner.Unload](pending) {
				unloads++
				next = append(next, s.FinishUnload(now, u.Ref, errors.New("no authority"))...)
			}
			pending = next
		}
		pending = s.Tick(now)
	}
	c.Check(unloads >= 3 && unloads <= 6, qt.IsTrue, qt.Commentf("%d unloads within one second", unloads))
}
