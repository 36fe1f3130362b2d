package heapmeter_test

import (
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/heapmeter"
)

// TestGrowthIsMeasured guards against a measurement that misses a block that is held at its end.
func TestGrowthIsMeasured(t *testing.T) {
	const size = 10 << 20
	stop := heapmeter.Start()
	block := make([]byte, size)
	growth := stop()
	runtime.KeepAlive(block)
	qt.New(t).Check(growth >= size, qt.IsTrue, qt.Commentf("%d bytes", growth))
}

// TestGrowthDoesNotDependOnOtherTests guards against a measurement that includes more garbage if other tests of the process hold memory:
// the collector lets a larger heap grow further.
func TestGrowthDoesNotDependOnOtherTests(t *testing.T) {
	const (
		held      = 64 << 20
		block     = 64 << 10
		garbage   = 48 << 20
		maxGrowth = 16 << 20
	)
	other := make([]byte, held)
	stop := heapmeter.Start()
	var last []byte
	for range garbage / block {
		last = make([]byte, block)
	}
	growth := stop()
	runtime.KeepAlive(last)
	runtime.KeepAlive(other)
	qt.New(t).Check(growth < maxGrowth, qt.IsTrue, qt.Commentf("%d bytes", growth))
}

// awaitCollections waits until the collector has run n times from start to end.
func awaitCollections(n uint32) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	// One may have begun before the call.
	for end := m.NumGC + n + 1; m.NumGC < end; runtime.ReadMemStats(&m) {
		time.Sleep(time.Millisecond)
	}
}

// TestHeldBytesAreMeasured guards against a measurement that misses what a reader keeps beside much garbage, whether it lets go of it before
// the end or not, or that counts the garbage.
func TestHeldBytesAreMeasured(t *testing.T) {
	const (
		block = 16 << 10
		total = 256 << 20
		slack = 2 << 20
	)
	for _, tt := range []struct {
		name string
		// held is how many of the bytes are held.
		held int
		// isLetGo is set if they are let go of before the end.
		isLetGo bool
	}{
		{"nothing", 0, false},
		{"kept", 12 << 20, false},
		{"let go of", 12 << 20, true},
		{"much is kept", 40 << 20, false},
		{"much is let go of", 40 << 20, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			stop := heapmeter.Start()
			var held [][]byte
			var last []byte
			for i := range total / block {
				last = make([]byte, block)
				if i%4 == 0 && len(held)*block < tt.held {
					held = append(held, last)
				}
			}
			awaitCollections(2)
			if tt.isLetGo {
				runtime.KeepAlive(held)
				held = nil
				for range total / block {
					last = make([]byte, block)
				}
			}
			growth := stop()
			runtime.KeepAlive(held)
			runtime.KeepAlive(last)
			c.Check(growth >= int64(tt.held), qt.IsTrue, qt.Commentf("%d bytes", growth))
			c.Check(growth < int64(tt.held+slack), qt.IsTrue, qt.Commentf("%d bytes", growth))
		})
	}
}
