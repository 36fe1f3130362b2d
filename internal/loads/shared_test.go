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

// site is some boxes that share a weight store of 3 loads a second, 2 at once.
type site struct {
	scheduler *loads.Local
	cut       atomic.Bool
	running   atomic.Int64
	peak      atomic.Int64
	given     atomic.Int64
}

// AcquirePermit implements loads.Remote.
func (s *site) AcquirePermit(ctx context.Context, _ string, n loads.Need) (loads.Permit, error) {
	if s.cut.Load() {
		return nil, errors.New("cut off")
	}
	return s.scheduler.Acquire(ctx, n)
}

// box loads one adapter after the other, each for load.
func (s *site) box(ctx context.Context, src loads.Source, load time.Duration) error {
	for {
		permit, err := src.Acquire(ctx, loads.Need{StartBy: time.Now().Add(time.Minute)})
		if err != nil {
			return err
		}
		s.given.Add(1)
		s.peak.Store(max(s.peak.Load(), s.running.Add(1)))
		time.Sleep(load)
		s.running.Add(-1)
		permit(true)
	}
}

func TestSiteStaysWithinTheBudget(t *testing.T) {
	budget := loads.Budget{PerSecond: 3, AtOnce: 2}
	const boxes = 7
	for _, tt := range []struct {
		name string
		// cut takes the scheduler out of reach of all boxes but its own.
		cut         bool
		least, most int64
	}{
		{"scheduler reachable", false, 170, 183},
		{"scheduler out of reach", true, 150, 183 + 90},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			var group errgroup.Group
			s := &site{scheduler: loads.NewLocal(loads.LocalConfig{Budget: func() loads.Budget { return budget }})}
			s.cut.Store(tt.cut)
			group.Go(func() error { return s.scheduler.Serve(ctx) })
			for i := range boxes {
				fallback := loads.NewLocal(loads.LocalConfig{Budget: func() loads.Budget {
					return loads.Budget{PerSecond: loads.FallbackShare * budget.PerSecond / boxes, AtOnce: 1}
				}})
				group.Go(func() error { return fallback.Serve(ctx) })
				shared := loads.NewShared(loads.SharedConfig{
					Own: s.scheduler, Fallback: fallback, Remote: s, Scope: tally.NoopScope,
					Scheduler: func() (string, bool) { return "box-0", i == 0 },
				})
				group.Go(func() error { return s.box(ctx, shared, 600*time.Millisecond) })
			}
			c.Check(group.Wait(), qt.ErrorIs, context.DeadlineExceeded)
			t.Logf("%s: %d loads in a minute, %d at once", tt.name, s.given.Load(), s.peak.Load())
			c.Check(s.given.Load() >= tt.least && s.given.Load() <= tt.most, qt.IsTrue, qt.Commentf("%d", s.given.Load()))
			if !tt.cut {
				c.Check(s.peak.Load(), qt.Equals, int64(2))
			}
		})
	}
}

func TestQueueOrder(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	q := loads.NewQueue(now, func() loads.Budget { return loads.Budget{PerSecond: 1000, AtOnce: 10} })
	for _, w := range []loads.Waiting{
		{ID: 1, Need: loads.Need{Urgency: 0, StartBy: now.Add(time.Second)}},
		{ID: 2, Need: loads.Need{Urgency: 50, StartBy: now.Add(9 * time.Second)}},
		{ID: 3, Need: loads.Need{Urgency: 50, StartBy: now.Add(8 * time.Second), Waiters: 1}},
		{ID: 4, Need: loads.Need{Urgency: 50, StartBy: now.Add(8 * time.Second), Waiters: 5}},
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
