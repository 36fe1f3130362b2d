package loads

import (
	"cmp"
	"slices"
	"time"
)

// maxBurst is how many unused loads may be saved up, in seconds of the rate.
const maxBurst = 1.0

// Waiting is a need in a Queue.
type Waiting struct {
	ID    uint64
	Need  Need
	Since time.Time
}

// Queue decides who gets the next permit; it does no I/O. One goroutine uses it.
type Queue struct {
	budget  func() Budget
	tokens  float64
	filled  time.Time
	running int
	waiting []Waiting
}

// NewQueue returns a Queue that starts with one load to give; the budget is asked for at each decision.
func NewQueue(now time.Time, b func() Budget) *Queue {
	return &Queue{budget: b, tokens: 1, filled: now}
}

// Add puts a need in the queue: more urgent first, then the earlier latest start, then more waiters.
func (q *Queue) Add(w Waiting) {
	at, _ := slices.BinarySearchFunc(q.waiting, w, compareWaiting)
	q.waiting = slices.Insert(q.waiting, at, w)
}

func compareWaiting(a, b Waiting) int {
	return cmp.Or(
		cmp.Compare(b.Need.Urgency, a.Need.Urgency), a.Need.StartBy.Compare(b.Need.StartBy),
		cmp.Compare(b.Need.Waiters, a.Need.Waiters), cmp.Compare(a.ID, b.ID),
	)
}

// Remove takes a need out and reports whether it was still waiting.
func (q *Queue) Remove(id uint64) bool {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(w Waiting) bool { return w.ID == id })
	return len(q.waiting) < before
}

// Release ends a load that had a permit.
func (q *Queue) Release() { q.running = max(0, q.running-1) }

// Refund takes back a permit that was not used.
func (q *Queue) Refund() {
	q.Release()
	q.tokens++
}

// Next returns who gets a permit now, if any.
func (q *Queue) Next(now time.Time) (Waiting, bool) {
	q.fill(now)
	if len(q.waiting) == 0 || q.running >= q.budget().AtOnce || q.tokens < 1 {
		return Waiting{}, false
	}
	w := q.waiting[0]
	q.waiting = slices.Delete(q.waiting, 0, 1)
	q.tokens--
	q.running++
	return w, true
}

// Wait returns how long until Next can give a permit without a Release; zero or less means now, ok is false if only a Release helps.
func (q *Queue) Wait(now time.Time) (time.Duration, bool) {
	if len(q.waiting) == 0 || q.running >= q.budget().AtOnce {
		return 0, false
	}
	q.fill(now)
	if q.tokens >= 1 {
		return 0, true
	}
	const slack = time.Millisecond
	return time.Duration((1-q.tokens)/q.budget().PerSecond*float64(time.Second)) + slack, true
}

// Len returns how many needs wait.
func (q *Queue) Len() int { return len(q.waiting) }

func (q *Queue) fill(now time.Time) {
	if d := now.Sub(q.filled); d > 0 {
		rate := q.budget().PerSecond
		q.tokens = min(max(1, rate*maxBurst), q.tokens+d.Seconds()*rate)
		q.filled = now
	}
}
