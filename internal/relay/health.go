package relay

import (
	"math"
	"sync"
	"time"
)

const (
	// failureHalfLife is the time after which a past failure counts only half.
	failureHalfLife = 2 * time.Second
	// avoidThreshold is the decayed count of failures from which an endpoint is chosen last. Two failures in quick
	// succession reach it.
	avoidThreshold = 1.5
	// unresponsivePeriod is how long a box that did not answer is not asked again.
	unresponsivePeriod = time.Second
	// maxTrackedEndpoints bounds the endpoints that are tracked.
	maxTrackedEndpoints = 4096
)

// health tracks the recent failures of each endpoint and the requests that this box has in flight there.
type health struct {
	mu        sync.Mutex
	endpoints map[string]*endpointHealth
}

type endpointHealth struct {
	inFlight int
	// failures is the decayed count of failures at the time failuresAt.
	failures   float64
	failuresAt time.Time
}

func newHealth() *health { return &health{endpoints: map[string]*endpointHealth{}} }

func (h *health) getOrAdd(name string) *endpointHealth {
	e := h.endpoints[name]
	if e == nil {
		if len(h.endpoints) >= maxTrackedEndpoints {
			h.dropIdle()
		}
		e = &endpointHealth{}
		h.endpoints[name] = e
	}
	return e
}

// dropIdle removes the endpoints that have no requests in flight.
func (h *health) dropIdle() {
	for name, e := range h.endpoints {
		if e.inFlight == 0 {
			delete(h.endpoints, name)
		}
	}
}

// begin counts a request that is sent to an endpoint.
func (h *health) begin(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.getOrAdd(name).inFlight++
}

// end counts a request as no longer in flight. failed is set if the endpoint was at fault.
func (h *health) end(name string, now time.Time, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.getOrAdd(name)
	e.inFlight--
	if failed {
		e.failures = e.decayedFailures(now) + 1
		e.failuresAt = now
	}
}

// load returns the number of requests that this box has in flight at an endpoint, and the decayed count of its
// failures.
func (h *health) load(name string, now time.Time) (inFlight int, failures float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.endpoints[name]
	if !ok {
		return 0, 0
	}
	return e.inFlight, e.decayedFailures(now)
}

func (e *endpointHealth) decayedFailures(now time.Time) float64 {
	if e.failures == 0 {
		return 0
	}
	return e.failures * math.Exp2(-float64(now.Sub(e.failuresAt))/float64(failureHalfLife))
}
