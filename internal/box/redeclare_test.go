package box_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/fakeengine"
	"github.com/bellgap/bellgap/internal/resource"
)

// TestEngineAddressChangeDuringStream changes the declared address of an engine in the middle of a stream. The stream must complete, and new requests
// must go to the new address.
func TestEngineAddressChangeDuringStream(t *testing.T) {
	c := qt.New(t)
	slow := smallEngine()
	slow.Step = 10 * time.Millisecond
	f := startFleet(c, fleetConfig{boxes: 2, engines: []fakeengine.Config{slow}})
	var group errgroup.Group
	var streamed response
	group.Go(func() error {
		streamed = f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 200, true))
		return nil
	})
	f.waitUntil(func() bool { return f.engines[0].Report().Running == 1 })
	moved := fakeengine.New(smallEngine())
	f.declare("engine-1", &resource.Engine{
		Address: f.startServer(moved.Handler()), Box: "host-1", Zone: zone, BaseModel: baseModel, Slots: 4, Batch: 8, ChecksEpochs: true,
	})
	f.waitUntil(func() bool {
		a := f.post(f.boxes[1], "/v1/completions", completionBody(modelName, 1, false))
		c.Assert(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.body))
		return len(moved.History().Runs) > 0
	})
	c.Assert(group.Wait(), qt.IsNil)
	c.Check(strings.HasSuffix(streamed.body, "data: [DONE]\n\n"), qt.IsTrue, qt.Commentf("%s", streamed.body))
}
