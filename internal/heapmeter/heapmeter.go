// Package heapmeter measures the heap of the process for tests of memory bounds.
package heapmeter

import (
	"runtime"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"
)

// sampleInterval is the time between two measurements.
const sampleInterval = time.Millisecond

// maxGarbage is how much garbage the collector leaves at most, in bytes, before the heap grows. It is what the runtime allows a small
// process.
const maxGarbage = 4 << 20

// Start starts to measure the heap. The returned function ends that and returns the largest growth in bytes, garbage included. Until then
// the collector also runs as often as in a process that holds nothing else: by default it would let the heap grow by as much as other
// tests hold. Measurements must not overlap.
func Start() (stop func() int64) {
	runtime.GC()
	before := allocated()
	defaultPercent := debug.SetGCPercent(int(min(100, max(1, 100*maxGarbage/before))))
	largest := int64(0)
	done := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			largest = max(largest, allocated()-before)
			select {
			case <-ticker.C:
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
		return max(largest, allocated()-before)
	}
}

// allocated returns the bytes of heap objects.
func allocated() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
