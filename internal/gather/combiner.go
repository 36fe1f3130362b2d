package gather

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/part"
)

// Errors of Combiner.Send.
var (
	// ErrNotDelivered is returned if a message was sent but did not reach its receiver.
	ErrNotDelivered = eris.New("gather: message not delivered")
	// ErrQueueFull is returned if too many messages wait for the receiver, or too many receivers for the sender.
	ErrQueueFull = eris.New("gather: queue full")
)

// maxReceivers limits the receivers that wait for their first batch.
const maxReceivers = 1024

// CombinerConfig configures a Combiner.
type CombinerConfig[K, M comparable] struct {
	// MaxBatch is the maximum number of messages of a batch, MaxQueued that of the messages that wait for a receiver.
	MaxBatch, MaxQueued int
	// Send sends a batch to a receiver and reports whether it arrived. The next batch to this receiver starts after the returned pause.
	Send func(ctx context.Context, receiver K, messages []M) (delivered bool, pause time.Duration)
}

// batch is a number of messages that are sent together.
type batch[M comparable] struct {
	messages []M
	// done is closed when the batch has been sent. delivered is set before.
	done      chan struct{}
	delivered bool
}

// Combiner sends messages in batches, to each receiver one batch at a time. The first message is sent at once, and those that are added in the
// meantime form the next batch. A message that waits already is not added again. Messages are sent only while Serve runs.
type Combiner[K, M comparable] struct {
	cfg  CombinerConfig[K, M]
	done chan struct{}
	// starts contains the receivers whose first batch waits.
	starts chan K
	mu     sync.Mutex
	// queues contains the waiting batches of each receiver that has any or to which a batch is being sent.
	queues map[K][]*batch[M]
}

// NewCombiner returns a Combiner.
func NewCombiner[K, M comparable](cfg CombinerConfig[K, M]) *Combiner[K, M] {
	return &Combiner[K, M]{cfg: cfg, done: make(chan struct{}), starts: make(chan K, maxReceivers), queues: map[K][]*batch[M]{}}
}

// Done returns a channel that is closed when Serve has ended because its context was canceled.
func (c *Combiner[K, M]) Done() <-chan struct{} { return c.done }

// Add queues messages without waiting. It returns ErrQueueFull if not all of them could be queued.
func (c *Combiner[K, M]) Add(receiver K, messages ...M) error {
	_, err := c.enqueue(receiver, messages)
	return err
}

// Send queues messages and waits until they have been sent. It returns ErrNotDelivered, ErrQueueFull or the error of ctx. Messages are
// sent even if ctx ends before.
func (c *Combiner[K, M]) Send(ctx context.Context, receiver K, messages ...M) error {
	batches, err := c.enqueue(receiver, messages)
	for _, b := range batches {
		select {
		case <-b.done:
			if err == nil && !b.delivered {
				err = ErrNotDelivered
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return err
}

// enqueue returns the batches that contain the messages.
func (c *Combiner[K, M]) enqueue(receiver K, messages []M) ([]*batch[M], error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue, isActive := c.queues[receiver]
	var joined []*batch[M]
	var err error
	for _, message := range messages {
		b := c.batchFor(&queue, message)
		if b == nil {
			err = ErrQueueFull
			continue
		}
		if !slices.Contains(joined, b) {
			joined = append(joined, b)
		}
	}
	if len(queue) == 0 {
		return nil, err
	}
	if !isActive {
		select {
		case c.starts <- receiver:
		default:
			return nil, ErrQueueFull
		}
	}
	c.queues[receiver] = queue
	return joined, err
}

// batchFor returns the batch of a queue that contains a message, after adding it if necessary, or nil if the queue is full. The caller holds mu.
func (c *Combiner[K, M]) batchFor(queue *[]*batch[M], message M) *batch[M] {
	queued := 0
	for _, b := range *queue {
		if slices.Contains(b.messages, message) {
			return b
		}
		queued += len(b.messages)
	}
	if queued >= c.cfg.MaxQueued {
		return nil
	}
	if n := len(*queue); n == 0 || len((*queue)[n-1].messages) >= c.cfg.MaxBatch {
		*queue = append(*queue, &batch[M]{done: make(chan struct{})})
	}
	last := (*queue)[len(*queue)-1]
	last.messages = append(last.messages, message)
	return last
}

// Serve sends queued messages until ctx is canceled.
func (c *Combiner[K, M]) Serve(ctx context.Context) error {
	defer part.CloseIfEnded(ctx, c.done)
	var senders errgroup.Group
	// The senders return no errors, so Wait returns none.
	defer func() { _ = senders.Wait() }()
	for {
		select {
		case receiver := <-c.starts:
			senders.Go(func() error { c.sendTo(ctx, receiver); return nil })
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendTo sends the batches of a receiver until none waits.
func (c *Combiner[K, M]) sendTo(ctx context.Context, receiver K) {
	for {
		b := c.next(ctx, receiver)
		if b == nil {
			return
		}
		var pause time.Duration
		b.delivered, pause = c.cfg.Send(ctx, receiver, b.messages)
		close(b.done)
		part.Sleep(ctx, pause)
	}
}

// next removes the first batch from the queue of a receiver. If there is none or ctx has ended, it removes the queue and returns nil.
func (c *Combiner[K, M]) next(ctx context.Context, receiver K) *batch[M] {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := c.queues[receiver]
	if len(queue) == 0 || ctx.Err() != nil {
		delete(c.queues, receiver)
		return nil
	}
	c.queues[receiver] = queue[1:]
	return queue[0]
}
