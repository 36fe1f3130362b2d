// Package clock measures elapsed time, including the time for which the box was suspended.
//
// The monotonic clock of the Go runtime stops while the box is suspended. By that clock, the lease, the grants and the received messages of a box would
// seem younger than they are. All decisions that depend on elapsed time must therefore use this package. Code that only measures a duration or waits
// within a call may use the runtime's clock. Timers do not advance during a suspension, so code that depends on a timer must check this clock again
// before it acts. No decision depends on the time of day.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// minReadInterval is the minimum time between two reads of the boot-time clock. A read takes two system calls, 0.2 us where system calls are cheap.
// After a suspension, the box detects it within this time.
const minReadInterval = 2 * time.Millisecond

// granularity is the shortest suspension that is counted. Smaller differences are ignored: the two clocks cannot be read at the same moment,
// and the thread may be preempted between the two reads.
const granularity = 10 * time.Millisecond

// suspendClock measures the suspended time by comparing the boot-time clock, which includes it, with the monotonic clock, which does not.
type suspendClock struct {
	// readOffset returns how far the boot-time clock is ahead of the monotonic clock. It may return too little, but never too much.
	readOffset func() (time.Duration, bool)
	// start is the time at which the suspendClock was created, initialOffset the offset at that time.
	start         time.Time
	initialOffset time.Duration
	// lastRead is the time of the last read of the boot-time clock, suspended the total suspended time, both since start.
	// testShift is the time that tests add by Shift.
	lastRead  atomic.Int64
	suspended atomic.Int64
	testShift atomic.Int64
}

// processClock is the clock of this process.
var processClock = newSuspendClock(readClockOffset)

func newSuspendClock(readOffset func() (time.Duration, bool)) *suspendClock {
	initialOffset, ok := readOffset()
	if !ok {
		klog.InfoS("boot-time clock not available; suspended time is not counted")
	}
	return &suspendClock{readOffset: readOffset, start: time.Now(), initialOffset: initialOffset}
}

// readClockOffset returns the difference of the two clocks. It reads the monotonic clock last, so that a delay between the two reads can only make
// the difference smaller.
func readClockOffset() (time.Duration, bool) {
	var boottime, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boottime) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0, false
	}
	return time.Duration(boottime.Nano() - monotonic.Nano()), true
}

// now returns the current time with the suspended time added to its monotonic reading.
func (s *suspendClock) now() time.Time {
	t := time.Now()
	since := int64(t.Sub(s.start))
	if last := s.lastRead.Load(); since-last >= int64(minReadInterval) || since < last {
		s.update(since)
	}
	return t.Add(time.Duration(s.suspended.Load() + s.testShift.Load()))
}

// update reads the boot-time clock and updates the suspended time, which never decreases.
func (s *suspendClock) update(since int64) {
	s.lastRead.Store(since)
	offset, ok := s.readOffset()
	if !ok {
		return
	}
	for {
		counted, suspended := s.suspended.Load(), int64((offset - s.initialOffset).Truncate(granularity))
		if suspended <= counted || s.suspended.CompareAndSwap(counted, suspended) {
			return
		}
	}
}

// Now returns the current time. Compare it only with other times from this package: the runtime's clock is behind by the suspended time.
func Now() time.Time { return processClock.now() }

// Since returns the time elapsed since t, which must come from this package.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time left until t, which must be derived from a time of this package.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// Suspended returns the total time for which the box has been suspended since the process started.
func Suspended() time.Duration {
	processClock.now()
	return time.Duration(processClock.suspended.Load() + processClock.testShift.Load())
}

// Shift simulates a suspension of the box for d. Only tests may use it.
func Shift(d time.Duration) { processClock.testShift.Add(int64(d)) }
