package gather_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/gather"
)

// TestCombinerSendsOneBatchAtATime guards against messages to a receiver that are sent one by one while earlier ones are under way.
func TestCombinerSendsOneBatchAtATime(t *testing.T) {
	c := qt.New(t)
	var mu sync.Mutex
	var sent [][]int
	started, release := make(chan struct{}, 10), make(chan struct{})
	combiner := gather.NewCombiner(gather.CombinerConfig[string, int]{
		MaxBatch: 3, MaxQueued: 5,
		Send: func(_ context.Context, _ string, messages []int) (bool, time.Duration) {
			started <- struct{}{}
			<-release
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, messages)
			return !slices.Contains(messages, 5), 0
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return combiner.Serve(ctx) })

	c.Assert(combiner.Add("a", 1), qt.IsNil)
	<-started
	// 1 is under way, so it is queued again, as it may have changed.
	c.Check(combiner.Add("a", 1, 2, 3, 2, 4), qt.IsNil)
	c.Check(combiner.Add("a", 5), qt.IsNil)
	c.Check(combiner.Add("a", 6), qt.Equals, gather.ErrQueueFull)
	impatient, cancelImpatient := context.WithCancel(t.Context())
	cancelImpatient()
	c.Check(combiner.Send(impatient, "a", 2), qt.ErrorIs, context.Canceled)
	// Three batches are under way or queued.
	for range 3 {
		release <- struct{}{}
	}
	close(release)
	c.Check(combiner.Send(t.Context(), "a", 7), qt.IsNil)
	c.Check(combiner.Send(t.Context(), "a", 5), qt.Equals, gather.ErrNotDelivered)
	cancel()
	<-combiner.Done()
	_ = group.Wait()
	c.Check(sent, qt.DeepEquals, [][]int{{1}, {1, 2, 3}, {4, 5}, {7}, {5}})
}

// TestCombinerPausesBetweenBatches guards against batches that follow each other without the pause that Send asks for, and against a receiver that
// waits for the pause of another.
func TestCombinerPausesBetweenBatches(t *testing.T) {
	const pause = 200 * time.Millisecond
	c := qt.New(t)
	combiner := gather.NewCombiner(gather.CombinerConfig[string, int]{
		MaxBatch: 1, MaxQueued: 10,
		Send: func(context.Context, string, []int) (bool, time.Duration) { return true, pause },
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return combiner.Serve(ctx) })
	start := time.Now()
	c.Check(combiner.Send(t.Context(), "a", 1, 2, 3), qt.IsNil)
	c.Check(time.Since(start) >= 2*pause, qt.IsTrue)
	start = time.Now()
	c.Check(combiner.Send(t.Context(), "b", 1), qt.IsNil)
	c.Check(time.Since(start) < pause, qt.IsTrue)
	cancel()
	_ = group.Wait()
}
