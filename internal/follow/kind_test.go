package follow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/objects"
)

// TestObjectThatCameBackIsKept: an entry that goes and is back while deletions are held back is there, whether both are in one answer of
// the store or not. Dropped with the time of the deletion, an endpoint that was well got nothing any more from any box.
func TestObjectThatCameBackIsKept(t *testing.T) {
	const name, kind = "e-1", "Endpoint"
	gone := objects.Object{Kind: kind, Name: name, Version: 2, Deleted: true}
	back := objects.Object{Kind: kind, Name: name, Version: 3}
	for _, tt := range []struct {
		name    string
		answers [][]objects.Object
		kept    bool
	}{
		{"gone", [][]objects.Object{{gone}}, false},
		{"gone and back in two answers", [][]objects.Object{{gone}, {back}}, true},
		{"gone and back in one answer", [][]objects.Object{{gone, back}}, true},
		{"back and gone again in one answer", [][]objects.Object{{gone, back, {Kind: kind, Name: name, Version: 4, Deleted: true}}}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			graceUntil := now.Add(time.Second)
			k := newKindState(Kind{Name: kind, Lapses: true})
			k.replace(now, objects.Changes{Revision: 1, Objects: []objects.Object{{Kind: kind, Name: name, Version: 1}}}, time.Time{})
			for _, a := range tt.answers {
				for _, o := range k.changes(now, objects.Changes{Revision: a[len(a)-1].Version, Objects: a}, graceUntil).Objects {
					c.Check(o.Deleted, qt.IsFalse, qt.Commentf("before the time is over"))
				}
			}
			kept := true
			for _, o := range k.changes(graceUntil.Add(time.Second), objects.Changes{Revision: 9}, graceUntil).Objects {
				kept = kept && !o.Deleted
			}
			c.Check(kept, qt.Equals, tt.kept)
		})
	}
}
