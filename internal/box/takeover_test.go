package box_test

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/fakeengine"
	"github.com/bellgap/bellgap/internal/invariant"
	"github.com/bellgap/bellgap/internal/result"
)

// TestTakeoverKeepsAdapterOfSuspendedOwnerLoaded suspends the owner of an engine with one slot in the middle of a stream.
// The box that takes over the engine must not unload the adapter that the suspended box is using.
func TestTakeoverKeepsAdapterOfSuspendedOwnerLoaded(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetConfig{engines: []fakeengine.Config{{Slots: 1, Batch: 4, Step: 50 * time.Millisecond}}})
	f.declareAdapter("other@1")
	owner := f.startProcess("box-1")
	f.waitUntil(func() bool {
		return f.postToProcess(owner, completionBody(modelName, 1, false)).status == http.StatusOK
	})
	other := f.startProcess("box-2")
	var group errgroup.Group
	var streamed response
	group.Go(func() error {
		streamed = f.postToProcess(owner, completionBody(modelName, 200, true))
		return nil
	})
	f.waitUntil(func() bool { return f.engines[0].Report().Running == 1 })
	epoch := f.engines[0].Report().Epoch
	owner.signal(syscall.SIGSTOP)
	// The other box has become the owner when it refuses requests because no slot is free instead of because there is no owner.
	f.waitUntil(func() bool {
		a := f.postToProcess(other, completionBody("other@1", 1, false), "Bellgap-Timeout", "500ms")
		c.Assert(a.header.Get(result.HeaderRan), qt.Equals, "no", qt.Commentf("%s", a.body))
		return strings.Contains(a.body, result.DeadlineUnmet.String())
	})
	c.Check(f.engines[0].Report().Loaded, qt.DeepEquals, []string{modelName})
	c.Check(f.engines[0].Report().Epoch, qt.Equals, epoch)
	a := f.postToProcess(other, completionBody(modelName, 1, false))
	c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("a request for the loaded adapter must be served at once: %s", a.body))
	owner.signal(syscall.SIGCONT)
	c.Assert(group.Wait(), qt.IsNil)
	c.Check(strings.HasSuffix(streamed.body, "data: [DONE]\n\n"), qt.IsTrue)
	c.Check(strings.Count(streamed.body, `"text":"`+modelName), qt.Equals, 200)
	c.Check(invariant.CheckUnloads(f.engines[0].History().Violations), qt.IsNil)
}

// postToProcess sends a completion request to a box that runs as a separate process.
func (f *fleet) postToProcess(p *process, body string, header ...string) response {
	return f.send(http.MethodPost, "http://"+p.address.String()+"/v1/completions", strings.NewReader(body), header...)
}

// TestHandoverKeepsAdaptersInUseLoaded stops the owner of an engine with one slot in the middle of a stream, and requests another adapter from the
// owner's successor. The successor must not unload the adapter in use.
func TestHandoverKeepsAdaptersInUseLoaded(t *testing.T) {
	c := qt.New(t)
	slow := fakeengine.Config{Slots: 1, Batch: 4, Step: 50 * time.Millisecond}
	f := startFleet(c, fleetConfig{boxes: 2, engines: []fakeengine.Config{slow}})
	f.declareAdapter("other@1")
	owner, successor := f.boxes[0], f.boxes[1]
	if f.boxes[0].Topology().Engines["engine-1"].Owner.Caller != owner.CallerAddress() {
		owner, successor = successor, owner
	}
	var group errgroup.Group
	var streamed response
	group.Go(func() error {
		streamed = f.post(owner, "/v1/completions", completionBody(modelName, 100, true))
		return nil
	})
	f.waitUntil(func() bool { return f.engines[0].Report().Running == 1 })
	owner.stop()
	var a response
	f.waitUntil(func() bool {
		a = f.post(successor, "/v1/completions", completionBody("other@1", 1, false), "Bellgap-Timeout", "300ms")
		return a.status == http.StatusOK
	})
	c.Assert(group.Wait(), qt.IsNil)
	c.Check(strings.HasSuffix(streamed.body, "data: [DONE]\n\n"), qt.IsTrue, qt.Commentf("%s", streamed.body))
	c.Check(invariant.CheckUnloads(f.engines[0].History().Violations), qt.IsNil)
}
