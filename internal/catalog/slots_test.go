package catalog_test

import (
	"encoding/json"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/resource"
)

// TestSpareSlot checks that only scarce engines use their last adapter slot, and only if that is enabled. Other engines would lose the slot
// that protects them from loads without an answer.
func TestSpareSlot(t *testing.T) {
	for _, tt := range []struct {
		name        string
		scarceSlots int
		allSlots    bool
		want        int
	}{
		{"not scarce", 4, true, 4},
		{"scarce", 5, true, 5},
		{"scarce, switched off", 5, false, 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			cat := catalog.New()
			cat.SetScarceSlots(tt.scarceSlots)
			cat.SetAllSlots(tt.allSlots)
			for i, r := range []resource.Resource{
				{Kind: resource.KindRouting, Name: catalog.RoutingName, Generation: 1, Spec: &resource.Routing{Version: 1, Services: []resource.RouteService{
					{Name: "s", Engine: &resource.EngineClass{Batch: 4, KVTokens: 1000, AdapterSlots: 5, WeightsMB: 100}},
				}}},
				{Kind: resource.KindEndpoint, Name: "e", Generation: 1, Spec: &resource.Endpoint{
					Service: "s", Zone: "a", Slots: 4, BaseModel: "m", Address: netip.MustParseAddrPort("192.0.2.1:80"),
				}},
			} {
				value, err := json.Marshal(r)
				c.Assert(err, qt.IsNil)
				version := objects.Position(i + 1)
				cat.Apply(objects.Changes{Revision: version, Objects: []objects.Object{{Kind: string(r.Kind), Name: r.Name, Version: version, Value: value}}})
			}
			c.Assert(cat.Topology().Engines["e"].Spec, qt.IsNotNil)
			c.Check(cat.Topology().Engines["e"].Spec.Slots, qt.Equals, tt.want)
		})
	}
}
