// Package record keeps what was decided about recent requests, in bounded memory, for operators who ask why.
package record

import (
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/result"
)

// Limits of what is kept.
const (
	maxRequests = 1024
	maxTries    = 16
)

// Try is one engine that a request was offered to.
type Try struct {
	Engine string `json:"engine"`
	Box    string `json:"box"`
	// Result says how the offer ended, Detail why.
	Result string `json:"result"`
	Detail string `json:"detail,omitempty"`
	// After is the time since the request came.
	After time.Duration `json:"after"`
}

// Request is what is kept of one request; it holds no part of its body.
type Request struct {
	ID      string    `json:"id"`
	RunID   string    `json:"run_id"`
	Adapter string    `json:"adapter"`
	Urgency int       `json:"urgency"`
	Came    time.Time `json:"came"`
	Tries   []Try     `json:"tries"`
	// Stalled is how long it waited for its adapter.
	Stalled time.Duration `json:"stalled"`
	Result  result.Code   `json:"result"`
	Took    time.Duration `json:"took"`
}

// Tried adds a try, up to a limit.
func (r *Request) Tried(t Try) {
	if len(r.Tries) < maxTries {
		t.After = time.Since(r.Came)
		r.Tries = append(r.Tries, t)
	}
}

// Log is a ring of the last requests.
type Log struct {
	mu   sync.Mutex
	ring [maxRequests]Request
	next int
}

// New returns an empty Log.
func New() *Log { return &Log{} }

// Add keeps a request in place of the oldest.
func (l *Log) Add(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.next%maxRequests] = r
	l.next++
}

// Find returns the kept requests with the id or for the adapter version, newest first, at most limit.
func (l *Log) Find(idOrAdapter string, limit int) []Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := []Request{}
	for i := l.next - 1; i >= 0 && i >= l.next-maxRequests && len(found) < limit; i-- {
		r := l.ring[i%maxRequests]
		if r.ID == idOrAdapter || r.RunID == idOrAdapter || r.Adapter == idOrAdapter {
			found = append(found, r)
		}
	}
	return found
}
