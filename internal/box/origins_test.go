package box

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/objects"
)

// catalogOfBoxes returns a catalog whose cell map has the given number of boxes in four zones. The address of box i ends with i.
func catalogOfBoxes(tb testing.TB, boxes int) *catalog.Catalog {
	m := coordinator.Map{Cell: "default", Generation: 1}
	for i := range boxes {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		m.Members = append(m.Members, coordinator.Member{Box: fmt.Sprint("box-", i), Zone: fmt.Sprint("zone-", i%4), Peer: address})
	}
	value, err := json.Marshal(m)
	qt.Assert(tb, err, qt.IsNil)
	cat := catalog.New()
	cat.Apply(objects.Changes{Revision: 1, Objects: []objects.Object{{Kind: coordinator.MapKind, Name: m.Cell, Version: 1, Value: value}}})
	return cat
}

// TestKeepersOfOrigins checks that two boxes select the same keepers but for themselves, in different zones, and never themselves.
func TestKeepersOfOrigins(t *testing.T) {
	for _, boxes := range []int{1, 2, 6, 90, 370} {
		t.Run(fmt.Sprint(boxes), func(t *testing.T) {
			c := qt.New(t)
			cat := catalogOfBoxes(t, boxes)
			serving, asking := newOriginFleet(cat, "box-0"), newOriginFleet(cat, "box-1")
			own := netip.MustParseAddrPort("10.0.0.0:80")
			for i := range 200 {
				attempt := fmt.Sprint("attempt-", i)
				keepers, asked := serving.Keepers(attempt, 3), asking.Keepers(attempt, 5)
				c.Assert(keepers, qt.HasLen, min(3, boxes-1))
				zones := map[int]bool{}
				known := 0
				for _, k := range keepers {
					c.Assert(k, qt.Not(qt.Equals), own)
					zones[int(k.Addr().As4()[3])%4] = true
					for _, a := range asked {
						if a == k {
							known++
						}
					}
				}
				if boxes >= 90 {
					c.Assert(len(zones), qt.Equals, 3)
				}
				if boxes > 2 {
					c.Assert(known >= 2, qt.IsTrue, qt.Commentf("%d of the keepers are asked", known))
				}
			}
		})
	}
}

func BenchmarkKeepersOfOrigins(b *testing.B) {
	f := newOriginFleet(catalogOfBoxes(b, 370), "box-0")
	b.ReportAllocs()
	for b.Loop() {
		f.Keepers("9c41d07be2a35f68", 3)
	}
}
