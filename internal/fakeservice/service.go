// Package fakeservice implements a fake HTTP service for tests. It counts the executions of each call, so that tests find calls
// that ran more than once although they must not be retried.
package fakeservice

import (
	"io"
	"maps"
	"net/http"
	"sync"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/result"
)

// Faults are the faults that the service simulates.
type Faults struct {
	// DropResponses is the number of upcoming calls that are executed, but whose connection is closed before the response.
	DropResponses int
	// Refuse is the number of upcoming calls that are refused with status 503 and not executed.
	Refuse int
	// RateLimit, if set, is sent with all responses as the number of calls per second that the service accepts from all boxes
	// together.
	RateLimit string
	// Leaving adds a header to all responses, which announces that the service is leaving.
	Leaving bool
	// RetryAfter, if set, makes the service refuse all calls and is sent as the Retry-After header, in seconds.
	RetryAfter string
}

// Reply is the response to a call.
type Reply struct {
	Service   string `json:"service"`
	RequestID string `json:"request_id"`
	Bytes     int64  `json:"bytes"`
}

// Service is the fake service.
type Service struct {
	name   string
	mu     sync.Mutex
	runs   map[string]int
	faults Faults
}

// New returns a Service with the given name.
func New(name string) *Service { return &Service{name: name, runs: map[string]int{}} }

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the number of executions by request ID.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Handler returns a handler that accepts calls on every path, except that GET /history returns Runs.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /history", func(w http.ResponseWriter, _ *http.Request) { httpx.WriteJSON(w, http.StatusOK, s.Runs()) })
	mux.HandleFunc("/", s.handle)
	return mux
}

func (s *Service) handle(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(result.HeaderCall); id != "" {
		w.Header().Set(result.HeaderCall, id)
	}
	if retryAfter := s.setNoticeHeaders(w.Header()); retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
		http.Error(w, "resting", http.StatusServiceUnavailable)
		return
	}
	if s.consumeRefusal() {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(result.HeaderRequest)
	if s.recordRun(id) {
		panic(http.ErrAbortHandler)
	}
	httpx.WriteJSON(w, http.StatusOK, Reply{Service: s.name, RequestID: id, Bytes: n})
}

// setNoticeHeaders sets the headers that announce the service's rate limit and that it is leaving. It returns the value of the
// Retry-After header, or an empty string if the service accepts calls.
func (s *Service) setNoticeHeaders(h http.Header) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.RateLimit != "" {
		h.Set(result.HeaderRate, s.faults.RateLimit)
	}
	if s.faults.Leaving {
		h.Set(result.HeaderLeaving, "1")
	}
	return s.faults.RetryAfter
}

// consumeRefusal reports whether to refuse a call, and decrements the number of calls that remain to be refused.
func (s *Service) consumeRefusal() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse <= 0 {
		return false
	}
	s.faults.Refuse--
	return true
}

// recordRun counts an execution. It reports whether to close the connection instead of sending a response.
func (s *Service) recordRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	if s.faults.DropResponses <= 0 {
		return false
	}
	s.faults.DropResponses--
	return true
}
