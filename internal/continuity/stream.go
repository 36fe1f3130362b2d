// Package continuity decides how streams stay without long pauses: when a stalled stream is continued at another engine, and
// how many prompt tokens an engine takes at once beside its running streams. The decisions are free of I/O, and time is passed in.
package continuity

import "time"

const (
	// stallTimeout is the pause after an event from which a stream counts as stalled.
	stallTimeout = time.Second
	// firstEventObjectives is how many objectives a stream may take until its first event before it counts as stalled.
	firstEventObjectives = 2
	// askInterval is the time from the start of one search for another engine to the next, maxAsks the number of searches per stall.
	askInterval = 500 * time.Millisecond
	maxAsks     = 3
	// Callers give up a stream after minToleratedPause, toleratedObjectives objectives or toleratedGaps gap objectives, whichever
	// is longest.
	minToleratedPause   = 2 * time.Second
	toleratedObjectives = 4
	toleratedGaps       = 8
)

// ToleratedPause returns how long callers wait for the next event before they give up a stream.
func ToleratedPause(objective, gapObjective time.Duration) time.Duration {
	return max(minToleratedPause, toleratedObjectives*objective, toleratedGaps*gapObjective)
}

// StreamConfig describes one run of a stream at one engine.
type StreamConfig struct {
	// Objective is the target time for the first event, GapObjective the longest pause between events, zero if there is none.
	Objective    time.Duration
	GapObjective time.Duration
	// ReceivedAt is when the request arrived, SentAt when it was sent to the engine.
	ReceivedAt time.Time
	SentAt     time.Time
	// ForwardedAt is when the last event of an earlier run was forwarded, zero if there was none.
	ForwardedAt time.Time
	Deadline    time.Time
}

// UsefulUntil returns the latest time at which starting a continuation is useful to the caller.
func (c *StreamConfig) UsefulUntil() time.Time {
	from := c.ForwardedAt
	if from.IsZero() {
		from = c.ReceivedAt
	}
	until := from.Add(ToleratedPause(c.Objective, c.GapObjective))
	if c.Deadline.Before(until) {
		return c.Deadline
	}
	return until
}

// Stream follows one run of a stream and decides when to look for another engine and whether to continue there. It is not safe
// for concurrent use.
type Stream struct {
	cfg StreamConfig
	// hasEvents is set once the run has sent an event. forwarding is set from the arrival of an event until it is forwarded.
	hasEvents  bool
	forwarding bool
	// longestGap is the longest pause between two events of this run. longestPause includes the pause before its first event if an
	// earlier run had sent events.
	longestGap   time.Duration
	longestPause time.Duration
	// asks counts the searches during this stall, lastAsk is the start of the last one.
	asks    int
	lastAsk time.Time
	asking  bool
}

// NewStream returns a Stream that has sent no events yet.
func NewStream(cfg StreamConfig) *Stream { return &Stream{cfg: cfg} }

// RecordArrival records that an event arrived from the engine. It ends a stall and voids the search for another engine.
func (s *Stream) RecordArrival(now time.Time) {
	if !s.cfg.ForwardedAt.IsZero() {
		pause := now.Sub(s.cfg.ForwardedAt)
		s.longestPause = max(s.longestPause, pause)
		if s.hasEvents {
			s.longestGap = max(s.longestGap, pause)
		}
	}
	s.hasEvents, s.forwarding = true, true
	s.asks, s.asking = 0, false
}

// RecordForwarded records that the event has been written to the caller. The next pause counts from here, so that a caller that
// reads slowly does not make its engine seem stalled.
func (s *Stream) RecordForwarded(now time.Time) {
	s.forwarding = false
	s.cfg.ForwardedAt = now
}

// RecordCut records that the run broke off. The pause since the last forwarded event then counts as a pause of the run.
func (s *Stream) RecordCut(now time.Time) {
	if s.hasEvents && !s.forwarding {
		s.longestGap = max(s.longestGap, now.Sub(s.cfg.ForwardedAt))
	}
}

// ForwardedAt returns when the last event was forwarded, zero if none was.
func (s *Stream) ForwardedAt() time.Time { return s.cfg.ForwardedAt }

// LongestGap returns the longest pause between two events of this run, or between its last event and its cut. It is zero if there was
// none.
func (s *Stream) LongestGap() time.Duration { return s.longestGap }

// LongestPause returns the longest pause between two events as the caller saw it, including the one before this run.
func (s *Stream) LongestPause() time.Duration { return s.longestPause }

// UsefulUntil returns the latest time at which starting a continuation is useful.
func (s *Stream) UsefulUntil() time.Time { return s.cfg.UsefulUntil() }

// stalledAt returns the time from which the stream counts as stalled unless another event arrives.
func (s *Stream) stalledAt() time.Time {
	if !s.hasEvents {
		return s.cfg.SentAt.Add(firstEventObjectives * s.cfg.Objective)
	}
	return s.cfg.ForwardedAt.Add(stallTimeout)
}

// NextAsk returns the time of the next search for another engine, according to what is known now. It returns false if the stall
// gets no further search. A later event starts anew.
func (s *Stream) NextAsk(now time.Time) (time.Time, bool) {
	if s.forwarding {
		return now.Add(stallTimeout), true
	}
	at := s.stalledAt()
	if s.asks > 0 {
		at = s.lastAsk.Add(askInterval)
	}
	if at.Before(now) {
		at = now
	}
	return at, s.asks < maxAsks && at.Before(s.UsefulUntil())
}

// BeginAsk starts a search for another engine.
func (s *Stream) BeginAsk(now time.Time) {
	s.asks++
	s.lastAsk, s.asking = now, true
}

// IsStalled reports whether no event has arrived since the last search for another engine began.
func (s *Stream) IsStalled() bool { return s.asking }

// ShouldSwitch reports whether the stream should continue at the engine that granted it. It is false if an event has arrived since
// BeginAsk, or if the continuation would come too late for the caller.
func (s *Stream) ShouldSwitch(now time.Time) bool { return s.asking && now.Before(s.UsefulUntil()) }
