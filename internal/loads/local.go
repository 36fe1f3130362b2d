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
	// Budget returns what may be given out now.
	Budget func() Budget
}

// Local gives permits out of a budget of its own.
type Local struct {
	mu      sync.Mutex
	queue   *Queue
	grants  map[uint64]chan struct{}
	nextID  uint64
	changed chan struct{}
	done    chan struct{}
}

var _ Source = (*Local)(nil)

// NewLocal returns a Local; its Serve has to run.
func NewLocal(cfg LocalConfig) *Local {
	return &Local{
		queue: NewQueue(clock.Now(), cfg.Budget), grants: map[uint64]chan struct{}{},
		changed: make(chan struct{}, 1), done: make(chan struct{}),
	}
}

// Done is closed when Serve has ended.
func (l *Local) Done() <-chan struct{} { return l.done }

// Serve hands out permits until ctx ends.
func (l *Local) Serve(ctx context.Context) error {
	defer part.CloseAtEnd(ctx, l.done)
	for {
		wait, timed := l.handOut()
		var timer <-chan time.Time
		if timed {
			timer = time.After(wait)
		}
		select {
		case <-timer:
		case <-l.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *Local) handOut() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	for {
		w, ok := l.queue.Next(now)
		if !ok {
			return l.queue.Wait(now)
		}
		close(l.grants[w.ID])
		delete(l.grants, w.ID)
	}
}

// Acquire implements Source.
func (l *Local) Acquire(ctx context.Context, n Need) (Permit, error) {
	granted := make(chan struct{})
	l.mu.Lock()
	l.nextID++
	id := l.nextID
	l.grants[id] = granted
	l.queue.Add(Waiting{ID: id, Need: n, Since: clock.Now()})
	l.mu.Unlock()
	l.wake()
	select {
	case <-granted:
		return l.permit(), nil
	case <-ctx.Done():
		return nil, l.leave(ctx, id)
	}
}

// leave takes a need out; if its permit came meanwhile it goes back.
func (l *Local) leave(ctx context.Context, id uint64) error {
	l.mu.Lock()
	waiting := l.queue.Remove(id)
	delete(l.grants, id)
	l.mu.Unlock()
	if !waiting {
		l.permit()(false)
	}
	return ctx.Err()
}

func (l *Local) permit() Permit {
	var once sync.Once
	return func(used bool) { once.Do(func() { l.giveBack(used) }) }
}

func (l *Local) giveBack(used bool) {
	l.mu.Lock()
	if used {
		l.queue.Release()
	} else {
		l.queue.Refund()
	}
	l.mu.Unlock()
	l.wake()
}

func (l *Local) wake() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}
