package loads

import "context"

// Unlimited is a Source that grants every permit immediately. It is for loads that the weight store does not limit.
type Unlimited struct{}

var _ Source = Unlimited{}

// Acquire implements Source.
func (Unlimited) Acquire(context.Context, Request) (Permit, error) { return func(bool) {}, nil }
