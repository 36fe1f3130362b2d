package owner_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// versionRef returns a version of the adapter that the tests below load.
func versionRef(version string) resource.Ref { return resource.Ref{Adapter: "a", Version: version} }

// submitVersion submits a ticket for a version of the adapter.
func submitVersion(s *owner.State, now time.Time, id uint64, version string) []owner.Action {
	return s.Submit(now, owner.Ticket{ID: id, Ref: versionRef(version), Arrived: now, StartBy: now.Add(time.Minute), Last: true})
}

// grantLoads grants all requested permits and returns the loads that follow.
func grantLoads(s *owner.State, now time.Time, actions []owner.Action) []owner.Load {
	var loads []owner.Load
	for _, request := range actionsOf[owner.RequestPermit](actions) {
		loads = append(loads, actionsOf[owner.Load](s.PermitGranted(now, request.Ref))...)
	}
	return loads
}

// TestOlderVersionIsNotLoadedAfterNewerOne guards against a load that replaces a new version of an adapter with an older one, because a box
// that has not heard of the new version asks for the older one. The engine carries such a load out when the runs of the new version have
// ended, which may be long after the announcement, and until then refuses the requests for the adapter that have not begun.
func TestOlderVersionIsNotLoadedAfterNewerOne(t *testing.T) {
	for _, tt := range []struct {
		name string
		// older and newer are versions in this order. As text, 10 is before 9.
		older, newer string
		prepare      func(c *qt.C, s *owner.State, now time.Time, newer string)
	}{
		{"loaded", "1", "2", func(_ *qt.C, s *owner.State, _ time.Time, newer string) {
			s.Adopt([]resource.Ref{versionRef(newer)}, false)
		}},
		{"loaded, two digits", "9", "10", func(_ *qt.C, s *owner.State, _ time.Time, newer string) {
			s.Adopt([]resource.Ref{versionRef(newer)}, false)
		}},
		{"loading", "1", "2", func(c *qt.C, s *owner.State, now time.Time, newer string) {
			c.Assert(grantLoads(s, now, submitVersion(s, now, 1, newer)), qt.HasLen, 1)
		}},
		{"load without an answer", "1", "2", func(c *qt.C, s *owner.State, now time.Time, newer string) {
			c.Assert(grantLoads(s, now, submitVersion(s, now, 1, newer)), qt.HasLen, 1)
			s.FinishLoad(now, versionRef(newer), errors.New("no answer"))
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			s := newDiscoveredState(4)
			tt.prepare(c, s, now, tt.newer)
			actions := submitVersion(s, now, 2, tt.older)
			c.Check(grantLoads(s, now, actions), qt.HasLen, 0)
			refused := actionsOf[owner.Refuse](actions)
			c.Assert(refused, qt.HasLen, 1)
			c.Check(refused[0].Ticket.ID, qt.Equals, uint64(2))
			c.Check(refused[0].Err.Code, qt.Equals, result.TryNext)
		})
	}
}

// TestSpareTicketForOlderVersionIsRefused guards against spare tickets that wait for an older version until their time is over.
func TestSpareTicketForOlderVersionIsRefused(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := newDiscoveredState(4)
	spare := owner.Ticket{ID: 1, Ref: versionRef("1"), Arrived: now, StartBy: now.Add(time.Minute), Last: true, Spare: true}
	c.Assert(actionsOf[owner.RequestPermit](s.Submit(now, spare)), qt.HasLen, 1)
	s.Adopt([]resource.Ref{versionRef("2")}, false)
	c.Check(actionsOf[owner.Refuse](s.Tick(now)), qt.HasLen, 1)
	spare.ID = 2
	c.Check(actionsOf[owner.Refuse](s.Submit(now, spare)), qt.HasLen, 1)
}

// TestNewerVersionIsLoadedAfterLoadOfOlderOneEnded guards against two loads of one adapter at the same time. The completion of a load is
// awaited by sending its order again, and the engine takes the order for the older version as a new one once it has the newer version.
func TestNewerVersionIsLoadedAfterLoadOfOlderOneEnded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := newDiscoveredState(4)
	c.Assert(grantLoads(s, now, submitVersion(s, now, 1, "1")), qt.HasLen, 1)
	c.Check(grantLoads(s, now, submitVersion(s, now, 2, "2")), qt.HasLen, 0)
	actions := s.FinishLoad(now, versionRef("1"), nil)
	c.Check(actionsOf[owner.Start](actions), qt.HasLen, 1)
	loads := grantLoads(s, now, actions)
	c.Assert(loads, qt.HasLen, 1)
	c.Check(loads[0].Ref, qt.Equals, versionRef("2"))
	c.Check(actionsOf[owner.Start](s.FinishLoad(now, versionRef("2"), nil)), qt.HasLen, 1)
}

// TestLoadOfOlderVersionIsDroppedWhenNewerOneIsFound guards against a load of an older version that follows an unload, during which a report
// has shown that the engine holds a newer version.
func TestLoadOfOlderVersionIsDroppedWhenNewerOneIsFound(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := newDiscoveredState(3)
	s.Adopt([]resource.Ref{ref(1), ref(2), ref(3)}, false)
	submitVersion(s, now, 1, "1")
	unload := actionsOf[owner.Unload](s.PermitGranted(now, versionRef("1")))
	c.Assert(unload, qt.HasLen, 1)
	kept := slices.DeleteFunc([]resource.Ref{ref(1), ref(2), ref(3)}, func(r resource.Ref) bool { return r == unload[0].Ref })
	s.RemoveLost(now, kept)
	s.Adopt([]resource.Ref{versionRef("2")}, false)
	actions := s.FinishUnload(now, unload[0].Ref, nil)
	c.Check(actionsOf[owner.Load](actions), qt.HasLen, 0)
	c.Check(actionsOf[owner.ReturnPermit](actions), qt.HasLen, 1)
}

// TestEnginesThatHoldAllVersionsLoadOlderOnes checks that an engine that keeps the versions of an adapter apart may load an older one.
func TestEnginesThatHoldAllVersionsLoadOlderOnes(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := owner.New(owner.Config{Slots: 4, Batch: 4, MaxQueue: 16})
	s.Adopt([]resource.Ref{versionRef("2")}, false)
	c.Check(grantLoads(s, now, submitVersion(s, now, 1, "1")), qt.HasLen, 1)
}
