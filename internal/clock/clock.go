// Package clock tells how much time has passed, including the time for which the box was suspended.
//
// The steady clock of the runtime stands still with a suspended box, so that a box would believe its lease, its grants and what it heard to be younger than
// they are by that time. Whatever decides by elapsed time reads this clock; what only measures or waits within a call may read the runtime's. Timers
// sleep through a suspension, so what they guard is looked at again when something is done. The time of day decides nothing.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// lookEvery is the least time between two looks at the counting clock. A look costs two system calls, 0.2 us where these are cheap; a suspended box is at most
// this long awake before it knows.
const lookEvery = 2 * time.Millisecond

// grain is the least time that counts as suspended: the two clocks cannot be read at the same moment, and a thread may lose its turn between.
const grain = 10 * time.Millisecond

// skew is a clock that counts suspended time, held against the steady one.
type skew struct {
	// read returns how far the counting clock is ahead of the steady one, never more than it is.
	read func() (time.Duration, bool)
	// start and first are the moment and the difference at the beginning.
	start time.Time
	first time.Duration
	// looked is when the counting clock was last read, since start; suspended is how long the box has stood still since then, shifted what a test adds.
	looked    atomic.Int64
	suspended atomic.Int64
	shifted   atomic.Int64
}

// process is the clock of this process.
var process = newSkew(readSkew)

func newSkew(read func() (time.Duration, bool)) *skew {
	first, ok := read()
	if !ok {
		klog.InfoS("no clock that counts suspended time; the steady one is taken")
	}
	return &skew{read: read, start: time.Now(), first: first}
}

// readSkew reads both clocks. The steady one is read last: whatever passes between the two makes the difference smaller, never larger.
func readSkew() (time.Duration, bool) {
	var counting, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &counting) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0, false
	}
	return time.Duration(counting.Nano() - steady.Nano()), true
}

// now returns the present time with the suspended time added to its steady reading.
func (s *skew) now() time.Time {
	t := time.Now()
	since := int64(t.Sub(s.start))
	if last := s.looked.Load(); since-last >= int64(lookEvery) || since < last {
		s.look(since)
	}
	return t.Add(time.Duration(s.suspended.Load() + s.shifted.Load()))
}

// look reads the counting clock. Time that has counted is never taken back.
func (s *skew) look(since int64) {
	s.looked.Store(since)
	ahead, ok := s.read()
	if !ok {
		return
	}
	for {
		had, now := s.suspended.Load(), int64((ahead - s.first).Truncate(grain))
		if now <= had || s.suspended.CompareAndSwap(had, now) {
			return
		}
	}
}

// Now returns the present time. It compares with other readings of this package only: the runtime's clock is behind by the time that the box was suspended.
func Now() time.Time { return process.now() }

// Since returns the time since a reading.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until a reading will come.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Suspended returns how long the box has been suspended since the process began.
func Suspended() time.Duration {
	process.now()
	return time.Duration(process.suspended.Load() + process.shifted.Load())
}

// Shift makes the process believe that the box was suspended for some time just now. It is for tests alone.
func Shift(d time.Duration) { process.shifted.Add(int64(d)) }
