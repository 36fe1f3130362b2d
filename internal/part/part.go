// Package part contains helper functions for the supervised components of a process.
package part

import (
	"context"
	"time"
)

// CloseIfEnded closes done if ctx has ended. It is meant to be deferred in the Serve method of a supervised component.
// If Serve returns while ctx is valid, done stays open, because the supervisor restarts the component.
func CloseIfEnded(ctx context.Context, done chan struct{}) {
	if ctx.Err() != nil {
		close(done)
	}
}

// Sleep waits for d or the end of ctx, and reports whether d passed first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
