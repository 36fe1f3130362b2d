// Package part holds what all supervised parts of a process share.
package part

import (
	"context"
	"time"
)

// CloseAtEnd closes done if ctx has ended. Deferred in a part's Serve, it leaves done open when the supervisor will start the part again.
func CloseAtEnd(ctx context.Context, done chan struct{}) {
	if ctx.Err() != nil {
		close(done)
	}
}

// Sleep waits and reports whether ctx still stands.
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
