package catalog_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/resource"
)

// TestKindSize checks that KindChangesSize is within a quarter of the encoded size of the changes.
func TestKindSize(t *testing.T) {
	c := qt.New(t)
	kind := string(resource.KindEndpoint)
	cat := catalog.New()
	for i := range objects.Position(100) {
		name := fmt.Sprint("endpoint-", i)
		value, err := json.Marshal(resource.Resource{Kind: resource.KindEndpoint, Name: name, Generation: int64(i + 1), Spec: &resource.Endpoint{
			Service: "summaries", Zone: "a", Slots: 8, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		}})
		c.Assert(err, qt.IsNil)
		cat.Apply(objects.Changes{Revision: i + 1, Objects: []objects.Object{{Kind: kind, Name: name, Version: i + 1, Value: value}}})
	}
	for i := range objects.Position(10) {
		cat.Apply(objects.Changes{Revision: 101 + i, Objects: []objects.Object{
			{Kind: kind, Name: fmt.Sprint("endpoint-", i), Version: 101 + i, Deleted: true},
		}})
	}
	for _, test := range []struct {
		name     string
		from     objects.Position
		wantZero bool
	}{
		{name: "all", from: 0},
		{name: "some", from: 50},
		{name: "deletions", from: 100},
		{name: "none", from: 110, wantZero: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			changed, _ := cat.KindChangesSince(kind, test.from)
			message, err := json.Marshal(changed)
			c.Assert(err, qt.IsNil)
			size := cat.KindChangesSize(kind, test.from)
			if test.wantZero {
				c.Check(size, qt.Equals, 0)
				return
			}
			c.Check(size > len(message)*3/4 && size < len(message)*5/4, qt.IsTrue,
				qt.Commentf("KindChangesSize returned %d bytes, encoded %d bytes", size, len(message)))
		})
	}
}
