package loads

import "context"

// Free is a Source that grants every permit immediately. It is for loads that the weight store does not limit.
type Free struct{}

var _ Source = Free{}

// Acquire implements Source.
func (Free) Acquire(context.Context, Need) (Permit, error) { return func(bool) {}, nil }
