// Package part holds what all supervised parts of a process share.
package part

import "context"

// CloseAtEnd closes done if ctx has ended. Deferred in a part's Serve, it leaves done open when the supervisor will start the part again.
func CloseAtEnd(ctx context.Context, done chan struct{}) {
	if ctx.Err() != nil {
		close(done)
	}
}
