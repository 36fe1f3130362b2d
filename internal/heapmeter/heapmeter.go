// Package heapmeter measures the heap of the process for tests of memory bounds.
package heapmeter

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"golang.org/x/sync/errgroup"
)

// Metrics of the runtime, in bytes.
const (
	// liveMetric is the size of the objects that the last collection has kept, with all that was allocated while it ran.
	liveMetric = "/gc/heap/live:bytes"
	// allocatedMetric is the size of all objects that have ever been allocated.
	allocatedMetric = "/gc/heap/allocs:bytes"
)

// Collections pause for minPause, and for pauseFactor times as long as the last one took: without a pause they take so much processor time
// of a busy machine that the deadlines of tests pass.
const (
	minPause    = 5 * time.Millisecond
	pauseFactor = 3
)

// settleCollections is how many collections follow the first one before a measurement.
const settleCollections = 2

// maxGarbage is how much garbage the collector leaves at most, in bytes, before the heap grows. It is what the runtime allows a small
// process.
const maxGarbage = 4 << 20

// Start starts to measure the heap. The returned function ends that and returns the largest growth of the live heap in bytes. Until then
// collections are forced, with pauses: what is held for two of them is measured, and garbage that a busy machine has not
// collected yet is not.
// The collector is also kept from letting the heap grow by as much as other tests hold. Measurements must not overlap.
func Start() (stop func() int64) {
	m := newMeter()
	// Finalizers and other tests may still release objects, which would hide as much growth.
	before := m.collect()
	for range settleCollections {
		before = min(before, m.collect())
	}
	defaultPercent := debug.SetGCPercent(int(min(100, max(1, 100*maxGarbage/max(1, before)))))
	largest := int64(0)
	done := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		for {
			startedAt := time.Now()
			largest = max(largest, m.collect()-before)
			select {
			case <-time.After(max(minPause, pauseFactor*time.Since(startedAt))):
			case <-done:
				return nil
			}
		}
	})
	return func() int64 {
		close(done)
		// The function of the group returns no error.
		_ = group.Wait()
		defer debug.SetGCPercent(defaultPercent)
		return max(largest, m.collect()-before)
	}
}

// meter reads the metrics of the runtime. It allocates nothing for that, as the figures would contain it.
type meter struct{ live, allocated []metrics.Sample }

func newMeter() *meter {
	return &meter{
		live: []metrics.Sample{{Name: liveMetric}, {Name: allocatedMetric}}, allocated: []metrics.Sample{{Name: allocatedMetric}},
	}
}

// collect runs a collection and returns the bytes of the objects that it kept, without those allocated while it ran: it keeps them also if
// they are garbage. The next collection tells.
func (m *meter) collect() int64 {
	metrics.Read(m.allocated)
	runtime.GC()
	metrics.Read(m.live)
	duringCollection := m.live[1].Value.Uint64() - m.allocated[0].Value.Uint64()
	return int64(m.live[0].Value.Uint64()) - int64(duringCollection)
}
