// Package turn assigns retry delays to refused callers, so that they retry one after another.
package turn

import "time"

// RetrySchedule assigns retry times to callers. The zero value has assigned none.
type RetrySchedule struct {
	next time.Time
}

// NextDelay returns how long the next caller must wait before its retry. Successive callers get retry times that are interval
// apart, because otherwise all callers would retry at the same moment although there is capacity for only one of them. No delay
// exceeds maxDelay.
func (t *RetrySchedule) NextDelay(now time.Time, interval, maxDelay time.Duration) time.Duration {
	if t.next.Before(now) {
		t.next = now
	}
	delay := t.next.Sub(now)
	t.next = t.next.Add(interval)
	if latest := now.Add(maxDelay); t.next.After(latest) {
		t.next = latest
	}
	return min(delay, maxDelay)
}
