package member_test

import (
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/objects"
)

// spread passes no changes on; what it may tell is set.
type spread struct{ refuse atomic.Bool }

func (s *spread) Known() map[string]objects.Position { return map[string]objects.Position{} }

func (s *spread) Since(map[string]objects.Position) ([]objects.KindChanges, time.Duration) {
	return nil, 0
}

func (s *spread) MayTell(size int) bool { return size < 1000 || !s.refuse.Load() }

func (s *spread) Take([]objects.KindChanges, time.Duration) {}

// Confirmed implements member.Spread.
func (s *spread) Confirmed() map[string]objects.Confirmation { return nil }

// Confirm implements member.Spread.
func (s *spread) Confirm(map[string]objects.Confirmation, time.Time) {}

// TestMapIsToldWithinBounds asks a coordinator with boxes that know maps of several generations.
func TestMapIsToldWithinBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 0, 40)
		defer cl.end()
		s := &spread{}
		cl.spread = s
		cl.start("box-000", 0)
		cl.settle()
		cl.run(5 * time.Second)
		teller := cl.coordinator()
		newest, _, _ := teller.catalog.Map(cell)
		cl.c.Assert(newest.Generation > 1, qt.IsTrue)
		for _, test := range []struct {
			name   string
			has    int64
			refuse bool
			// told says that the reply has a map, whole that it is all of it, ask that the box is to ask the platform for it.
			told, whole, ask bool
		}{
			{name: "newest", has: newest.Generation},
			{name: "newest, refused", has: newest.Generation, refuse: true},
			{name: "one before", has: newest.Generation - 1, told: true},
			{name: "none", has: 0, told: true, whole: true},
			{name: "none, refused", has: 0, refuse: true, ask: true},
			{name: "one that the coordinator has not heard of", has: newest.Generation + 1},
			{name: "one that the coordinator has not heard of, refused", has: newest.Generation + 1, refuse: true},
		} {
			s.refuse.Store(test.refuse)
			reply, err := teller.HandleBeat(coordinator.Beat{
				Member: coordinator.Member{Box: "box-000", Zone: zone, Incarnation: "other"}, Known: map[string]objects.Position{}, MapGeneration: test.has,
			})
			comment := qt.Commentf("%s", test.name)
			cl.c.Assert(err, qt.IsNil, comment)
			cl.c.Check(reply.Map != nil, qt.Equals, test.told, comment)
			cl.c.Check(reply.Map != nil && reply.Map.From == 0, qt.Equals, test.whole, comment)
			ask := slices.ContainsFunc(reply.Changes, func(ch objects.KindChanges) bool { return ch.Kind == coordinator.MapKind && ch.Ask })
			cl.c.Check(ask, qt.Equals, test.ask, comment)
		}
	})
}
