package follow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/objects"
)

// TestReappearedObjectIsKept deletes an object and adds it again while deletions are held back, in one answer of the store or
// in two. The object must be kept. It used to be dropped when the deletion was due, and a healthy endpoint then received no
// more requests from any box.
func TestReappearedObjectIsKept(t *testing.T) {
	const name, kind = "e-1", "Endpoint"
	deleted := objects.Object{Kind: kind, Name: name, Version: 2, Deleted: true}
	added := objects.Object{Kind: kind, Name: name, Version: 3}
	for _, tt := range []struct {
		name    string
		answers [][]objects.Object
		kept    bool
	}{
		{"gone", [][]objects.Object{{deleted}}, false},
		{"deleted and added in two answers", [][]objects.Object{{deleted}, {added}}, true},
		{"deleted and added in one answer", [][]objects.Object{{deleted, added}}, true},
		{"deleted, added and deleted in one answer", [][]objects.Object{{deleted, added, {Kind: kind, Name: name, Version: 4, Deleted: true}}}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			graceUntil := now.Add(time.Second)
			k := newKindWatcher(Kind{Name: kind, MayExpire: true})
			k.processList(now, objects.Changes{Revision: 1, Objects: []objects.Object{{Kind: kind, Name: name, Version: 1}}}, time.Time{})
			for _, a := range tt.answers {
				for _, o := range k.processWatch(now, objects.Changes{Revision: a[len(a)-1].Version, Objects: a}, graceUntil).Objects {
					c.Check(o.Deleted, qt.IsFalse, qt.Commentf("deletion before graceUntil"))
				}
			}
			kept := true
			for _, o := range k.processWatch(graceUntil.Add(time.Second), objects.Changes{Revision: 9}, graceUntil).Objects {
				kept = kept && !o.Deleted
			}
			c.Check(kept, qt.Equals, tt.kept)
		})
	}
}
