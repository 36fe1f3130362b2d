package relay

import (
	"sync"
	"time"
)

// servedLines is how many lines a second tell of requests that were served: enough to follow a quiet box whole, and a bounded
// part of the processor time of a busy one.
const servedLines = 20

// sample lets a bounded number of lines a second through and counts those left out.
type sample struct {
	mu      sync.Mutex
	second  time.Time
	told    int
	leftOut int64
}

// take reports whether a line may be written, and how many were left out since the last one that was.
func (s *sample) take(now time.Time) (leftOut int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.second) >= time.Second {
		s.second, s.told = now, 0
	}
	if s.told >= servedLines {
		s.leftOut++
		return 0, false
	}
	s.told++
	leftOut, s.leftOut = s.leftOut, 0
	return leftOut, true
}
