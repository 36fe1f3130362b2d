// Package recent provides a set whose keys expire after a fixed time.
package recent

import (
	"sync"
	"time"
)

// maxKeys is the maximum number of keys in a Set. A full Set drops all keys before it adds another one.
const maxKeys = 4096

// Set contains each key for a fixed time after it was last added.
type Set[K comparable] struct {
	ttl    time.Duration
	mu     sync.Mutex
	expiry map[K]time.Time
}

// New returns an empty Set whose keys expire after ttl.
func New[K comparable](ttl time.Duration) *Set[K] {
	return &Set[K]{ttl: ttl, expiry: map[K]time.Time{}}
}

// Add adds a key or extends its expiry time.
func (s *Set[K]) Add(key K, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.expiry) >= maxKeys {
		clear(s.expiry)
	}
	s.expiry[key] = now.Add(s.ttl)
}

// Has reports whether a key was added and has not expired.
func (s *Set[K]) Has(key K, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.expiry[key])
}

// AddedAt returns when a key was last added. It returns false if the key was not added or has expired.
func (s *Set[K]) AddedAt(key K, now time.Time) (at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	expiry, ok := s.expiry[key]
	return expiry.Add(-s.ttl), ok && now.Before(expiry)
}
