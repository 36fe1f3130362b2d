// Package responsetime derives the response timeout of the orders to one engine from their response times, as RFC 6298 does for segments.
package responsetime

import "time"

// Bounds and factors of an Estimator.
const (
	// MinTimeout is the lowest timeout. Engines answer an order within a few milliseconds; the rest allows for a busy box or engine.
	MinTimeout = 50 * time.Millisecond
	// MaxTimeout is the highest timeout, and the one without samples.
	MaxTimeout = 400 * time.Millisecond
	// MaxSample is the longest valid response time. No attempt waits this long, so that a longer one was measured wrongly.
	MaxSample = time.Minute
	// meanGain and deviationGain are the weights of a new sample in the smoothed response time and in its mean deviation, and
	// deviationFactor is the number of mean deviations in the timeout. All three are those of RFC 6298.
	meanGain        = 1.0 / 8
	deviationGain   = 1.0 / 4
	deviationFactor = 4
	// backoffFactor is the factor by which an attempt without an answer raises the timeout.
	backoffFactor = 2
)

// Answer describes the answer to an order.
type Answer struct {
	// Took is the time from the start of the answered attempt to its answer.
	Took time.Duration
	// Resent is true if an earlier attempt of the same order got no answer. Took is not a sample then, since the engine may have been slow with
	// all attempts.
	Resent bool
}

// Estimator holds the timeout of the orders to one engine. The zero value has no samples. It is not safe for concurrent use.
type Estimator struct {
	hasSample       bool
	mean, deviation time.Duration
	// backoff is the factor for the attempts without an answer since the last answer, or zero if there are none.
	backoff time.Duration
	ignored int64
}

// Timeout returns the time to wait for the answer to an attempt.
func (e *Estimator) Timeout() time.Duration {
	if !e.hasSample {
		return MaxTimeout
	}
	return min(MaxTimeout, max(MinTimeout, e.mean+deviationFactor*e.deviation)*max(1, e.backoff))
}

// Ignored returns the number of invalid response times.
func (e *Estimator) Ignored() int64 { return e.ignored }

// RecordTimeout raises the timeout after an attempt without an answer.
func (e *Estimator) RecordTimeout() {
	// The bound avoids an overflow. It is reached only when the timeout has long been the highest.
	e.backoff = min(max(1, e.backoff)*backoffFactor, MaxTimeout/MinTimeout)
}

// RecordAnswer adapts the timeout to an answer. It reports whether the response time is valid. Invalid ones are ignored.
func (e *Estimator) RecordAnswer(a Answer) bool {
	e.backoff = 0
	if a.Took < 0 || a.Took > MaxSample {
		e.ignored++
		return false
	}
	if !a.Resent {
		e.addSample(a.Took)
	}
	return true
}

func (e *Estimator) addSample(took time.Duration) {
	if !e.hasSample {
		e.hasSample, e.mean, e.deviation = true, took, took/2
		return
	}
	difference := took - e.mean
	e.deviation += time.Duration(deviationGain * float64(difference.Abs()-e.deviation))
	e.mean += time.Duration(meanGain * float64(difference))
}

// Reset forgets all samples, because the engine has restarted or its owner has changed.
func (e *Estimator) Reset() { *e = Estimator{ignored: e.ignored} }
