package slowpeer

import (
	"slices"
	"time"
)

// minStall is the time without progress from which a connection may be ended to free memory. Shorter pauses occur on every
// connection: 64 KiB take 52 ms on a link of 10 Mbit/s.
const minStall = 250 * time.Millisecond

// Limits bound how long connections may stall and how many bytes are held for all of them.
type Limits struct {
	StallTimeout time.Duration
	HoldBytes    int64
}

// State is one connection as the decision sees it.
type State struct {
	// Held is the number of bytes held for the connection.
	Held int64
	// Waiting is set while the box waits for the other side to read or send. ProgressAt is when the last bytes were transferred, or
	// when the wait began, whichever is later.
	Waiting    bool
	ProgressAt time.Time
	// HasOwnLimit is set if another limit bounds the wait, so that the connection is ended only to free memory.
	HasOwnLimit bool
}

// stall returns the time without progress, zero if the box does not wait for the other side.
func (s State) stall(now time.Time) time.Duration {
	if !s.Waiting {
		return 0
	}
	return max(0, now.Sub(s.ProgressAt))
}

// SelectEnds returns the indexes of the connections to end, the longest stalled first: those that have stalled for the stall
// timeout, unless another limit bounds them, and, while the rest holds more than HoldBytes, those that have stalled for at least minStall and hold bytes.
func (l Limits) SelectEnds(now time.Time, conns []State) []int {
	total := int64(0)
	var stalled []int
	for i, s := range conns {
		total += s.Held
		if s.stall(now) >= min(minStall, l.StallTimeout) {
			stalled = append(stalled, i)
		}
	}
	slices.SortStableFunc(stalled, func(a, b int) int { return conns[a].ProgressAt.Compare(conns[b].ProgressAt) })
	var ends []int
	for _, i := range stalled {
		timedOut := !conns[i].HasOwnLimit && conns[i].stall(now) >= l.StallTimeout
		if timedOut || (total > l.HoldBytes && conns[i].Held > 0) {
			ends = append(ends, i)
			total -= conns[i].Held
		}
	}
	return ends
}
