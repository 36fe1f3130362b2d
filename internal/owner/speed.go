package owner

import (
	"slices"
	"time"
)

const (
	// speedSamples is the number of observed prefill rates that the undisturbed rate is derived from. With 5 to 6 requests per second on
	// an engine, they reach back over about 45 s, which is longer than a period of high load.
	speedSamples = 256
	// speedPercentile is the share of the observed rates that are below the undisturbed rate. Most rates are observed while the engine
	// also generates tokens. The highest ones are too high, for instance if parts of the prompt were cached that the owner did not know.
	speedPercentile = 0.9
	// minSpeedSamples is the number of rates from which the undisturbed rate is known.
	minSpeedSamples = 3
)

// speedTracker derives the undisturbed prefill rate of an engine from observed rates.
type speedTracker struct {
	// samples holds the last observed rates in prompt tokens per second, next is the position of the oldest one once all are used.
	samples []float64
	next    int
	// undisturbed is the percentile of samples, zero if there are too few.
	undisturbed float64
}

// observe adds the rate of a prompt whose tokens took the given time each.
func (r *speedTracker) observe(perToken time.Duration) {
	if perToken <= 0 {
		return
	}
	r.add(float64(time.Second) / float64(perToken))
	r.compute()
}

func (r *speedTracker) add(rate float64) {
	if len(r.samples) < speedSamples {
		r.samples = append(r.samples, rate)
		return
	}
	r.samples[r.next] = rate
	r.next = (r.next + 1) % speedSamples
}

// compute updates undisturbed. The highest sample is never used, so that a single wrong one has no effect.
func (r *speedTracker) compute() {
	r.undisturbed = 0
	if n := len(r.samples); n >= minSpeedSamples {
		sorted := slices.Sorted(slices.Values(r.samples))
		r.undisturbed = sorted[min(int(speedPercentile*float64(n)), n-2)]
	}
}

// carry starts from the undisturbed rate that a previous owner of the engine has observed. It counts as carriedSamples samples.
func (r *speedTracker) carry(rate float64) {
	if rate <= 0 {
		return
	}
	for range carriedSamples {
		r.add(rate)
	}
	r.compute()
}

// reset forgets all rates, because the engine has restarted and may be on another machine.
func (r *speedTracker) reset() { *r = speedTracker{} }
