// Package recent remembers for a while that something was seen.
package recent

import (
	"sync"
	"time"
)

// maxKeys bounds what one Set remembers; beyond it the Set forgets all and starts over.
const maxKeys = 4096

// Set holds keys for a fixed time after they were last added.
type Set[K comparable] struct {
	keep  time.Duration
	mu    sync.Mutex
	until map[K]time.Time
}

// New returns an empty Set that keeps its keys for a time.
func New[K comparable](keep time.Duration) *Set[K] {
	return &Set[K]{keep: keep, until: map[K]time.Time{}}
}

// Add notes that a key was seen.
func (s *Set[K]) Add(key K, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.until) >= maxKeys {
		clear(s.until)
	}
	s.until[key] = now.Add(s.keep)
}

// Has reports whether a key was seen lately.
func (s *Set[K]) Has(key K, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[key])
}
