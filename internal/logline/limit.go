package logline

import (
	"time"

	"k8s.io/klog/v2"
)

// Limit bounds how many lines a second tell of things that may happen by the hundred at once. It is not safe for concurrent use.
type Limit struct {
	// Most is how many lines a second there are.
	Most int
	// count is how many there were in the present second, leftOut those that were one too many since the last line.
	second         time.Time
	count, leftOut int
}

// Info writes a line, unless there have been too many.
func (l *Limit) Info(now time.Time, line string, values ...any) {
	if now.Sub(l.second) >= time.Second {
		l.second, l.count = now, 0
	}
	if l.count >= l.Most {
		l.leftOut++
		return
	}
	l.count++
	klog.InfoSDepth(1, line, append(values, "left_out", l.leftOut)...)
	l.leftOut = 0
}
