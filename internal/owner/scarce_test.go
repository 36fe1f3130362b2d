package owner_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/resource"
)

func newScarceState(c *qt.C, slots int, off ...policy.Mechanism) *owner.State {
	p, err := policy.New(off)
	c.Assert(err, qt.IsNil)
	s := owner.New(owner.Config{Slots: slots, Batch: 64, MaxQueue: 100, FinishesFirst: true, AwaitReport: true, Scarce: true, Policy: p})
	s.Adopt(nil, false)
	return s
}

func submit(s *owner.State, now time.Time, id uint64, urgency int) []owner.Action {
	return s.Submit(now, owner.Ticket{
		ID: id, Ref: ref(int(id)), Urgency: urgency, Arrived: now, StartBy: now.Add(time.Minute), Last: true,
	})
}

// TestUncertainSlotIsResolved checks the slot of an unanswered load for each outcome that the client may find.
func TestUncertainSlotIsResolved(t *testing.T) {
	for _, tt := range []struct {
		name         string
		outcome      engine.LoadOutcome
		inUse        int
		inUseAfter15 int
		loaded       bool
	}{
		{"open", engine.OutcomeOpen, 1, 0, false},
		{"void", engine.OutcomeVoid, 0, 0, false},
		{"done", engine.OutcomeDone, 1, 1, true},
		// A load that reports list occupies its slot beyond the 15 s, since the engine holds the adapter.
		{"pending", engine.OutcomePending, 1, 1, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			s := newScarceState(c, 2)
			submit(s, now, 1, 0)
			s.PermitGranted(now, ref(1))
			s.FinishLoad(now, ref(1), errors.New("no answer"))
			c.Assert(s.UncertainRefs(), qt.DeepEquals, []resource.Ref{ref(1)})
			s.ResolveLoad(now.Add(10*time.Second), ref(1), tt.outcome)
			c.Check(s.SlotsInUse(), qt.Equals, tt.inUse)
			c.Check(s.IsLoaded(ref(1)), qt.Equals, tt.loaded)
			s.Tick(now.Add(15 * time.Second))
			c.Check(s.SlotsInUse(), qt.Equals, tt.inUseAfter15)
		})
	}
}

// TestRepeatedUncertainLoadKeepsSlot guards against a slot that is freed because the second order of an uncertain load failed, although
// the engine may have executed the first, and against repeating that order in a tight loop.
func TestRepeatedUncertainLoadKeepsSlot(t *testing.T) {
	for _, tt := range []struct {
		name string
		err  error
	}{
		{"refused by the engine or by the quarantine", &engine.OrderRefusedError{Type: engine.RefusalLoadFailed}},
		{"no slot", &engine.OrderRefusedError{Type: engine.RefusalNoSlot}},
		{"not sent", &engine.UnknownAdaptersError{}},
		{"stale epoch", &engine.OrderRefusedError{Type: engine.RefusalStaleEpoch}},
		{"no authority", owner.ErrNoAuthority},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			s := newScarceState(c, 2)
			submit(s, now, 1, 0)
			s.PermitGranted(now, ref(1))
			s.FinishLoad(now, ref(1), errors.New("no answer"))
			for range 2 {
				now = now.Add(5 * time.Second)
				submit(s, now, 1, 0)
				loads := actionsOf[owner.Load](s.PermitGranted(now, ref(1)))
				c.Assert(loads, qt.HasLen, 1)
				c.Check(loads[0].Repeated, qt.IsTrue)
				c.Check(actionsOf[owner.RequestPermit](s.FinishLoad(now, ref(1), tt.err)), qt.HasLen, 0)
				c.Check(s.UncertainRefs(), qt.DeepEquals, []resource.Ref{ref(1)})
				c.Check(actionsOf[owner.RequestPermit](submit(s, now, 1, 0)), qt.HasLen, 0)
			}
		})
	}
}

// TestAdaptersFoundByConflictOccupySlots checks that adapters that a conflict has revealed occupy slots before the next load, and that
// the load that met the conflict is requested again at once: its adapter did not fail.
func TestAdaptersFoundByConflictOccupySlots(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := newScarceState(c, 2)
	submit(s, now, 1, 0)
	s.PermitGranted(now, ref(1))
	err := &engine.UnknownAdaptersError{Adapters: []string{ref(8).String()}}
	c.Check(s.AdoptUncertain(now, []resource.Ref{ref(8)}), qt.Equals, 1)
	c.Check(actionsOf[owner.RequestPermit](s.FinishLoad(now, ref(1), err)), qt.HasLen, 1)
	c.Check(actionsOf[owner.Load](s.PermitGranted(now, ref(1))), qt.HasLen, 1)
	submit(s, now, 2, 0)
	c.Check(actionsOf[owner.Load](s.PermitGranted(now, ref(2))), qt.HasLen, 0)
	c.Check(s.SlotsInUse(), qt.Equals, 2)
}

// TestLingerOfBrokenRun checks how long the adapter of a broken run may not be unloaded. A long linger occupies slots of scarce engines,
// which finish runs before they unload anyway.
func TestLingerOfBrokenRun(t *testing.T) {
	for _, tt := range []struct {
		name string
		off  []policy.Mechanism
		want time.Duration
	}{
		{"scarce", nil, 250 * time.Millisecond},
		{"switched off", []policy.Mechanism{policy.ShortLinger}, 5 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			s := newScarceState(c, 1, tt.off...)
			s.Adopt([]resource.Ref{ref(1)}, false)
			submit(s, now, 1, 0)
			s.FinishTicket(now, 1, owner.EndBroken)
			c.Check(actionsOf[owner.RequestPermit](submit(s, now.Add(tt.want-1), 2, 0)), qt.HasLen, 0)
			c.Check(actionsOf[owner.RequestPermit](s.Tick(now.Add(tt.want))), qt.HasLen, 1)
		})
	}
}

// TestLoadsArePaced checks that a new owner uses one permit at a time, that the permit goes to the most urgent missing adapter, that loads at
// full speed raise the limit, and that the expected wait includes the loads ahead.
func TestLoadsArePaced(t *testing.T) {
	c := qt.New(t)
	const loadTime = 280 * time.Millisecond
	now := time.Unix(1000, 0)
	s := newScarceState(c, 9)
	requests := len(actionsOf[owner.RequestPermit](submit(s, now, 1, 0)))
	for id := uint64(2); id <= 8; id++ {
		requests += len(actionsOf[owner.RequestPermit](submit(s, now, id, int(id))))
	}
	// Each adapter is more urgent than all before it, so a permit is requested for each. Only the first permit is used.
	c.Check(requests, qt.Equals, 8)
	loads := actionsOf[owner.Load](s.PermitGranted(now, ref(1)))
	c.Assert(loads, qt.HasLen, 1)
	c.Check(loads[0].Ref, qt.Equals, ref(8))
	for adapter := 2; adapter <= 8; adapter++ {
		actions := s.PermitGranted(now, ref(adapter))
		c.Check(actions, qt.DeepEquals, []owner.Action{owner.ReturnPermit{}})
	}
	refused := actionsOf[owner.Refuse](s.Submit(now, owner.Ticket{
		ID: 99, Ref: ref(99), Arrived: now, StartBy: now.Add(time.Minute), MaxWait: time.Millisecond,
	}))
	c.Assert(refused, qt.HasLen, 1)
	// The load in flight and those of seven waiting tickets come first, one at a time.
	c.Check(refused[0].Err.RetryAfter, qt.Equals, 9*loadTime)
	for adapter := 8; adapter > 2; adapter-- {
		now = now.Add(loadTime)
		requests = len(actionsOf[owner.RequestPermit](s.FinishLoad(now, ref(adapter), nil)))
		if adapter > 3 {
			c.Check(requests, qt.Equals, 1)
			s.PermitGranted(now, ref(adapter-1))
		}
	}
	c.Check(requests, qt.Equals, 2)
	c.Check(s.LoadLimit(), qt.Equals, 2)
	s.ResetAfterRestart(now)
	c.Check(s.LoadLimit(), qt.Equals, 1)
}

// TestFastReloadsAreNoSamples checks that loads of recently unloaded adapters, which are ten times as fast, do not make usual loads
// look slow.
func TestFastReloadsAreNoSamples(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := newScarceState(c, 1)
	load := func(id uint64, adapter int, took time.Duration) {
		s.Submit(now, owner.Ticket{ID: id, Ref: ref(adapter), Arrived: now, StartBy: now.Add(time.Minute), Last: true})
		for _, u := range actionsOf[owner.Unload](s.PermitGranted(now, ref(adapter))) {
			s.FinishUnload(now, u.Ref, nil)
		}
		now = now.Add(took)
		s.FinishLoad(now, ref(adapter), nil)
		s.FinishTicket(now, id, owner.EndWhole)
	}
	for i := range uint64(10) {
		load(3*i, 1, 28*time.Millisecond)
		load(3*i+1, 2, 28*time.Millisecond)
		if i == 0 {
			// The first loads are not reloads, so they count. Their minimum is forgotten.
			now = now.Add(time.Minute)
		}
		load(3*i+2, 100+int(i), 288*time.Millisecond)
	}
	c.Check(s.LoadLimit() >= 2, qt.IsTrue, qt.Commentf("limit %d", s.LoadLimit()))
}

// TestAllSlotsRequireFinishedRuns guards against using all slots of an engine whose unanswered loads occupy no slot.
func TestAllSlotsRequireFinishedRuns(t *testing.T) {
	for _, finishesFirst := range []bool{true, false} {
		c := qt.New(t)
		now := time.Unix(1000, 0)
		s := owner.New(owner.Config{Slots: 2, Batch: 64, MaxQueue: 100, FinishesFirst: finishesFirst, Scarce: true})
		s.AdoptUncertain(now, []resource.Ref{ref(1)})
		c.Check(s.IsTracked(ref(1)), qt.Equals, finishesFirst)
	}
}

// TestUrgentPermitRequestIsNotBlocked guards against a pending permit request of low urgency that blocks the request for an urgent adapter
// while the pace allows one load, and against using both permits at once.
func TestUrgentPermitRequestIsNotBlocked(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := newScarceState(c, 4)
	c.Check(actionsOf[owner.RequestPermit](submit(s, now, 1, 0)), qt.HasLen, 1)
	requests := actionsOf[owner.RequestPermit](submit(s, now, 2, 5))
	c.Assert(requests, qt.HasLen, 1)
	c.Check(requests[0].Ref, qt.Equals, ref(2))
	c.Check(actionsOf[owner.RequestPermit](submit(s, now, 3, 5)), qt.HasLen, 0)
	loads := actionsOf[owner.Load](s.PermitGranted(now, ref(2)))
	c.Assert(loads, qt.HasLen, 1)
	c.Check(loads[0].Ref, qt.Equals, ref(2))
	// The pace allows one load, so that no more permits are requested, and the pending one is returned.
	c.Check(actionsOf[owner.RequestPermit](submit(s, now, 4, 9)), qt.HasLen, 0)
	actions := s.PermitGranted(now, ref(1))
	c.Check(actionsOf[owner.ReturnPermit](actions), qt.HasLen, 1)
	c.Check(actionsOf[owner.Load](actions), qt.HasLen, 0)
	c.Check(actionsOf[owner.RequestPermit](actions), qt.HasLen, 0)
	requests = actionsOf[owner.RequestPermit](s.FinishLoad(now.Add(280*time.Millisecond), ref(2), nil))
	c.Assert(requests, qt.HasLen, 1)
	c.Check(requests[0].Ref, qt.Equals, ref(4))
}
