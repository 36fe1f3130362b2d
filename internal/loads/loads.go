// Package loads limits the loads from the weight store: it grants permits within the store's budget.
package loads

import (
	"context"
	"time"
)

// Request is a request for a load permit.
type Request struct {
	// Engine is the name of the engine that will load.
	Engine string `json:"engine"`
	// Urgency orders the queue: requests with a higher value are granted first.
	Urgency int `json:"urgency"`
	// StartBy is the latest time at which starting the load is still useful for the first of the waiting requests.
	StartBy time.Time `json:"start_by"`
	// Waiters is the number of requests that wait for the load.
	Waiters int `json:"waiters"`
}

// Permit allows one load. The holder must call it once to release it: with used true when the load has ended, or with used false
// if the permit is not needed.
type Permit func(used bool)

// Source grants permits. It is an interface because permits come from this box or from another box.
type Source interface {
	// Acquire waits for a permit until ctx ends.
	Acquire(ctx context.Context, req Request) (Permit, error)
}

// Budget holds the limits of the weight store.
type Budget struct {
	// PerSecond is the maximum rate of loads.
	PerSecond float64 `json:"per_second"`
	// MaxConcurrent is the maximum number of concurrent loads. The store serves that many at full speed.
	MaxConcurrent int `json:"at_once"`
}
