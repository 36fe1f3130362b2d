package relay

import (
	"math"
	"sync"
	"time"
)

const (
	// failureHalfLife is the time in which the weight of a past failure halves.
	failureHalfLife = 2 * time.Second
	// avoidFrom is the weight of failures from which an endpoint is chosen last: two in short order.
	avoidFrom = 1.5
	// suspectFor is how long a box that did not answer is not asked.
	suspectFor = time.Second
	// maxRemembered bounds the endpoints and boxes remembered.
	maxRemembered = 4096
)

// health judges endpoints by what requests met there, and counts the requests of this box in flight on each.
type health struct {
	mu        sync.Mutex
	endpoints map[string]*endpointHealth
}

type endpointHealth struct {
	inFlight int
	// failures is a decayed count as of at.
	failures float64
	at       time.Time
}

func newHealth() *health { return &health{endpoints: map[string]*endpointHealth{}} }

func (h *health) get(name string) *endpointHealth {
	e := h.endpoints[name]
	if e == nil {
		if len(h.endpoints) >= maxRemembered {
			h.forget()
		}
		e = &endpointHealth{}
		h.endpoints[name] = e
	}
	return e
}

// forget drops endpoints without requests.
func (h *health) forget() {
	for name, e := range h.endpoints {
		if e.inFlight == 0 {
			delete(h.endpoints, name)
		}
	}
}

// begin counts a request to an endpoint in.
func (h *health) begin(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.get(name).inFlight++
}

// end counts a request out; failed says that it met a fault of the endpoint.
func (h *health) end(name string, now time.Time, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.get(name)
	e.inFlight--
	if failed {
		e.failures = e.weight(now) + 1
		e.at = now
	}
}

// load returns the requests of this box in flight on an endpoint and the weight of its failures.
func (h *health) load(name string, now time.Time) (inFlight int, failures float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.endpoints[name]
	if !ok {
		return 0, 0
	}
	return e.inFlight, e.weight(now)
}

func (e *endpointHealth) weight(now time.Time) float64 {
	if e.failures == 0 {
		return 0
	}
	return e.failures * math.Exp2(-float64(now.Sub(e.at))/float64(failureHalfLife))
}
