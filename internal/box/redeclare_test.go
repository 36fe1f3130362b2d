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

// TestRedeclaredEngine moves a declared engine to another address in the middle of a stream.
func TestRedeclaredEngine(t *testing.T) {
	c := qt.New(t)
	slow := smallEngine()
	slow.Step = 10 * time.Millisecond
	f := startFleet(c, fleetConfig{boxes: 2, engines: []fakeengine.Config{slow}})
	var group errgroup.Group
	var kept answer
	group.Go(func() error {
		kept = f.ask(f.boxes[0], "/v1/completions", completion(modelName, 200, true))
		return nil
	})
	f.until(func() bool { return f.engines[0].Report().Running == 1 })
	moved := fakeengine.New(smallEngine())
	f.declare("engine-1", &resource.Engine{
		Address: f.listen(moved.Handler()), Box: "host-1", Zone: zone, BaseModel: baseModel, Slots: 4, Batch: 8, ChecksEpochs: true,
	})
	f.until(func() bool {
		a := f.ask(f.boxes[1], "/v1/completions", completion(modelName, 1, false))
		c.Assert(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.body))
		return len(moved.History().Runs) > 0
	})
	c.Assert(group.Wait(), qt.IsNil)
	c.Check(strings.HasSuffix(kept.body, "data: [DONE]\n\n"), qt.IsTrue, qt.Commentf("%s", kept.body))
}
