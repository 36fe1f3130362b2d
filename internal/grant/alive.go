package grant

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/result"
)

// AcquireAlive waits for an owner's grant on behalf of another box and meanwhile shows it, by informational responses, that this
// box is alive.
func AcquireAlive(ctx context.Context, w http.ResponseWriter, runner *owner.Runner, q owner.Request, every time.Duration) (*owner.Grant, *result.Error) {
	var g *owner.Grant
	var err error
	got := make(chan struct{})
	var wait errgroup.Group
	wait.Go(func() error {
		defer close(got)
		g, err = runner.Acquire(ctx, q)
		return nil
	})
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			w.WriteHeader(http.StatusProcessing)
		case <-got:
			if err != nil {
				return nil, result.From(err, result.QueueFull)
			}
			return g, nil
		}
	}
}
