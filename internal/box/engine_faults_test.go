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
		// want is the result; inBody says that it stands in the stream's last event.
		want   result.Code
		inBody bool
		runs   int
	}{
		{"lost answer", fakeengine.Faults{LoseAnswers: 1}, false, result.AnswerLost, false, 1},
		{"lost answer of a stream", fakeengine.Faults{CutStreams: 1}, true, result.StreamCut, true, 1},
		{"answer for another adapter", fakeengine.Faults{WrongAnswers: 1}, false, result.WrongAnswer, false, 1},
		{"stream for another adapter", fakeengine.Faults{WrongAnswers: 1}, true, result.WrongAnswer, false, 1},
		{"none", fakeengine.Faults{}, true, result.OK, false, 1},
	} {
		c.Run(tt.name, func(c *qt.C) {
			broken.SetFaults(tt.faults)
			before := len(broken.History().Runs)
			a := f.ask(f.boxes[0], "/v1/completions", completion(modelName, 4, tt.stream))
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

// TestRepeatableIsRepeated loses an answer of a request that may be repeated: another engine gives it.
func TestRepeatableIsRepeated(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetConfig{boxes: 1, engines: []fakeengine.Config{smallEngine(), smallEngine()}})
	for _, e := range f.engines {
		e.SetFaults(fakeengine.Faults{LoseAnswers: 1})
	}
	a := f.ask(f.boxes[0], "/v1/completions", completion(modelName, 1, false), "Bellgap-Repeatable", "yes")
	c.Check(a.header.Get(result.HeaderCode), qt.Equals, fmt.Sprint(int(result.AnswerLost)))
	c.Check(len(f.engines[0].History().Runs), qt.Equals, 1)
	c.Check(len(f.engines[1].History().Runs), qt.Equals, 1)
	f.engines[0].SetFaults(fakeengine.Faults{LoseAnswers: 1})
	f.engines[1].SetFaults(fakeengine.Faults{})
	a = f.ask(f.boxes[0], "/v1/completions", completion(modelName, 1, false), "Bellgap-Repeatable", "yes")
	c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.body))
}

// TestRestartedEngineIsLoadedAgain empties the only engine; its refusal moves nothing but the next load.
func TestRestartedEngineIsLoadedAgain(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetConfig{boxes: 1, engines: []fakeengine.Config{smallEngine()}})
	for range 3 {
		a := f.ask(f.boxes[0], "/v1/completions", completion(modelName, 1, false))
		c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.body))
		f.engines[0].Restart()
	}
	c.Check(f.engines[0].History().Loads, qt.Equals, 3)
}

// TestFailedLoadIsToldAtOnce fails the loads of an adapter: waiters are told, and when to come back, well before their deadline.
func TestFailedLoadIsToldAtOnce(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetConfig{boxes: 1, engines: []fakeengine.Config{smallEngine()}})
	f.engines[0].SetFaults(fakeengine.Faults{FailLoads: 1})
	a := f.ask(f.boxes[0], "/v1/completions", completion(modelName, 1, false))
	checkRefusal(c, a, result.LoadFailed)
	c.Check(a.header.Get("Retry-After"), qt.Equals, "1")
	f.until(func() bool {
		return f.ask(f.boxes[0], "/v1/completions", completion(modelName, 1, false)).status == http.StatusOK
	})
}

// TestCallerThatGoesCancelsItsStream leaves in the middle of a long stream.
func TestCallerThatGoesCancelsItsStream(t *testing.T) {
	c := qt.New(t)
	slow := smallEngine()
	slow.Step = 10 * time.Millisecond
	f := startFleet(c, fleetConfig{boxes: 2, engines: []fakeengine.Config{slow}})
	for _, b := range f.boxes {
		ctx, cancel := context.WithCancel(c.Context())
		url := "http://" + b.CallerAddress().String() + "/v1/completions"
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(completion(modelName, 100000, true)))
		c.Assert(err, qt.IsNil)
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		c.Assert(f.engines[0].Report().Running, qt.Equals, 1)
		cancel()
		_ = resp.Body.Close()
		f.until(func() bool { return f.engines[0].Report().Running == 0 })
	}
}

// TestUnknownAdaptersAreFound fills the engine's slots behind its owner's back.
func TestUnknownAdaptersAreFound(t *testing.T) {
	c := qt.New(t)
	small := smallEngine()
	small.Slots = 2
	f := startFleet(c, fleetConfig{boxes: 1, engines: []fakeengine.Config{small}})
	f.until(func() bool {
		return f.ask(f.boxes[0], "/v1/completions", completion(modelName, 1, false)).status == http.StatusOK
	})
	f.engines[0].Restart()
	for _, m := range []string{"stray@1", "stray@2"} {
		c.Assert(f.engines[0].Order(c.Context(), engine.Order{Epoch: 1, Action: engine.ActionLoad, Model: m}), qt.IsNil)
	}
	f.until(func() bool {
		return f.ask(f.boxes[0], "/v1/completions", completion(modelName, 1, false)).status == http.StatusOK
	})
	// And now once more without a restart, which the owner would notice by itself.
	c.Assert(f.engines[0].Order(c.Context(), engine.Order{Epoch: 1, Action: engine.ActionUnload, Model: modelName}), qt.IsNil)
	for _, m := range []string{"stray@3", "stray@4"} {
		_ = f.engines[0].Order(c.Context(), engine.Order{Epoch: 1, Action: engine.ActionLoad, Model: m})
	}
	f.until(func() bool {
		return f.ask(f.boxes[0], "/v1/completions", completion(modelName, 1, false)).status == http.StatusOK
	})
}
