package owner_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/loads"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// replacedEngine is a client of an engine whose address belongs to another engine while replaced is set.
type replacedEngine struct{ replaced atomic.Bool }

// SendOrder refuses orders while the engine is replaced.
func (e *replacedEngine) SendOrder(context.Context, engine.Target, engine.Order) error {
	if e.replaced.Load() {
		return &engine.OrderRefusedError{Type: engine.RefusalNotFound}
	}
	return nil
}

// Report fails while the engine is replaced.
func (e *replacedEngine) Report(context.Context, engine.Target) (engine.Report, error) {
	if e.replaced.Load() {
		return engine.Report{}, errors.New("report of another engine")
	}
	return engine.Report{Incarnation: "e", BaseModels: []string{"base"}}, nil
}

// TestEngineNotFoundGetsNoRequests checks that an engine gets no requests from the time when an order was refused because the
// engine does not exist until the next report arrives.
func TestEngineNotFoundGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := &replacedEngine{}
		r := owner.NewRunner(owner.RunnerConfig{
			Name: "e", Engine: resource.Engine{BaseModel: "base", Slots: 4, Batch: 8, DrainsBeforeUnload: true}, MaxQueue: 10, Client: e,
			Loads: loads.Unlimited{}, BaseLoads: loads.Unlimited{}, Scope: tally.NoopScope, Authority: func(time.Time) (uint64, bool) { return 1, true },
		})
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return r.Serve(ctx) })
		defer func() {
			cancel()
			_ = group.Wait()
		}()
		time.Sleep(time.Second / 2)
		acquire := func(adapter int) error {
			_, err := r.Acquire(ctx, owner.Request{Ref: ref(adapter), StartBy: time.Now().Add(time.Minute), Last: true})
			return err
		}
		c.Check(acquire(1), qt.IsNil)
		e.replaced.Store(true)
		c.Check(acquire(2), qt.IsNotNil)
		c.Check(result.Is(acquire(1), result.TryNext), qt.IsTrue)
		e.replaced.Store(false)
		time.Sleep(2 * time.Second)
		c.Check(acquire(1), qt.IsNil)
	})
}
