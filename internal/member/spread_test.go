package member_test

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/objects"
)

// fakeSpread distributes no changes. If refuse is set, it permits only small messages.
type fakeSpread struct{ refuse atomic.Bool }

func (s *fakeSpread) KnownRevisions() map[string]objects.Position {
	return map[string]objects.Position{}
}

func (s *fakeSpread) ChangesSince(map[string]objects.Position) ([]objects.KindChanges, time.Duration) {
	return nil, 0
}

func (s *fakeSpread) MaySend(size int) bool { return size < 1000 || !s.refuse.Load() }

func (s *fakeSpread) ApplyChanges([]objects.KindChanges, time.Duration) {}

// Confirmations implements member.Spread.
func (s *fakeSpread) Confirmations() map[string]objects.Confirmation { return nil }

// ApplyConfirmations implements member.Spread.
func (s *fakeSpread) ApplyConfirmations(map[string]objects.Confirmation, time.Time) {}

// TestMapUpdatesAreBounded sends a coordinator heartbeats of boxes that have maps of different generations. It checks which boxes are
// sent a map, and that others are asked to read it from the platform if the message would be too large.
func TestMapUpdatesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 0, 40)
		defer cl.stopAll()
		s := &fakeSpread{}
		cl.spread = s
		cl.startBox("box-000", 0)
		cl.waitForOwners()
		cl.advance(5 * time.Second)
		sender := cl.coordinator()
		newest, _, _ := sender.catalog.Map(cell)
		cl.c.Assert(newest.Generation > 1, qt.IsTrue)
		for _, test := range []struct {
			name            string
			knownGeneration int64
			refuse          bool
			// wantMap is set if the reply has a map, wantWhole if that is the whole map, wantAsk if the box has to read it from the platform.
			wantMap, wantWhole, wantAsk bool
		}{
			{name: "newest", knownGeneration: newest.Generation},
			{name: "newest, refused", knownGeneration: newest.Generation, refuse: true},
			{name: "one generation before", knownGeneration: newest.Generation - 1, wantMap: true},
			{name: "none", knownGeneration: 0, wantMap: true, wantWhole: true},
			{name: "none, refused", knownGeneration: 0, refuse: true, wantAsk: true},
			{name: "newer than the coordinator knows", knownGeneration: newest.Generation + 1},
			{name: "newer than the coordinator knows, refused", knownGeneration: newest.Generation + 1, refuse: true},
		} {
			s.refuse.Store(test.refuse)
			reply, err := sender.HandleBeat(coordinator.Beat{
				Member: coordinator.Member{Box: "box-000", Zone: zone, Incarnation: "other"}, Known: map[string]objects.Position{}, MapGeneration: test.knownGeneration,
			})
			comment := qt.Commentf("%s", test.name)
			cl.c.Assert(err, qt.IsNil, comment)
			cl.c.Check(reply.Map != nil, qt.Equals, test.wantMap, comment)
			cl.c.Check(reply.Map != nil && reply.Map.From == 0, qt.Equals, test.wantWhole, comment)
			ask := slices.ContainsFunc(reply.Changes, func(ch objects.KindChanges) bool { return ch.Kind == coordinator.MapKind && ch.MustRefetch })
			cl.c.Check(ask, qt.Equals, test.wantAsk, comment)
		}
	})
}

// TestCoordinatorAppliesItsStoredMap loses a box while the coordinator reads no changes from the store. It guards against a coordinator
// that sends callers to a lost box until it has read back the map in which it hides the box.
func TestCoordinatorAppliesItsStoredMap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newTimedCluster(t, 0, 6, 4*time.Millisecond, routedTiming())
		defer cl.stopAll()
		cl.spread = &fakeSpread{}
		for i := range 3 {
			cl.startBox(fmt.Sprintf("box-%03d", i), i)
		}
		cl.waitForOwners()
		cl.advance(20 * time.Second)
		n := cl.coordinator()
		lost := cl.otherNode(n)
		n.setMissesChanges(true)
		lost.suspend()
		cl.waitUntil(5*time.Second, func() bool { return !cl.storedMapShows(lost.name) })
		// The answer to the write takes some milliseconds.
		cl.advance(100 * time.Millisecond)
		m, _, _ := n.catalog.Map(cell)
		shown := slices.ContainsFunc(m.Members, func(b coordinator.Member) bool { return b.Box == lost.name && !b.Silent })
		cl.c.Check(shown, qt.IsFalse)
	})
}
