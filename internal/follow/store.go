package follow

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
)

// storeState records whether the store answers this box.
type storeState struct {
	scope tally.Scope
	mu    sync.Mutex
	// lost is set during an outage, which began at lostAt.
	lost   bool
	lostAt time.Time
	// lastAnswerAt is when the store last answered.
	lastAnswerAt time.Time
	// regainedAt is when the last outage ended, zero if there was none.
	regainedAt time.Time
	// cancels holds the cancel functions of the calls that interruptAll cancels.
	cancels map[uint64]context.CancelFunc
	nextID  uint64
}

func newStoreState(scope tally.Scope) *storeState {
	return &storeState{scope: scope, cancels: map[uint64]context.CancelFunc{}}
}

// interruptibleContext returns a context that also ends when the store is lost or regained, or when a kind finds that the
// store has lost its history. A waiting call thus does not outlast the network path that it uses. It also reports whether the
// store is lost as of the same instant, so that a loss either shows or ends the context.
func (s *storeState) interruptibleContext(ctx context.Context) (callCtx context.Context, cancel context.CancelFunc, isLost bool) {
	callCtx, cancelCall := context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := s.nextID
	s.cancels[id] = cancelCall
	return callCtx, func() {
		cancelCall()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.cancels, id)
	}, s.lost
}

// recordFailure records a failed call. An outage begins with the first failure.
func (s *storeState) recordFailure(now time.Time, kind string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return
	}
	s.lost, s.lostAt = true, now
	s.interruptAllLocked()
	s.scope.Counter("store_lost").Inc(1)
	klog.InfoS("store lost", "kind", kind, "err", err)
}

// interruptAll cancels all calls that use an interruptibleContext.
func (s *storeState) interruptAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interruptAllLocked()
}

// interruptAllLocked is interruptAll without locking. The caller holds the lock.
func (s *storeState) interruptAllLocked() {
	for _, cancel := range s.cancels {
		cancel()
	}
}

// recordAnswer records an answered call, which ends an outage.
func (s *storeState) recordAnswer(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAnswerAt = now
	if !s.lost {
		return
	}
	s.endOutageLocked(now, "own call")
}

// isLost reports whether the store has not answered since a call failed.
func (s *storeState) isLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// lastOutageEnd returns when the last outage ended, or the present time during an outage.
func (s *storeState) lastOutageEnd() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost {
		return clock.Now()
	}
	return s.regainedAt
}

// answerAge returns the time since the store last answered.
func (s *storeState) answerAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastAnswerAt)
}

// recordRelayedAnswer records the time at which the store answered another box. This ends an outage that began earlier. No call
// of this box would end it while relayed changes replace calls, and the next call, much later, would treat the outage as one
// that has just ended.
func (s *storeState) recordRelayedAnswer(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.lastAnswerAt) {
		s.lastAnswerAt = at
	}
	if s.lost && at.After(s.lostAt) {
		s.endOutageLocked(at, "another box")
	}
}

// endOutageLocked ends an outage. The caller holds the lock.
func (s *storeState) endOutageLocked(at time.Time, through string) {
	s.lost, s.regainedAt = false, at
	// A call that was sent during the outage may hang for seconds more, and its failure would be counted as another outage.
	s.interruptAllLocked()
	s.scope.Counter("store_regained").Inc(1)
	klog.InfoS("store regained", "away", at.Sub(s.lostAt), "through", through)
}
