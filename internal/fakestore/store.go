// Package fakestore stands in for the weight store: limited loads a second, few of them at full speed.
package fakestore

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Config configures a Store.
type Config struct {
	// PerSecond is the rate of loads, AtOnce how many run at full speed.
	PerSecond float64 `json:"per_second"`
	AtOnce    int     `json:"at_once"`
	// LoadTime is the time of one load at full speed.
	LoadTime time.Duration `json:"load_time"`
}

// Counts are the loads so far.
type Counts struct {
	Loads int `json:"loads"`
	// Peak is the most loads that ran at once.
	Peak int `json:"peak"`
	// Slowed counts loads that ran above AtOnce or above the rate.
	Slowed int `json:"slowed"`
}

// Store is the stand-in.
type Store struct {
	cfg     Config
	mu      sync.Mutex
	running int
	next    time.Time
	counts  Counts
}

// New returns a Store.
func New(cfg Config) *Store { return &Store{cfg: cfg} }

// Fetch takes the time that a load takes now.
func (s *Store) Fetch(ctx context.Context, _ string) error {
	wait := s.begin()
	defer s.end()
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// begin reserves the next load of the rate and stretches loads above AtOnce.
func (s *Store) begin() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.running++
	s.counts.Loads++
	s.counts.Peak = max(s.counts.Peak, s.running)
	var queued time.Duration
	if s.next.After(now) {
		queued = s.next.Sub(now)
	} else {
		s.next = now
	}
	if s.cfg.PerSecond > 0 {
		s.next = s.next.Add(time.Duration(float64(time.Second) / s.cfg.PerSecond))
	}
	stretch := max(1, float64(s.running)/float64(max(1, s.cfg.AtOnce)))
	if queued > 0 || stretch > 1 {
		s.counts.Slowed++
	}
	return queued + time.Duration(stretch*float64(s.cfg.LoadTime))
}

func (s *Store) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// Counts returns the loads so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Handler serves GET /weights/{key} and GET /counts.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{key}", func(w http.ResponseWriter, r *http.Request) {
		if err := s.Fetch(r.Context(), r.PathValue("key")); err != nil {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		// The reader may be gone; there is nobody left to tell.
		_ = json.NewEncoder(w).Encode(s.Counts())
	})
	return mux
}
