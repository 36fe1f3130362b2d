package heapmeter_test

import (
	"runtime"
	"testing"

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
