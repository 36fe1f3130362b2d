// Package heapmeter measures the heap of the process for tests of memory bounds.
package heapmeter

import (
	"runtime"
	"time"

	"golang.org/x/sync/errgroup"
)

// sampleInterval is the time between two measurements.
const sampleInterval = time.Millisecond

// Start starts to measure the heap. The returned function ends that and returns the largest growth in bytes, garbage included.
func Start() (stop func() int64) {
	runtime.GC()
	before := allocated()
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
		return max(largest, allocated()-before)
	}
}

// allocated returns the bytes of heap objects.
func allocated() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
