package owner_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/resource"
)

const (
	gapObjective = 400 * time.Millisecond
	// In each step, the simulated engine generates a token for each running stream and processes a piece of each of its first
	// simPrompts prompts.
	simDecode  = 15 * time.Millisecond
	simPiece   = 512
	simPrompts = 8
	// Engine speeds differ by a factor of about 2.4.
	slowRate, fastRate = 8000, 19000
	promptTokens       = 1800
	longStream         = 57
	shortStream        = 8
)

var simStart = time.Unix(1000, 0)

// simRun is a stream at the simulated engine.
type simRun struct {
	id                   uint64
	events, sent, prompt int
	lastEvent            time.Time
	longest              time.Duration
}

// simEngine runs the tickets that a State starts, in simulated time.
type simEngine struct {
	state   *owner.State
	rate    float64
	now     time.Time
	nextID  uint64
	running []*simRun
	// openLong counts the streams of longStream events that have not ended. late and ended count those that have, served all.
	openLong, late, ended, served int
}

func (e *simEngine) submit(events int) {
	e.nextID++
	e.openLong += boolToInt(events == longStream)
	e.apply(e.state.Submit(e.now, owner.Ticket{
		ID: e.nextID, Ref: ref(1), Arrived: e.now, StartBy: e.now.Add(time.Minute), Prompt: promptTokens, Output: events, GapObjective: gapObjective,
		Urgency: boolToInt(events == longStream),
	}))
}

func (e *simEngine) apply(actions []owner.Action) {
	for _, a := range actionsOf[owner.Start](actions) {
		e.running = append(e.running, &simRun{id: a.Ticket.ID, events: a.Ticket.Output, prompt: a.Ticket.Prompt})
	}
}

// step runs one step of the engine.
func (e *simEngine) step() {
	took := simDecode
	prompts := 0
	for _, r := range e.running {
		if r.prompt > 0 && prompts < simPrompts {
			tokens := min(r.prompt, simPiece)
			r.prompt -= tokens
			prompts++
			took += time.Duration(float64(tokens) / e.rate * float64(time.Second))
		}
	}
	e.now = e.now.Add(took)
	ready := slices.DeleteFunc(slices.Clone(e.running), func(r *simRun) bool { return r.prompt > 0 })
	for _, r := range ready {
		e.sendEvent(r)
	}
	e.apply(e.state.Tick(e.now))
}

// sendEvent sends the next event of a stream.
func (e *simEngine) sendEvent(r *simRun) {
	if r.sent == 0 {
		e.apply(e.state.RecordFirstToken(e.now, r.id))
	} else {
		r.longest = max(r.longest, e.now.Sub(r.lastEvent))
	}
	r.sent++
	r.lastEvent = e.now
	if r.sent < r.events {
		return
	}
	e.running = slices.DeleteFunc(e.running, func(other *simRun) bool { return other == r })
	e.served++
	if r.events == longStream {
		e.openLong--
		e.ended++
		e.late += boolToInt(r.longest > gapObjective)
	}
	e.state.RecordGap(e.now, r.id, r.longest)
	e.apply(e.state.FinishTicket(e.now, r.id, owner.EndWhole))
}

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// runBursts lets 64 prompts of 1,800 tokens arrive at once every 20 s, four times, at an engine with 8 running streams of 57
// events. It returns the engine after all streams have ended. The long streams count from the second burst on.
func runBursts(rate float64, limitGaps bool) *simEngine {
	s := owner.New(owner.Config{Slots: 2, Batch: 64, MaxQueue: 200, PrefillRate: rate, KVTokens: 147644, LimitGaps: limitGaps})
	s.Adopt([]resource.Ref{ref(1)}, false)
	e := &simEngine{state: s, rate: rate, now: simStart}
	for burst := 0; burst < 4; e.step() {
		for e.openLong < 8 {
			e.submit(longStream)
		}
		if e.now.Sub(simStart) < time.Duration(20*burst+2)*time.Second {
			continue
		}
		if burst++; burst == 2 {
			e.late, e.ended = 0, 0
		}
		for range 64 {
			e.submit(shortStream)
		}
	}
	for len(e.running) > 0 || s.Waiting() > 0 {
		e.step()
	}
	return e
}

// TestBurstsDoNotDelayStreams guards against pauses over the gap objective in running streams while prompts are queued. Without the
// limit, 30 to 40% of the long streams were late. Every prompt must be served, and a fast engine must not be limited.
func TestBurstsDoNotDelayStreams(t *testing.T) {
	const maxLateShare = 0.15
	for _, tt := range []struct {
		name  string
		rate  float64
		limit bool
		late  bool
	}{
		{"slow engine without the limit", slowRate, false, true},
		{"slow engine", slowRate, true, false},
		{"fast engine", fastRate, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			e := runBursts(tt.rate, tt.limit)
			c.Logf("%d of %d long streams late, %d served in %v", e.late, e.ended, e.served, e.now.Sub(simStart))
			c.Check(float64(e.late) > maxLateShare*float64(e.ended), qt.Equals, tt.late)
			c.Check(e.served, qt.Equals, int(e.nextID))
			if tt.rate == fastRate {
				c.Check(e.now, qt.Equals, runBursts(tt.rate, false).now)
			}
		})
	}
}

// TestHeldPromptsStart guards against prompts that wait without end behind the limit: behind a prompt whose first token was never
// reported because its box was lost, and behind smaller prompts that came later.
func TestHeldPromptsStart(t *testing.T) {
	for _, tt := range []struct {
		name     string
		reported bool
		within   time.Duration
	}{
		{"first token reported", true, 300 * time.Millisecond},
		{"box lost before it reported the first token", false, 3 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			s := owner.New(owner.Config{Slots: 2, Batch: 64, MaxQueue: 200, PrefillRate: slowRate, KVTokens: 147644, LimitGaps: true})
			s.Adopt([]resource.Ref{ref(1)}, false)
			started := func(actions []owner.Action) (ids []uint64) {
				for _, a := range actionsOf[owner.Start](actions) {
					ids = append(ids, a.Ticket.ID)
				}
				return ids
			}
			submit := func(id uint64, prompt int) []uint64 {
				return started(s.Submit(now, owner.Ticket{ID: id, Ref: ref(1), Arrived: now, StartBy: now.Add(time.Minute), Prompt: prompt, GapObjective: gapObjective}))
			}
			c.Check(submit(1, promptTokens), qt.DeepEquals, []uint64{1})
			now = now.Add(promptTokens * time.Second / slowRate)
			s.RecordFirstToken(now, 1)
			c.Check(submit(2, promptTokens), qt.DeepEquals, []uint64{2})
			c.Check(s.RecordGap(now, 1, -time.Second), qt.IsFalse)
			c.Check(s.RecordGap(now, 1, time.Second), qt.IsTrue)
			c.Check(s.EventGap(now), qt.Equals, time.Second)
			s.FinishTicket(now, 1, owner.EndWhole)
			c.Check(submit(3, 4*promptTokens), qt.HasLen, 0)
			c.Check(submit(4, 10), qt.HasLen, 0)
			submitted := now
			var ids []uint64
			for len(ids) == 0 && now.Sub(submitted) < time.Minute {
				now = now.Add(50 * time.Millisecond)
				if tt.reported && now.Sub(submitted) == 250*time.Millisecond {
					ids = started(s.RecordFirstToken(now, 2))
					continue
				}
				ids = started(s.Tick(now))
			}
			c.Check(ids, qt.DeepEquals, []uint64{3})
			c.Check(now.Sub(submitted) <= tt.within, qt.IsTrue, qt.Commentf("started after %v", now.Sub(submitted)))
		})
	}
}
