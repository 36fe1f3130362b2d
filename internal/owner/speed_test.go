package owner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestUndisturbedRate guards against an undisturbed rate that falls while the engine is busy, or that follows single samples that are too
// fast. Rates are in prompt tokens per second.
func TestUndisturbedRate(t *testing.T) {
	const idle, busy, wrong = 20000, 10000, 1000000
	for _, tt := range []struct {
		name    string
		carried float64
		samples []float64
		want    float64
	}{
		{"too few samples", 0, []float64{idle, idle}, 0},
		{"one of five undisturbed", 0, []float64{busy, busy, busy, busy, idle, busy, busy, busy, busy, idle}, idle},
		{"one sample too fast", 0, []float64{idle, wrong, idle}, idle},
		{"one sample too fast after a takeover", idle, []float64{wrong}, idle},
		{"busy after a takeover", idle, []float64{busy, busy, busy, busy, busy, busy, busy, busy}, idle},
		{"no time", idle, []float64{-1}, idle},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var r speedTracker
			r.carry(tt.carried)
			for _, rate := range tt.samples {
				r.observe(time.Duration(float64(time.Second) / rate))
			}
			c.Check(r.undisturbed, qt.Equals, tt.want)
		})
	}
}

// TestUndisturbedRateOfRestartedEngine guards against a rate of an earlier incarnation of the engine, which may have had another speed.
func TestUndisturbedRateOfRestartedEngine(t *testing.T) {
	c := qt.New(t)
	s := New(Config{Slots: 4, Batch: 8, MaxQueue: 16, PrefillRate: 10000})
	s.prefill.speed.carry(20000)
	r, ok := s.Load(testStart)
	c.Check(ok, qt.IsTrue)
	c.Check(r.UndisturbedRate, qt.Equals, 20000.0)
	s.ResetAfterRestart(testStart)
	r, _ = s.Load(testStart)
	c.Check(r.UndisturbedRate, qt.Equals, 0.0)
}
