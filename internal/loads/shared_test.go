package loads_test

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

	"github.com/bellgap/bellgap/internal/loads"
)

// testSite simulates several boxes that share a weight store with a budget of 3 loads per second and 2 concurrent loads.
type testSite struct {
	scheduler   *loads.Local
	unreachable atomic.Bool
	running     atomic.Int64
	maxRunning  atomic.Int64
	granted     atomic.Int64
}

// AcquirePermit implements loads.Remote.
func (s *testSite) AcquirePermit(ctx context.Context, _ string, req loads.Request) (loads.Permit, error) {
	if s.unreachable.Load() {
		return nil, errors.New("scheduler is unreachable")
	}
	return s.scheduler.Acquire(ctx, req)
}

// runBox simulates a box that loads one adapter after the other. Each load takes loadTime.
func (s *testSite) runBox(ctx context.Context, src loads.Source, loadTime time.Duration) error {
	for {
		permit, err := src.Acquire(ctx, loads.Request{StartBy: time.Now().Add(time.Minute)})
		if err != nil {
			return err
		}
		s.granted.Add(1)
		s.maxRunning.Store(max(s.maxRunning.Load(), s.running.Add(1)))
		time.Sleep(loadTime)
		s.running.Add(-1)
		permit(true)
	}
}

func TestSiteStaysWithinTheBudget(t *testing.T) {
	budget := loads.Budget{PerSecond: 3, MaxConcurrent: 2}
	const boxes = 7
	for _, tt := range []struct {
		name string
		// unreachable makes the scheduler unreachable for all boxes except its own.
		unreachable            bool
		minGranted, maxGranted int64
	}{
		{"scheduler reachable", false, 170, 183},
		{"scheduler unreachable", true, 150, 183 + 90},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			var group errgroup.Group
			s := &testSite{scheduler: loads.NewLocal(loads.LocalConfig{Budget: func() loads.Budget { return budget }})}
			s.unreachable.Store(tt.unreachable)
			group.Go(func() error { return s.scheduler.Serve(ctx) })
			for i := range boxes {
				fallback := loads.NewLocal(loads.LocalConfig{Budget: func() loads.Budget {
					return loads.Budget{PerSecond: loads.FallbackShare * budget.PerSecond / boxes, MaxConcurrent: 1}
				}})
				group.Go(func() error { return fallback.Serve(ctx) })
				shared := loads.NewShared(loads.SharedConfig{
					OwnScheduler: s.scheduler, Fallback: fallback, Remote: s, Scope: tally.NoopScope,
					Scheduler: func() (string, bool) { return "box-0", i == 0 },
				})
				group.Go(func() error { return s.runBox(ctx, shared, 600*time.Millisecond) })
			}
			c.Check(group.Wait(), qt.ErrorIs, context.DeadlineExceeded)
			t.Logf("%s: %d loads in a minute, at most %d concurrent", tt.name, s.granted.Load(), s.maxRunning.Load())
			c.Check(s.granted.Load() >= tt.minGranted && s.granted.Load() <= tt.maxGranted, qt.IsTrue, qt.Commentf("%d", s.granted.Load()))
			if !tt.unreachable {
				c.Check(s.maxRunning.Load(), qt.Equals, int64(2))
			}
		})
	}
}

func TestQueueOrder(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	q := loads.NewQueue(now, func() loads.Budget { return loads.Budget{PerSecond: 1000, MaxConcurrent: 10} })
	for _, w := range []loads.QueuedRequest{
		{ID: 1, Request: loads.Request{Urgency: 0, StartBy: now.Add(time.Second)}},
		{ID: 2, Request: loads.Request{Urgency: 50, StartBy: now.Add(9 * time.Second)}},
		{ID: 3, Request: loads.Request{Urgency: 50, StartBy: now.Add(8 * time.Second), Waiters: 1}},
		{ID: 4, Request: loads.Request{Urgency: 50, StartBy: now.Add(8 * time.Second), Waiters: 5}},
	} {
		q.Add(w)
	}
	var order []uint64
	for range 4 {
		now = now.Add(time.Second)
		w, ok := q.Next(now)
		c.Assert(ok, qt.IsTrue)
		order = append(order, w.ID)
	}
	c.Check(order, qt.DeepEquals, []uint64{4, 3, 2, 1})
}
