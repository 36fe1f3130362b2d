// Package gather sends small messages for the same receiver together.
package gather

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/part"
)

// Config configures a Gatherer.
type Config[K comparable, T any] struct {
	// Ring bounds what waits to be sent.
	Ring int
	// Every is how long a message waits for others.
	Every time.Duration
	// Send sends what has been gathered for one receiver.
	Send func(ctx context.Context, to K, all []T)
	// Dropped is called for each message that found the ring full.
	Dropped func()
}

// item is a message with its receiver.
type item[K comparable, T any] struct {
	to      K
	message T
}

// Gatherer gathers messages. Its Serve has to run.
type Gatherer[K comparable, T any] struct {
	cfg  Config[K, T]
	ring chan item[K, T]
	done chan struct{}
}

// New returns a Gatherer.
func New[K comparable, T any](cfg Config[K, T]) *Gatherer[K, T] {
	return &Gatherer[K, T]{cfg: cfg, ring: make(chan item[K, T], cfg.Ring), done: make(chan struct{})}
}

// Done is closed when Serve has ended.
func (g *Gatherer[K, T]) Done() <-chan struct{} { return g.done }

// Add queues a message. It never waits.
func (g *Gatherer[K, T]) Add(to K, message T) {
	select {
	case g.ring <- item[K, T]{to, message}:
	default:
		g.cfg.Dropped()
	}
}

// Serve sends until ctx ends.
func (g *Gatherer[K, T]) Serve(ctx context.Context) error {
	defer part.CloseAtEnd(ctx, g.done)
	var calls errgroup.Group
	// Calls return no errors.
	defer func() { _ = calls.Wait() }()
	for {
		select {
		case first := <-g.ring:
			for to, all := range g.gather(ctx, first) {
				calls.Go(func() error { g.cfg.Send(ctx, to, all); return nil })
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// gather waits a little for more and sorts what came by receiver.
func (g *Gatherer[K, T]) gather(ctx context.Context, first item[K, T]) map[K][]T {
	all := map[K][]T{first.to: {first.message}}
	timer := time.NewTimer(g.cfg.Every)
	defer timer.Stop()
	for {
		select {
		case it := <-g.ring:
			all[it.to] = append(all[it.to], it.message)
		case <-timer.C:
			return all
		case <-ctx.Done():
			return all
		}
	}
}
