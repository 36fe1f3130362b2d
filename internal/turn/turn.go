// Package turn tells those who were refused when to come back, one behind the other.
package turn

import "time"

// Turns hands out times to come back. Its zero value has handed out none.
type Turns struct {
	next time.Time
}

// Take returns how long one more caller is to wait who takes up a time of its own: behind those who were told before, so that not all come at the
// same moment for what is there for one of them. No one is told more than most.
func (t *Turns) Take(now time.Time, own, most time.Duration) time.Duration {
	if t.next.Before(now) {
		t.next = now
	}
	behind := t.next.Sub(now)
	t.next = t.next.Add(own)
	if latest := now.Add(most); t.next.After(latest) {
		t.next = latest
	}
	return min(behind, most)
}
