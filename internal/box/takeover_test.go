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

// TestFrozenOwnerKeepsItsAdapterLoaded freezes the owner of an engine with one slot in the middle of a stream.
// The box that takes the engine over must not unload the adapter that the frozen one is using.
func TestFrozenOwnerKeepsItsAdapterLoaded(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetConfig{engines: []fakeengine.Config{{Slots: 1, Batch: 4, Step: 50 * time.Millisecond}}})
	f.declareAdapter("other@1")
	owner := f.startProcess("box-1")
	f.until(func() bool { return f.askAt(owner, completion(modelName, 1, false)).status == http.StatusOK })
	other := f.startProcess("box-2")
	var group errgroup.Group
	var kept answer
	group.Go(func() error {
		kept = f.askAt(owner, completion(modelName, 200, true))
		return nil
	})
	f.until(func() bool { return f.engines[0].Report().Running == 1 })
	epoch := f.engines[0].Report().Epoch
	owner.signal(syscall.SIGSTOP)
	// The new owner is there once it refuses for want of a slot rather than for want of an owner.
	f.until(func() bool {
		a := f.askAt(other, completion("other@1", 1, false), "Bellgap-Timeout", "500ms")
		c.Assert(a.header.Get(result.HeaderRan), qt.Equals, "no", qt.Commentf("%s", a.body))
		return strings.Contains(a.body, result.DeadlineUnmet.String())
	})
	c.Check(f.engines[0].Report().Loaded, qt.DeepEquals, []string{modelName})
	c.Check(f.engines[0].Report().Epoch, qt.Equals, epoch)
	a := f.askAt(other, completion(modelName, 1, false))
	c.Check(a.status, qt.Equals, http.StatusOK, qt.Commentf("what is loaded serves at once: %s", a.body))
	owner.signal(syscall.SIGCONT)
	c.Assert(group.Wait(), qt.IsNil)
	c.Check(strings.HasSuffix(kept.body, "data: [DONE]\n\n"), qt.IsTrue)
	c.Check(strings.Count(kept.body, `"text":"`+modelName), qt.Equals, 200)
	c.Check(invariant.NeverUnloadedInUse(f.engines[0].History().Violations), qt.IsNil)
}

// askAt sends a completion to a box that is a process.
func (f *fleet) askAt(p *process, body string, header ...string) answer {
	return f.send(http.MethodPost, "http://"+p.address.String()+"/v1/completions", strings.NewReader(body), header...)
}

// TestHandOverKeepsAdaptersInUseLoaded stops the owner of an engine with one slot in the middle of a stream, and asks its successor for another adapter.
func TestHandOverKeepsAdaptersInUseLoaded(t *testing.T) {
	c := qt.New(t)
	slow := fakeengine.Config{Slots: 1, Batch: 4, Step: 50 * time.Millisecond}
	f := startFleet(c, fleetConfig{boxes: 2, engines: []fakeengine.Config{slow}})
	f.declareAdapter("other@1")
	owner, other := f.boxes[0], f.boxes[1]
	if f.boxes[0].Topology().Engines["engine-1"].Owner.Caller != owner.CallerAddress() {
		owner, other = other, owner
	}
	var group errgroup.Group
	var kept answer
	group.Go(func() error {
		kept = f.ask(owner, "/v1/completions", completion(modelName, 100, true))
		return nil
	})
	f.until(func() bool { return f.engines[0].Report().Running == 1 })
	owner.stop()
	var a answer
	f.until(func() bool {
		a = f.ask(other, "/v1/completions", completion("other@1", 1, false), "Bellgap-Timeout", "300ms")
		return a.status == http.StatusOK
	})
	c.Assert(group.Wait(), qt.IsNil)
	c.Check(strings.HasSuffix(kept.body, "data: [DONE]\n\n"), qt.IsTrue, qt.Commentf("%s", kept.body))
	c.Check(invariant.NeverUnloadedInUse(f.engines[0].History().Violations), qt.IsNil)
}
