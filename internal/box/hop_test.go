package box_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/fakeengine"
	"github.com/bellgap/bellgap/internal/gateway"
)

// TestLongResponseThroughOtherBox requests a response that is not streamed from both boxes. The response takes longer than a box waits for an owner
// that sends nothing.
func TestLongResponseThroughOtherBox(t *testing.T) {
	c := qt.New(t)
	slow := smallEngine()
	slow.Step = 100 * time.Millisecond
	f := startFleet(c, fleetConfig{boxes: 2, engines: []fakeengine.Config{slow}})
	for _, b := range f.boxes {
		a := f.post(b, "/v1/completions", completionBody(modelName, 25, false))
		c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.body))
	}
	c.Check(f.engines[0].History().Runs, qt.HasLen, 2)
}

// TestDisconnectedCallerDoesNotMarkOwnerFailed disconnects callers while their requests wait for a load. The boxes must still name the same owner
// afterwards.
func TestDisconnectedCallerDoesNotMarkOwnerFailed(t *testing.T) {
	c := qt.New(t)
	loading := make(chan struct{}, 10)
	stuck := smallEngine()
	stuck.Fetch = func(ctx context.Context, _ string) error {
		loading <- struct{}{}
		<-ctx.Done()
		return ctx.Err()
	}
	f := startFleet(c, fleetConfig{boxes: 2, engines: []fakeengine.Config{stuck}})
	before := f.send(http.MethodGet, "http://"+f.boxes[0].CallerAddress().String()+"/locate?model="+modelName, nil).body
	for _, b := range f.boxes {
		ctx, cancel := context.WithCancel(c.Context())
		url := "http://" + b.CallerAddress().String() + "/v1/completions"
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(completionBody(modelName, 1, false)))
		c.Assert(err, qt.IsNil)
		req.Header.Set(gateway.HeaderTimeout, "1m")
		time.AfterFunc(100*time.Millisecond, cancel)
		_, err = http.DefaultClient.Do(req)
		c.Assert(err, qt.ErrorIs, context.Canceled)
	}
	<-loading
	f.waitUntil(func() bool { return f.boxes[0].InFlight()+f.boxes[1].InFlight() == 0 })
	for _, b := range f.boxes {
		after := f.send(http.MethodGet, "http://"+b.CallerAddress().String()+"/locate?model="+modelName, nil).body
		c.Check(after, qt.Equals, before)
	}
}
