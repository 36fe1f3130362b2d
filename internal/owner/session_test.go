package owner_test

import (
	"context"
	"errors"
	"slices"
	"sync"
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
)

// silentEngine is a client of an engine that answers no order. onOrder is called for each order.
type silentEngine struct {
	onOrder func()
	mu      sync.Mutex
	orders  []engine.Order
}

func (e *silentEngine) SendOrder(_ context.Context, _ engine.Target, o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	if e.onOrder != nil {
		e.onOrder()
	}
	return errors.New("no answer")
}

func (e *silentEngine) Report(context.Context, engine.Target) (engine.Report, error) {
	return engine.Report{Incarnation: "e", BaseModels: []string{"base"}}, nil
}

func (e *silentEngine) LoadOutcome(string, string) engine.LoadOutcome { return engine.OutcomeOpen }

// sentOrders returns the orders sent so far.
func (e *silentEngine) sentOrders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// startScarceRunner runs the owner of an engine of which all slots are used. The returned function ends it.
func startScarceRunner(ctx context.Context, client owner.Engines, authority owner.Authority) (*owner.Runner, func()) {
	r := owner.NewRunner(owner.RunnerConfig{
		Name: "e", Engine: resource.Engine{BaseModel: "base", Slots: 2, Batch: 8, DrainsBeforeUnload: true, Scarce: true}, MaxQueue: 10, Client: client,
		Loads: loads.Unlimited{}, BaseLoads: loads.Unlimited{}, Scope: tally.NoopScope, Authority: authority,
	})
	ctx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	group.Go(func() error { return r.Serve(ctx) })
	time.Sleep(time.Second / 2)
	return r, func() {
		cancel()
		_ = group.Wait()
	}
}

func acquire(ctx context.Context, r *owner.Runner, adapter int) error {
	_, err := r.Acquire(ctx, owner.Request{Ref: ref(adapter), StartBy: time.Now().Add(time.Minute), Last: true})
	return err
}

// TestLoadKeepsSlotAfterLostAuthority guards against a slot that is freed because the authority was lost before the retry of a load,
// although the engine may execute the first attempt.
func TestLoadKeepsSlotAfterLostAuthority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var lost atomic.Bool
		e := &silentEngine{onOrder: func() { lost.Store(true) }}
		r, stop := startScarceRunner(t.Context(), e, func(time.Time) (uint64, bool) { return 1, !lost.Load() })
		defer stop()
		c.Check(acquire(t.Context(), r, 1), qt.IsNotNil)
		time.Sleep(time.Second)
		c.Check(e.sentOrders(), qt.HasLen, 1)
		c.Check(r.Status().SlotsUncertain, qt.Equals, 1)
	})
}

// TestExpiredSlotStartsSession guards against a load into a slot that was freed by time alone, without a report that shows whether the
// engine holds the adapter of the unanswered load.
func TestExpiredSlotStartsSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		e := &silentEngine{}
		r, stop := startScarceRunner(t.Context(), e, func(time.Time) (uint64, bool) { return 1, true })
		defer stop()
		c.Check(acquire(t.Context(), r, 1), qt.IsNotNil)
		time.Sleep(10 * time.Second)
		c.Check(acquire(t.Context(), r, 2), qt.IsNotNil)
		sameSession := e.sentOrders()
		c.Check(sameSession[len(sameSession)-1].Session, qt.Equals, sameSession[0].Session)
		time.Sleep(6 * time.Second)
		c.Check(acquire(t.Context(), r, 3), qt.IsNotNil)
		orders := e.sentOrders()
		c.Check(len(orders) > len(sameSession), qt.IsTrue)
		c.Check(orders[len(orders)-1].Session, qt.Not(qt.Equals), orders[0].Session)
		c.Check(orders[len(orders)-1].Tracked()[ref(1).String()], qt.IsFalse)
	})
}
