// Package fakestore implements a fake weight store for tests. It limits the loads per second and slows down loads if too many
// run at the same time.
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
	// PerSecond is the maximum number of loads that start per second; 0 sets no limit.
	// MaxFullSpeedLoads is the maximum number of loads that run at full speed at the same time.
	PerSecond         float64 `json:"per_second"`
	MaxFullSpeedLoads int     `json:"at_once"`
	// LoadTime is the duration of a load at full speed.
	LoadTime time.Duration `json:"load_time"`
}

// Counts are statistics of the loads so far.
type Counts struct {
	Loads int `json:"loads"`
	// Peak is the maximum number of loads that ran at the same time.
	Peak int `json:"peak"`
	// Slowed counts the loads that were slowed down or delayed because they exceeded MaxFullSpeedLoads or PerSecond.
	Slowed int `json:"slowed"`
}

// Store is the fake weight store.
type Store struct {
	cfg         Config
	mu          sync.Mutex
	activeLoads int
	// nextLoadStart is the earliest time at which PerSecond allows the next load to start.
	nextLoadStart time.Time
	counts        Counts
}

// New returns a Store.
func New(cfg Config) *Store { return &Store{cfg: cfg} }

// Fetch simulates a load: it waits for the time that a load takes under the current number of loads.
func (s *Store) Fetch(ctx context.Context, _ string) error {
	duration := s.startLoad()
	defer s.endLoad()
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startLoad counts a load and returns its duration. The duration includes the delay that PerSecond requires, and is longer if
// more than MaxFullSpeedLoads loads run at the same time.
func (s *Store) startLoad() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.activeLoads++
	s.counts.Loads++
	s.counts.Peak = max(s.counts.Peak, s.activeLoads)
	var queueDelay time.Duration
	if s.nextLoadStart.After(now) {
		queueDelay = s.nextLoadStart.Sub(now)
	} else {
		s.nextLoadStart = now
	}
	if s.cfg.PerSecond > 0 {
		s.nextLoadStart = s.nextLoadStart.Add(time.Duration(float64(time.Second) / s.cfg.PerSecond))
	}
	slowdown := max(1, float64(s.activeLoads)/float64(max(1, s.cfg.MaxFullSpeedLoads)))
	if queueDelay > 0 || slowdown > 1 {
		s.counts.Slowed++
	}
	return queueDelay + time.Duration(slowdown*float64(s.cfg.LoadTime))
}

func (s *Store) endLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeLoads--
}

// Counts returns the statistics of the loads so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Handler returns a handler for GET /weights/{key}, which simulates a load, and GET /counts.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{key}", func(w http.ResponseWriter, r *http.Request) {
		if err := s.Fetch(r.Context(), r.PathValue("key")); err != nil {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		// Ignore errors: if the client has closed the connection, they cannot be reported to it.
		_ = json.NewEncoder(w).Encode(s.Counts())
	})
	return mux
}
