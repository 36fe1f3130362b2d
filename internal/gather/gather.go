// Package gather batches small messages to the same receiver.
package gather

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/part"
)

// Config configures a Gatherer.
type Config[K comparable, T any] struct {
	// QueueSize is the maximum number of queued messages.
	QueueSize int
	// BatchWindow is how long the first message of a batch waits for more messages.
	BatchWindow time.Duration
	// Send sends the gathered messages of one receiver.
	Send func(ctx context.Context, receiver K, messages []T)
	// OnDrop is called for each message that is dropped because the queue is full.
	OnDrop func()
}

// item is a message with its receiver.
type item[K comparable, T any] struct {
	receiver K
	message  T
}

// Gatherer queues messages and sends them in batches, one batch per receiver. Messages are sent only while Serve runs.
type Gatherer[K comparable, T any] struct {
	cfg   Config[K, T]
	queue chan item[K, T]
	done  chan struct{}
}

// New returns a Gatherer.
func New[K comparable, T any](cfg Config[K, T]) *Gatherer[K, T] {
	return &Gatherer[K, T]{cfg: cfg, queue: make(chan item[K, T], cfg.QueueSize), done: make(chan struct{})}
}

// Done returns a channel that is closed when Serve has ended because its context was canceled.
func (g *Gatherer[K, T]) Done() <-chan struct{} { return g.done }

// Add queues a message. It does not block: if the queue is full, the message is dropped.
func (g *Gatherer[K, T]) Add(receiver K, message T) {
	select {
	case g.queue <- item[K, T]{receiver, message}:
	default:
		g.cfg.OnDrop()
	}
}

// Serve sends queued messages until ctx is canceled.
func (g *Gatherer[K, T]) Serve(ctx context.Context) error {
	defer part.CloseIfEnded(ctx, g.done)
	var calls errgroup.Group
	// The calls return no errors, so Wait returns none.
	defer func() { _ = calls.Wait() }()
	for {
		select {
		case first := <-g.queue:
			for receiver, messages := range g.collectByReceiver(ctx, first) {
				calls.Go(func() error { g.cfg.Send(ctx, receiver, messages); return nil })
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// collectByReceiver waits for more messages during Config.BatchWindow and groups them with the first message by receiver.
func (g *Gatherer[K, T]) collectByReceiver(ctx context.Context, first item[K, T]) map[K][]T {
	byReceiver := map[K][]T{first.receiver: {first.message}}
	timer := time.NewTimer(g.cfg.BatchWindow)
	defer timer.Stop()
	for {
		select {
		case it := <-g.queue:
			byReceiver[it.receiver] = append(byReceiver[it.receiver], it.message)
		case <-timer.C:
			return byReceiver
		case <-ctx.Done():
			return byReceiver
		}
	}
}
