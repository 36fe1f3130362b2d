package box_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/fakeengine"
	"github.com/bellgap/bellgap/internal/result"
)

func TestEngineFaults(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetConfig{boxes: 1, engines: []fakeengine.Config{smallEngine()}})
	broken := f.engines[0]
	for _, tt := range []struct {
		name   string
		faults fakeengine.Faults
		stream bool
		// want is the expected result. It is in the last event of the stream if inBody is set, otherwise in the header.
		want   result.Code
		inBody bool
		runs   int
	}{
		{"lost response", fakeengine.Faults{DropResponses: 1}, false, result.AnswerLost, false, 1},
		{"lost end of a stream", fakeengine.Faults{CutStreams: 1}, true, result.StreamCut, true, 1},
		{"response of another adapter", fakeengine.Faults{WrongModelResponses: 1}, false, result.WrongAnswer, false, 1},
		{"stream of another adapter", fakeengine.Faults{WrongModelResponses: 1}, true, result.WrongAnswer, false, 1},
		{"none", fakeengine.Faults{}, true, result.OK, false, 1},
	} {
		c.Run(tt.name, func(c *qt.C) {
			broken.SetFaults(tt.faults)
			before := len(broken.History().Runs)
			a := f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 4, tt.stream))
			code := fmt.Sprint(int(tt.want))
			if tt.inBody {
				c.Check(a.body, qt.Contains, `"code":`+code)
				c.Check(strings.Contains(a.body, "[DONE]"), qt.IsFalse)
			} else {
				c.Check(a.header.Get(result.HeaderCode), qt.Equals, code, qt.Commentf("%s", a.body))
			}
			c.Check(strings.Contains(a.body, `"model":"another@1"`), qt.IsFalse)
			c.Check(len(broken.History().Runs)-before, qt.Equals, tt.runs)
		})
	}
}

// TestRepeatableRequestIsRetried loses the first engine's response to a repeatable request. The request must be retried on another engine.
func TestRepeatableRequestIsRetried(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetConfig{boxes: 1, engines: []fakeengine.Config{smallEngine(), smallEngine()}})
	for _, e := range f.engines {
		e.SetFaults(fakeengine.Faults{DropResponses: 1})
	}
	a := f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 1, false), "Bellgap-Repeatable", "yes")
	c.Check(a.header.Get(result.HeaderCode), qt.Equals, fmt.Sprint(int(result.AnswerLost)))
	c.Check(len(f.engines[0].History().Runs), qt.Equals, 1)
	c.Check(len(f.engines[1].History().Runs), qt.Equals, 1)
	f.engines[0].SetFaults(fakeengine.Faults{DropResponses: 1})
	f.engines[1].SetFaults(fakeengine.Faults{})
	a = f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 1, false), "Bellgap-Repeatable", "yes")
	c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.body))
}

// TestAdapterIsReloadedAfterEngineRestart restarts the only engine after each request, which removes its adapters. The engine refuses the next
// request, and the adapter must be loaded again exactly once.
func TestAdapterIsReloadedAfterEngineRestart(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetConfig{boxes: 1, engines: []fakeengine.Config{smallEngine()}})
	for range 3 {
		a := f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 1, false))
		c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.body))
		f.engines[0].Restart()
	}
	c.Check(f.engines[0].History().Loads, qt.Equals, 3)
}

// TestFailedLoadIsReportedAtOnce makes a load fail. The waiting request must be refused with a Retry-After header well before its deadline, and a
// later request must succeed.
func TestFailedLoadIsReportedAtOnce(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetConfig{boxes: 1, engines: []fakeengine.Config{smallEngine()}})
	f.engines[0].SetFaults(fakeengine.Faults{FailLoads: 1})
	a := f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 1, false))
	checkRefusal(c, a, result.LoadFailed)
	c.Check(a.header.Get("Retry-After"), qt.Equals, "1")
	f.waitUntil(func() bool {
		return f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 1, false)).status == http.StatusOK
	})
}

// TestDisconnectedCallerCancelsItsStream disconnects the caller in the middle of a long stream. The stream must end on the engine.
func TestDisconnectedCallerCancelsItsStream(t *testing.T) {
	c := qt.New(t)
	slow := smallEngine()
	slow.Step = 10 * time.Millisecond
	f := startFleet(c, fleetConfig{boxes: 2, engines: []fakeengine.Config{slow}})
	for _, b := range f.boxes {
		ctx, cancel := context.WithCancel(c.Context())
		url := "http://" + b.CallerAddress().String() + "/v1/completions"
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(completionBody(modelName, 100000, true)))
		c.Assert(err, qt.IsNil)
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		c.Assert(f.engines[0].Report().Running, qt.Equals, 1)
		cancel()
		_ = resp.Body.Close()
		f.waitUntil(func() bool { return f.engines[0].Report().Running == 0 })
	}
}

// TestUnexpectedLoadedAdaptersAreDetected fills the engine's slots with adapters that its owner has not loaded. The owner must free a slot.
func TestUnexpectedLoadedAdaptersAreDetected(t *testing.T) {
	c := qt.New(t)
	small := smallEngine()
	small.Slots = 2
	f := startFleet(c, fleetConfig{boxes: 1, engines: []fakeengine.Config{small}})
	f.waitUntil(func() bool {
		return f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 1, false)).status == http.StatusOK
	})
	f.engines[0].Restart()
	for _, m := range []string{"stray@1", "stray@2"} {
		c.Assert(f.engines[0].ExecuteOrder(c.Context(), engine.Order{Epoch: 1, Action: engine.ActionLoad, Model: m}), qt.IsNil)
	}
	f.waitUntil(func() bool {
		return f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 1, false)).status == http.StatusOK
	})
	// Repeat this without an engine restart, which the owner would detect anyway.
	c.Assert(f.engines[0].ExecuteOrder(c.Context(), engine.Order{Epoch: 1, Action: engine.ActionUnload, Model: modelName}), qt.IsNil)
	for _, m := range []string{"stray@3", "stray@4"} {
		_ = f.engines[0].ExecuteOrder(c.Context(), engine.Order{Epoch: 1, Action: engine.ActionLoad, Model: m})
	}
	f.waitUntil(func() bool {
		return f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 1, false)).status == http.StatusOK
	})
}
