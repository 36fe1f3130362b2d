// Package record stores how recent requests were handled, in bounded memory, so that operators can look it up.
package record

import (
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/result"
)

// Limits of the stored data.
const (
	maxRequests = 1024
	// maxTries is the limit for each request.
	maxTries = 16
)

// Try is one attempt to run a request on an engine.
type Try struct {
	Engine string `json:"engine"`
	Box    string `json:"box"`
	// Result is the name of the result code, Detail the reason for an error.
	Result string `json:"result"`
	Detail string `json:"detail,omitempty"`
	// Elapsed is the time from the arrival of the request to the end of the try.
	Elapsed time.Duration `json:"after"`
}

// Request describes how one request was handled. It contains no part of the request body.
type Request struct {
	ID         string    `json:"id"`
	RunID      string    `json:"run_id"`
	Adapter    string    `json:"adapter"`
	Urgency    int       `json:"urgency"`
	ReceivedAt time.Time `json:"came"`
	Tries      []Try     `json:"tries"`
	// AdapterWait is how long the request waited for its adapter to be loaded.
	AdapterWait time.Duration `json:"stalled"`
	Result      result.Code   `json:"result"`
	Duration    time.Duration `json:"took"`
}

// AddTry adds a try, up to a limit.
func (r *Request) AddTry(t Try) {
	if len(r.Tries) < maxTries {
		t.Elapsed = time.Since(r.ReceivedAt)
		r.Tries = append(r.Tries, t)
	}
}

// Log is a ring buffer of the newest requests.
type Log struct {
	mu   sync.Mutex
	ring [maxRequests]Request
	next int
}

// New returns an empty Log.
func New() *Log { return &Log{} }

// Add stores a request and overwrites the oldest one if the Log is full.
func (l *Log) Add(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.next%maxRequests] = r
	l.next++
}

// Find returns the stored requests with the request id, run id or adapter version, newest first, at most limit.
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
