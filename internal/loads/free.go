package loads

import "context"

// Free gives a permit at once, for loads that the weight store does not limit.
type Free struct{}

var _ Source = Free{}

// Acquire implements Source.
func (Free) Acquire(context.Context, Need) (Permit, error) { return func(bool) {}, nil }
