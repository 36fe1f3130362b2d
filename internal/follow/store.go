package follow

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
)

// storeState says since when the store has been answering this box.
type storeState struct {
	scope tally.Scope
	mu    sync.Mutex
	away  bool
	since time.Time
	// heard is when the store last answered.
	heard time.Time
	// back is when the last outage ended; zero if there has been none.
	back time.Time
	// waiting ends the calls that wait for changes.
	waiting map[uint64]context.CancelFunc
	nextID  uint64
}

func newStoreState(scope tally.Scope) *storeState {
	return &storeState{scope: scope, waiting: map[uint64]context.CancelFunc{}}
}

// whileThere returns a context that also ends when the store is lost, so that a waiting call does not outlast the path it came by.
func (s *storeState) whileThere(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := s.nextID
	s.waiting[id] = cancel
	return ctx, func() {
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiting, id)
	}
}

// failed notes a failed call.
func (s *storeState) failed(now time.Time, kind string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return
	}
	s.away, s.since = true, now
	s.wake()
	s.scope.Counter("store_lost").Inc(1)
	klog.InfoS("store lost", "kind", kind, "err", err)
}

// wakeAll ends all waiting calls.
func (s *storeState) wakeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

func (s *storeState) wake() {
	for _, cancel := range s.waiting {
		cancel()
	}
}

// answered notes a call that was answered.
func (s *storeState) answered(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard = now
	if !s.away {
		return
	}
	s.regained(now, "own call")
}

// isAway reports whether the store has not answered since a call failed.
func (s *storeState) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// backSince returns when the last outage ended; while one lasts, that is the present.
func (s *storeState) backSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return clock.Now()
	}
	return s.back
}

// age returns the time since the store last answered.
func (s *storeState) age(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.heard)
}

// heardThrough notes that another box heard from the store at a time. An outage that began before ends with that: while the other box's
// changes stand in for calls, no call of this box would end it, and the next one, much later, would take it for an outage just over.
func (s *storeState) heardThrough(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.heard) {
		s.heard = at
	}
	if s.away && at.After(s.since) {
		s.regained(at, "another box")
	}
}

// regained ends an outage. The caller holds the lock.
func (s *storeState) regained(at time.Time, through string) {
	s.away, s.back = false, at
	// A call that was sent while the store was away may hang for seconds yet, and its end would be taken for another outage.
	s.wake()
	s.scope.Counter("store_regained").Inc(1)
	klog.InfoS("store regained", "away", at.Sub(s.since), "through", through)
}
