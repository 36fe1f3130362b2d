package cli

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/demand"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/share"
)

// TestSummaryOfHundredsOfBoxes checks that the status of 300 boxes fits on one screen and lists degraded boxes and engines first.
func TestSummaryOfHundredsOfBoxes(t *testing.T) {
	c := qt.New(t)
	topology := catalog.Topology{Boxes: map[string]coordinator.Member{}, Engines: map[string]catalog.EngineView{}}
	for i := range 300 {
		box := coordinator.Member{Box: fmt.Sprintf("box-%03d", i), Zone: fmt.Sprint("zone-", i%4), Silent: i%20 == 0, Leaving: i == 7}
		topology.Boxes[box.Box] = box
		name := fmt.Sprintf("engine-%03d", i)
		topology.Engines[name] = catalog.EngineView{Name: name, Spec: &resource.Engine{Zone: box.Zone}, Owner: box}
	}
	topology.Engines["engine-000"] = catalog.EngineView{Name: "engine-000", Spec: &resource.Engine{Zone: "zone-0"}}
	var out bytes.Buffer
	s := summarize(topology, "box-001", "default")
	s.print(&out)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	c.Check(lines, qt.DeepEquals, []string{
		"silent boxes: 15: box-000 box-020 box-040 box-060 box-080 box-100 box-120 box-140 box-160 box-180 and 5 more",
		"leaving boxes: 1: box-007",
		"engines without owner: 1: engine-000",
		"ZONE\tBOXES\tSILENT\tLEAVING\tAGGREGATORS\tENGINES\tNO OWNER",
		"zone-0\t75\t15\t0\t3\t75\t1",
		"zone-1\t75\t0\t0\t4\t75\t0",
		"zone-2\t75\t0\t0\t4\t75\t0",
		"zone-3\t75\t0\t1\t4\t75\t0",
	})
}

// TestShortagesAreListed checks the lines for a service that is short, which docs/OPERATIONS.md shows.
func TestShortagesAreListed(t *testing.T) {
	var out bytes.Buffer
	printShortages(&out, []share.Shortage{{Service: "chat", For: 6200 * time.Millisecond, FromFleet: true, Shares: []demand.Share{
		{Service: "chat", Urgency: 10, Asked: 42, Served: 0.41, Admit: 1}, {Service: "chat", Customer: "mill", Asked: 44.5, Served: 0.27, Admit: 0.261},
	}}})
	qt.Check(t, out.String(), qt.Equals, "service chat is short for 6.2s, by the demand on all boxes\n"+
		"  urgency 10\tasked=42.0/s\tserved=0.410\tadmitted=1.000\n  customer mill\tasked=44.5/s\tserved=0.270\tadmitted=0.261\n")
}
