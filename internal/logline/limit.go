package logline

import (
	"time"

	"k8s.io/klog/v2"
)

// RateLimiter limits the log lines per second of an event that can occur hundreds of times at once. It is not safe for concurrent
// use.
type RateLimiter struct {
	// MaxPerSecond is the maximum number of lines per second.
	MaxPerSecond int
	// written counts the lines of the second that began at secondStart. omitted counts the lines that were not written since
	// the last written line.
	secondStart      time.Time
	written, omitted int
}

// Info writes a line, unless the limit of this second is reached. The line includes the number of lines omitted before it.
func (l *RateLimiter) Info(now time.Time, msg string, keysAndValues ...any) {
	if now.Sub(l.secondStart) >= time.Second {
		l.secondStart, l.written = now, 0
	}
	if l.written >= l.MaxPerSecond {
		l.omitted++
		return
	}
	l.written++
	klog.InfoSDepth(1, msg, append(keysAndValues, "left_out", l.omitted)...)
	l.omitted = 0
}
