package grant

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/result"
)

// AcquireWithKeepalive waits for a grant on behalf of another box. While it waits, it sends an informational response to that box
// once per interval, to show that this box is alive.
func AcquireWithKeepalive(
	ctx context.Context, w http.ResponseWriter, runner *owner.Runner, q owner.Request, interval time.Duration,
) (*owner.Grant, *result.Error) {
	var g *owner.Grant
	var err error
	acquired := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		defer close(acquired)
		g, err = runner.Acquire(ctx, q)
		return nil
	})
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.WriteHeader(http.StatusProcessing)
		case <-acquired:
			if err != nil {
				return nil, result.From(err, result.QueueFull)
			}
			return g, nil
		}
	}
}
