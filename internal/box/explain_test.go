package box_test

import (
	"encoding/json"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/fakeengine"
	"github.com/bellgap/bellgap/internal/operator"
	"github.com/bellgap/bellgap/internal/result"
)

func TestExplain(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetConfig{boxes: 1, engines: []fakeengine.Config{smallEngine(), smallEngine()}})
	for _, e := range f.engines {
		e.SetFaults(fakeengine.Faults{FailLoads: 1})
	}
	checkRefusal(c, f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 1, false), result.HeaderRequest, "why"), result.LoadFailed)
	url := "http://" + f.boxes[0].OperatorAddress().String() + "/explain?of="
	for _, tt := range []struct {
		query      string
		candidates int
	}{{"why", 0}, {modelName, 2}} {
		var e operator.Explanation
		c.Assert(json.Unmarshal([]byte(f.send(http.MethodGet, url+tt.query, nil).body), &e), qt.IsNil)
		c.Check(e.Candidates, qt.HasLen, tt.candidates)
		c.Assert(e.Requests, qt.HasLen, 1)
		c.Check(e.Requests[0].Result, qt.Equals, result.LoadFailed)
		c.Assert(e.Requests[0].Tries, qt.HasLen, 2)
		for _, try := range e.Requests[0].Tries {
			c.Check(try.Result, qt.Equals, "load_failed")
			c.Check(try.Detail, qt.Contains, "failed to load 1 times")
		}
	}
	checkRefusal(c, f.send(http.MethodGet, url+"unheard-of", nil), result.NoSuchResource)
}
