package box_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/fakeengine"
	"github.com/bellgap/bellgap/internal/invariant"
)

// TestSkewedRequestsForManyAdapters sends requests for 5,000 adapters, with a Zipf distribution, through three boxes and two engines.
func TestSkewedRequestsForManyAdapters(t *testing.T) {
	const adapters, workers, requests = 5000, 6, 100
	c := qt.New(t)
	fast := fakeengine.Config{Slots: 8, Batch: 16, ChecksEpochs: true}
	f := startFleet(c, fleetConfig{engines: []fakeengine.Config{fast, fast}})
	c.Assert(f.platform.DeclareAdapters(c.Context(), adapters, baseModel), qt.IsNil)
	for i := range 3 {
		f.addBox(fmt.Sprintf("box-%d", i+1))
	}
	f.waitUntilSettled(3, 2)
	var group errgroup.Group
	for w := range workers {
		group.Go(func() error {
			r := rand.New(rand.NewPCG(uint64(w), 9))
			zipf := rand.NewZipf(r, 1.1, 1, adapters-1)
			for i := range requests {
				model := fmt.Sprintf("adapter-%05d@1", zipf.Uint64())
				a := f.post(f.boxes[i%3], "/v1/completions", completionBody(model, 3, i%2 == 0))
				if a.status != http.StatusOK || !strings.Contains(a.body, model+":2 ") || strings.Count(a.body, `"model":`) != strings.Count(a.body, `"model":"`+model+`"`) {
					return fmt.Errorf("%s: status %d: %s", model, a.status, a.body)
				}
			}
			return nil
		})
	}
	c.Assert(group.Wait(), qt.IsNil)
	loads := 0
	for _, e := range f.engines {
		h := e.History()
		loads += h.Loads
		c.Check(invariant.CheckUnloads(h.Violations), qt.IsNil)
	}
	t.Logf("%d requests, %d loads", workers*requests, loads)
}
