package box_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/fakeengine"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// TestPlannedStopInterruptsNoRequest stops a box while streams run through it and the other boxes receive requests. No request may fail.
func TestPlannedStopInterruptsNoRequest(t *testing.T) {
	c := qt.New(t)
	engine := smallEngine()
	engine.Step = 20 * time.Millisecond
	f := startFleet(c, fleetConfig{boxes: 3, engines: []fakeengine.Config{engine, engine}})
	leaving := f.boxes[0]
	var group errgroup.Group
	var mu sync.Mutex
	var answers []response
	record := func(a response) {
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, a)
	}
	for range 6 {
		group.Go(func() error {
			record(f.post(leaving, "/v1/completions", completionBody(modelName, 50, true)))
			return nil
		})
	}
	f.waitUntil(func() bool { return f.engines[0].Report().Running+f.engines[1].Report().Running == 6 })
	leaving.stop()
	for i := range 200 {
		record(f.post(f.boxes[1+i%2], "/v1/completions", completionBody(modelName, 1, false)))
	}
	c.Check(leaving.group.Wait(), qt.IsNil)
	c.Assert(group.Wait(), qt.IsNil)
	for _, a := range answers {
		c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.body))
		c.Check(strings.HasPrefix(a.body, "data: ") && !strings.HasSuffix(a.body, "data: [DONE]\n\n"), qt.IsFalse, qt.Commentf("%s", a.body))
	}
	for _, e := range f.engines {
		c.Check(e.History().Violations, qt.HasLen, 0)
	}
}

// TestLeavingBoxRefersCallersToOtherBox sends a request to a box that is leaving but still serves a stream. The refusal must name the other box.
func TestLeavingBoxRefersCallersToOtherBox(t *testing.T) {
	c := qt.New(t)
	engine := smallEngine()
	engine.Step = 20 * time.Millisecond
	f := startFleet(c, fleetConfig{boxes: 2, engines: []fakeengine.Config{engine}})
	var group errgroup.Group
	var streamed response
	group.Go(func() error {
		streamed = f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 60, true))
		return nil
	})
	f.waitUntil(func() bool { return f.engines[0].Report().Running == 1 })
	f.boxes[0].stop()
	var a response
	f.waitUntil(func() bool {
		a = f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 1, false))
		return a.status != http.StatusOK
	})
	checkRefusal(c, a, result.Leaving)
	c.Check(a.body, qt.Contains, f.boxes[1].CallerAddress().String())
	c.Check(a.header.Get("Retry-After"), qt.Equals, "1")
	c.Assert(group.Wait(), qt.IsNil)
	c.Check(strings.HasSuffix(streamed.body, "data: [DONE]\n\n"), qt.IsTrue, qt.Commentf("%s", streamed.body))
}

// TestEngineOnLeavingBoxGetsNoNewRequests lists an engine's box as leaving during a stream of this engine. The stream must continue, and new requests
// must go to the other engine.
func TestEngineOnLeavingBoxGetsNoNewRequests(t *testing.T) {
	c := qt.New(t)
	engine := smallEngine()
	engine.Step = 10 * time.Millisecond
	f := startFleet(c, fleetConfig{boxes: 2, engines: []fakeengine.Config{engine, engine}})
	var group errgroup.Group
	var streamed response
	group.Go(func() error {
		streamed = f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 100, true))
		return nil
	})
	running := func(i int) bool { return f.engines[i].Report().Running > 0 }
	f.waitUntil(func() bool { return running(0) || running(1) })
	leaving := 0
	if running(1) {
		leaving = 1
	}
	f.platform.SetBoxes([]objects.Box{{Name: fmt.Sprintf("host-%d", leaving+1), State: objects.BoxLeaving}})
	for _, b := range f.boxes {
		f.waitUntil(func() bool { return len(b.Topology().ByModel[baseModel]) == 1 })
	}
	before := len(f.engines[leaving].History().Runs)
	for i := range 40 {
		a := f.post(f.boxes[i%2], "/v1/completions", completionBody(modelName, 1, false))
		c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.body))
	}
	c.Check(f.engines[leaving].History().Runs, qt.HasLen, before)
	c.Assert(group.Wait(), qt.IsNil)
	c.Check(strings.HasSuffix(streamed.body, "data: [DONE]\n\n"), qt.IsTrue, qt.Commentf("%s", streamed.body))
}

// TestPlannedStopAnswersCallsThatOutlastIt guards against calls of bellgap's own interface that get no answer at all when their box ends before they do.
func TestPlannedStopAnswersCallsThatOutlastIt(t *testing.T) {
	c := qt.New(t)
	engine := smallEngine()
	engine.Step = 20 * time.Millisecond
	f := startFleet(c, fleetConfig{boxes: 2, engines: []fakeengine.Config{engine}, leave: 2 * time.Second})
	arrived := make(chan struct{}, 1)
	hanging := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if b, _ := io.ReadAll(r.Body); string(b) == "probe" {
			return
		}
		arrived <- struct{}{}
		<-r.Context().Done()
	}))
	c.Cleanup(hanging.Close)
	f.declare("hanging", &resource.Service{Addresses: []netip.AddrPort{netip.MustParseAddrPort(hanging.Listener.Addr().String())}, Timeout: resource.Duration(time.Minute)})
	leaving := f.boxes[0]
	f.waitUntil(func() bool { return f.post(leaving, "/services/hanging/x", "probe").status != http.StatusNotFound })
	const tooManyTokens = 400
	calls := []struct{ name, path, body string }{
		{"completion", "/v1/completions", completionBody(modelName, tooManyTokens, false)},
		{"stream", "/v1/completions", completionBody(modelName, tooManyTokens, true)},
		{"service", "/services/hanging/x", "order"},
	}
	answers := make([]response, len(calls))
	errs := make([]error, len(calls))
	var group errgroup.Group
	for i, call := range calls {
		group.Go(func() error {
			answers[i], errs[i] = f.trySend(http.MethodPost, "http://"+leaving.CallerAddress().String()+call.path, strings.NewReader(call.body))
			return nil
		})
	}
	f.waitUntil(func() bool { return f.engines[0].Report().Running == 2 })
	<-arrived
	stoppedAt := time.Now()
	leaving.stop()
	c.Check(leaving.group.Wait(), qt.IsNil)
	c.Check(time.Since(stoppedAt) < 2*time.Second, qt.IsTrue)
	c.Assert(group.Wait(), qt.IsNil)
	for i, call := range calls {
		a := answers[i]
		c.Check(errs[i], qt.IsNil, qt.Commentf("%s", call.name))
		if call.name == "stream" {
			c.Check(strings.Contains(a.body, "[DONE]"), qt.IsFalse)
			c.Check(a.body, qt.Contains, `"ran":"unknown"`)
			continue
		}
		c.Check(a.status, qt.Equals, http.StatusGatewayTimeout, qt.Commentf("%s: %s", call.name, a.body))
		c.Check(a.header.Get(result.HeaderRan), qt.Equals, "unknown")
	}
}
