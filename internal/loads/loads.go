// Package loads shares out the loads that the weight store allows.
package loads

import (
	"context"
	"time"
)

// Need describes who asks for a load.
type Need struct {
	// Engine names the engine that will load.
	Engine string `json:"engine"`
	// Urgency orders needs, higher first.
	Urgency int `json:"urgency"`
	// StartBy is the latest useful start of the first waiter.
	StartBy time.Time `json:"start_by"`
	// Waiters is how many requests wait for it.
	Waiters int `json:"waiters"`
}

// Permit allows one load. Call it once: when the load has ended, or with used false when it is not needed.
type Permit func(used bool)

// Source gives permits. It is an interface at the boundary to other boxes.
type Source interface {
	// Acquire waits for a permit until ctx ends.
	Acquire(ctx context.Context, n Need) (Permit, error)
}

// Budget is what the weight store allows.
type Budget struct {
	// PerSecond is the rate of loads, AtOnce how many run at full speed.
	PerSecond float64 `json:"per_second"`
	AtOnce    int     `json:"at_once"`
}
