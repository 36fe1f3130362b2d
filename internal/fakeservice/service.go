// Package fakeservice stands in for a plain service, some of whose calls must not be repeated.
package fakeservice

import (
	"io"
	"maps"
	"net/http"
	"sync"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/result"
)

// Faults are switched on by tests.
type Faults struct {
	// BreakAfterRun runs this many calls and breaks the connection.
	BreakAfterRun int
	// Refuse answers this many calls with 503 before running them.
	Refuse int
	// Rate, if set, is named in all answers as the calls a second that the service takes from all boxes.
	Rate string
	// Leaving says in all answers that the service leaves.
	Leaving bool
	// Rest, if set, turns all calls away and names as many seconds of rest.
	Rest string
}

// Reply is what the service answers.
type Reply struct {
	Service   string `json:"service"`
	RequestID string `json:"request_id"`
	Bytes     int64  `json:"bytes"`
}

// Service is the stand-in.
type Service struct {
	name   string
	mu     sync.Mutex
	runs   map[string]int
	faults Faults
}

// New returns a Service.
func New(name string) *Service { return &Service{name: name, runs: map[string]int{}} }

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each request id was run.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Handler serves every path; GET /history tells the runs.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /history", func(w http.ResponseWriter, _ *http.Request) { httpx.WriteJSON(w, http.StatusOK, s.Runs()) })
	mux.HandleFunc("/", s.handle)
	return mux
}

func (s *Service) handle(w http.ResponseWriter, r *http.Request) {
	if rest := s.say(w.Header()); rest != "" {
		w.Header().Set("Retry-After", rest)
		http.Error(w, "resting", http.StatusServiceUnavailable)
		return
	}
	if s.refuses() {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(result.HeaderRequest)
	if s.runAndBreak(id) {
		panic(http.ErrAbortHandler)
	}
	httpx.WriteJSON(w, http.StatusOK, Reply{Service: s.name, RequestID: id, Bytes: n})
}

// say says in the head of an answer what the service says of itself. It returns the seconds of rest to ask for, empty if calls are taken.
func (s *Service) say(h http.Header) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Rate != "" {
		h.Set(result.HeaderRate, s.faults.Rate)
	}
	if s.faults.Leaving {
		h.Set(result.HeaderLeaving, "1")
	}
	return s.faults.Rest
}

func (s *Service) refuses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Refuse <= 0 {
		return false
	}
	s.faults.Refuse--
	return true
}

func (s *Service) runAndBreak(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	if s.faults.BreakAfterRun <= 0 {
		return false
	}
	s.faults.BreakAfterRun--
	return true
}
