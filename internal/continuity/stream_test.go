package continuity_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/continuity"
)

const ms = time.Millisecond

// TestUsefulUntil guards against bounds that refuse continuations while callers still wait, or allow them after callers left.
func TestUsefulUntil(t *testing.T) {
	received := time.Unix(1000, 0)
	for _, tt := range []struct {
		name           string
		objective, gap time.Duration
		forwarded      time.Duration
		deadline       time.Duration
		want           time.Duration
	}{
		{"two seconds from the receipt", 400 * ms, 0, 0, time.Minute, 2000 * ms},
		{"from the last event", 400 * ms, 0, 5000 * ms, time.Minute, 7000 * ms},
		{"four objectives", 800 * ms, 300 * ms, 0, time.Minute, 3200 * ms},
		{"eight gap objectives", 400 * ms, 400 * ms, 1000 * ms, time.Minute, 4200 * ms},
		{"deadline near", 400 * ms, 400 * ms, 1000 * ms, 1500 * ms, 1500 * ms},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cfg := continuity.StreamConfig{Objective: tt.objective, GapObjective: tt.gap, ReceivedAt: received, Deadline: received.Add(tt.deadline)}
			if tt.forwarded > 0 {
				cfg.ForwardedAt = received.Add(tt.forwarded)
			}
			qt.Check(t, cfg.UsefulUntil().Sub(received), qt.Equals, tt.want)
		})
	}
}

// TestAsksOfStall guards against searches that start too early, never end, or cut a stream that goes on. Searches fail at once.
func TestAsksOfStall(t *testing.T) {
	received := time.Unix(1000, 0)
	for _, tt := range []struct {
		name   string
		events []time.Duration
		left   time.Duration
		want   []time.Duration
	}{
		{"no first event", nil, time.Minute, []time.Duration{800 * ms, 1300 * ms, 1800 * ms}},
		{"silent after two events", []time.Duration{100 * ms, 600 * ms}, time.Minute, []time.Duration{1600 * ms, 2100 * ms, 2600 * ms}},
		{"deadline near", []time.Duration{100 * ms}, 1400 * ms, []time.Duration{1100 * ms}},
		{"deadline before the stall", []time.Duration{100 * ms}, 900 * ms, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := continuity.NewStream(continuity.StreamConfig{
				Objective: 400 * ms, GapObjective: 400 * ms, ReceivedAt: received, SentAt: received, Deadline: received.Add(tt.left),
			})
			now := received
			for _, e := range tt.events {
				now = received.Add(e)
				s.RecordArrival(now)
				s.RecordForwarded(now)
			}
			var asks []time.Duration
			for {
				at, ok := s.NextAsk(now)
				if !ok {
					break
				}
				now = at
				s.BeginAsk(now)
				c.Check(s.ShouldSwitch(now), qt.IsTrue)
				asks = append(asks, now.Sub(received))
			}
			c.Check(asks, qt.DeepEquals, tt.want)
			s.RecordArrival(now)
			c.Check(s.ShouldSwitch(now), qt.IsFalse)
		})
	}
}

// TestPauseBeforeCut guards against leaving out the pause because of which a run was cut, and against taking the wait for a first event
// or for a slow caller for such a pause.
func TestPauseBeforeCut(t *testing.T) {
	for _, tt := range []struct {
		name               string
		arrived, forwarded bool
		want               time.Duration
	}{
		{"no event", false, false, 0},
		{"event not forwarded", true, false, 0},
		{"pause after an event", true, true, 1500 * ms},
	} {
		t.Run(tt.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := continuity.NewStream(continuity.StreamConfig{Objective: 400 * ms, ReceivedAt: now, SentAt: now, ForwardedAt: now, Deadline: now.Add(time.Minute)})
			if tt.arrived {
				s.RecordArrival(now)
			}
			if tt.forwarded {
				s.RecordForwarded(now)
			}
			s.RecordCut(now.Add(1500 * ms))
			qt.Check(t, s.LongestGap(), qt.Equals, tt.want)
		})
	}
}

// TestSlowCallerIsNoStall guards against taking the time in which a caller does not read for a pause of the engine.
func TestSlowCallerIsNoStall(t *testing.T) {
	now := time.Unix(1000, 0)
	s := continuity.NewStream(continuity.StreamConfig{Objective: 400 * ms, ReceivedAt: now, SentAt: now, Deadline: now.Add(time.Minute)})
	s.RecordArrival(now)
	later := now.Add(5 * time.Second)
	at, _ := s.NextAsk(later)
	qt.Check(t, at.After(later), qt.IsTrue)
	s.RecordForwarded(later)
	s.RecordArrival(later.Add(30 * ms))
	qt.Check(t, s.LongestGap(), qt.Equals, 30*ms)
}
