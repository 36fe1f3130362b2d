package relay

import (
	"sync"
	"time"
)

// servedLinesPerSecond bounds the log lines per second for served requests. This is enough to log every request of a
// box with little load, and limits the processor time for logging on a busy one.
const servedLinesPerSecond = 20

// logSampler allows a limited number of log lines per second and counts the skipped ones.
type logSampler struct {
	mu          sync.Mutex
	windowStart time.Time
	logged      int
	skipped     int64
}

// allow reports whether a line may be written, and how many lines were skipped since the last one that was written.
func (s *logSampler) allow(now time.Time) (skipped int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.windowStart) >= time.Second {
		s.windowStart, s.logged = now, 0
	}
	if s.logged >= servedLinesPerSecond {
		s.skipped++
		return 0, false
	}
	s.logged++
	skipped, s.skipped = s.skipped, 0
	return skipped, true
}
