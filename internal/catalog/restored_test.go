package catalog_test

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/lease"
	"github.com/bellgap/bellgap/internal/objects"
)

// TestBoxesOfRestoredMapAreUnconfirmed guards against a box that starts after a restore of the store sending callers to boxes that only the restored
// cell map lists, and against a box that knew the map before distrusting it.
func TestBoxesOfRestoredMapAreUnconfirmed(t *testing.T) {
	write := func(generation int64, writtenIn, storedIn int64, revision int64) objects.Object {
		value, err := json.Marshal(coordinator.Map{
			Cell: "c", Generation: generation, Lease: lease.EpochBase(writtenIn) + 1, Members: []coordinator.Member{{Box: "a"}},
		})
		if err != nil {
			t.Fatal(err)
		}
		return objects.Object{Kind: coordinator.MapKind, Name: "c", Version: objects.NewPosition(storedIn, revision), Value: value}
	}
	for _, tt := range []struct {
		name        string
		writes      []objects.Object
		unconfirmed []string
	}{
		{"written in this era", []objects.Object{write(1, 2, 2, 5)}, nil},
		{"restored", []objects.Object{write(1, 1, 2, 5)}, []string{"a"}},
		{"restored, then written", []objects.Object{write(1, 1, 2, 5), write(2, 2, 2, 6)}, nil},
		{"restored twice", []objects.Object{write(1, 1, 2, 5), write(2, 1, 3, 6)}, []string{"a"}},
		{"known before the restore", []objects.Object{write(1, 1, 1, 9), write(1, 1, 2, 5)}, nil},
		{"a newer one known before", []objects.Object{write(2, 1, 1, 9), write(1, 1, 2, 5)}, nil},
		{"a store without eras", []objects.Object{write(1, 0, 0, 5)}, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			cat := catalog.New()
			for _, o := range tt.writes {
				cat.Apply(objects.Changes{Revision: o.Version, Objects: []objects.Object{o}})
			}
			topology := cat.Topology()
			c.Assert(topology.Boxes, qt.HasLen, 1)
			c.Check(slices.Collect(maps.Keys(topology.Unconfirmed)), qt.DeepEquals, tt.unconfirmed)
		})
	}
}
