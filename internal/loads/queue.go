package loads

import (
	"cmp"
	"slices"
	"time"
)

// maxBurstSeconds limits the unused loads that may be saved up: at most as many as the rate allows in this many seconds, but
// always at least one.
const maxBurstSeconds = 1.0

// QueuedRequest is a request in a Queue.
type QueuedRequest struct {
	ID      uint64
	Request Request
	Since   time.Time
}

// Queue decides which request gets the next permit. It limits the rate with a token bucket. It does no I/O and is not safe for
// concurrent use.
type Queue struct {
	budget       func() Budget
	tokens       float64
	lastRefill   time.Time
	runningLoads int
	waiting      []QueuedRequest
}

// NewQueue returns a Queue that allows one load immediately. It calls budget for the current budget at each decision.
func NewQueue(now time.Time, budget func() Budget) *Queue {
	return &Queue{budget: budget, tokens: 1, lastRefill: now}
}

// Add inserts a request into the queue. The order is: higher urgency first, then earlier StartBy, then more waiters.
func (q *Queue) Add(w QueuedRequest) {
	index, _ := slices.BinarySearchFunc(q.waiting, w, compareWaiting)
	q.waiting = slices.Insert(q.waiting, index, w)
}

func compareWaiting(a, b QueuedRequest) int {
	return cmp.Or(
		cmp.Compare(b.Request.Urgency, a.Request.Urgency), a.Request.StartBy.Compare(b.Request.StartBy),
		cmp.Compare(b.Request.Waiters, a.Request.Waiters), cmp.Compare(a.ID, b.ID),
	)
}

// Remove removes a request from the queue and reports whether it was still waiting.
func (q *Queue) Remove(id uint64) bool {
	lengthBefore := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(w QueuedRequest) bool { return w.ID == id })
	return len(q.waiting) < lengthBefore
}

// Release marks the load of a granted permit as ended.
func (q *Queue) Release() { q.runningLoads = max(0, q.runningLoads-1) }

// Refund returns an unused permit, including its share of the rate.
func (q *Queue) Refund() {
	q.Release()
	q.tokens++
}

// Next grants a permit to the first request in the queue and returns that request. It returns false if no permit can be granted
// now.
func (q *Queue) Next(now time.Time) (QueuedRequest, bool) {
	q.refill(now)
	if len(q.waiting) == 0 || q.runningLoads >= q.budget().MaxConcurrent || q.tokens < 1 {
		return QueuedRequest{}, false
	}
	w := q.waiting[0]
	q.waiting = slices.Delete(q.waiting, 0, 1)
	q.tokens--
	q.runningLoads++
	return w, true
}

// TimeToNext returns the time until Next can grant a permit without a Release. Zero or less means now. It returns false if no
// request waits or if only a Release can free a permit.
func (q *Queue) TimeToNext(now time.Time) (time.Duration, bool) {
	if len(q.waiting) == 0 || q.runningLoads >= q.budget().MaxConcurrent {
		return 0, false
	}
	q.refill(now)
	if q.tokens >= 1 {
		return 0, true
	}
	const slack = time.Millisecond
	return time.Duration((1-q.tokens)/q.budget().PerSecond*float64(time.Second)) + slack, true
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// refill adds the tokens for the time since the last refill, up to the burst limit.
func (q *Queue) refill(now time.Time) {
	if elapsed := now.Sub(q.lastRefill); elapsed > 0 {
		rate := q.budget().PerSecond
		q.tokens = min(max(1, rate*maxBurstSeconds), q.tokens+elapsed.Seconds()*rate)
		q.lastRefill = now
	}
}
