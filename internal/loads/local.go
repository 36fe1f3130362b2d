package loads

import (
	"context"
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/part"
)

// LocalConfig configures a Local.
type LocalConfig struct {
	// Budget returns the current budget.
	Budget func() Budget
}

// Local grants permits from its own budget.
type Local struct {
	mu           sync.Mutex
	queue        *Queue
	grantSignals map[uint64]chan struct{}
	nextID       uint64
	wakeup       chan struct{}
	done         chan struct{}
}

var _ Source = (*Local)(nil)

// NewLocal returns a Local. The caller must run Serve.
func NewLocal(cfg LocalConfig) *Local {
	return &Local{
		queue: NewQueue(clock.Now(), cfg.Budget), grantSignals: map[uint64]chan struct{}{},
		wakeup: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// Done returns a channel that is closed when Serve has ended.
func (l *Local) Done() <-chan struct{} { return l.done }

// Serve grants permits until ctx ends.
func (l *Local) Serve(ctx context.Context) error {
	defer part.CloseIfEnded(ctx, l.done)
	for {
		wait, hasNext := l.grantPermits()
		var timer <-chan time.Time
		if hasNext {
			timer = time.After(wait)
		}
		select {
		case <-timer:
		case <-l.wakeup:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// grantPermits grants all permits that are available now. It returns the time until the next one, or false if no request waits or
// only a release can free a permit.
func (l *Local) grantPermits() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	for {
		w, ok := l.queue.Next(now)
		if !ok {
			return l.queue.TimeToNext(now)
		}
		close(l.grantSignals[w.ID])
		delete(l.grantSignals, w.ID)
	}
}

// Acquire implements Source.
func (l *Local) Acquire(ctx context.Context, req Request) (Permit, error) {
	granted := make(chan struct{})
	l.mu.Lock()
	l.nextID++
	id := l.nextID
	l.grantSignals[id] = granted
	l.queue.Add(QueuedRequest{ID: id, Request: req, Since: clock.Now()})
	l.mu.Unlock()
	l.notifyServe()
	select {
	case <-granted:
		return l.newPermit(), nil
	case <-ctx.Done():
		return nil, l.cancelWait(ctx, id)
	}
}

// cancelWait removes a request from the queue. If its permit has been granted in the meantime, it returns the permit unused.
func (l *Local) cancelWait(ctx context.Context, id uint64) error {
	l.mu.Lock()
	wasWaiting := l.queue.Remove(id)
	delete(l.grantSignals, id)
	l.mu.Unlock()
	if !wasWaiting {
		l.newPermit()(false)
	}
	return ctx.Err()
}

func (l *Local) newPermit() Permit {
	var once sync.Once
	return func(used bool) { once.Do(func() { l.returnPermit(used) }) }
}

func (l *Local) returnPermit(used bool) {
	l.mu.Lock()
	if used {
		l.queue.Release()
	} else {
		l.queue.Refund()
	}
	l.mu.Unlock()
	l.notifyServe()
}

func (l *Local) notifyServe() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}
