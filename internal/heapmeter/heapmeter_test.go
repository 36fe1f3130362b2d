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
