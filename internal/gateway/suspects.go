package gateway

import (
	"sync"
	"time"
)

// suspectFor is how long a box that did not answer is tried last.
const suspectFor = 3 * time.Second

// suspects remembers boxes that did not answer lately.
type suspects struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func newSuspects() *suspects { return &suspects{until: map[string]time.Time{}} }

func (s *suspects) add(box string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for b, t := range s.until {
		if now.After(t) {
			delete(s.until, b)
		}
	}
	s.until[box] = now.Add(suspectFor)
}

func (s *suspects) has(box string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.until[box])
}
