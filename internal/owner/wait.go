package owner

import (
	"math"
	"time"

	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

const (
	// defaultRunTime is expected of a run until some have ended: answers of about a hundred tokens at some 10 ms each.
	defaultRunTime = time.Second
	// runTimeSmoothing is the weight of the newest run in the mean.
	runTimeSmoothing = 0.05
)

// turnWait returns how long a ticket waits for room in the batch and the cache behind those ahead of it: running requests end one
// after the other, on average that many in the time of one run.
func (s *State) turnWait(t Ticket, ahead, tokensAhead int) time.Duration {
	before := len(s.running) + ahead
	turns := max(0, before+1-s.cfg.Batch)
	if turns == 0 && before > 0 && !s.fitsCache(s.tokens+tokensAhead+t.Prompt+t.Output) {
		turns = 1
	}
	return s.runTime * time.Duration(turns) / time.Duration(max(1, min(before, s.cfg.Batch)))
}

func (s *State) fitsCache(tokens int) bool {
	return s.cfg.KVTokens == 0 || tokens <= s.cfg.KVTokens
}

// fits reports whether the engine has room to start a ticket. A ticket larger than the whole cache is left to the engine to refuse.
func (s *State) fits(t Ticket) bool {
	if len(s.running) >= s.cfg.Batch {
		return false
	}
	return s.tokens == 0 || s.fitsCache(s.tokens+t.Prompt+t.Output)
}

// expectedWait returns how long a ticket would wait for its first token, that is until the engine has read its prompt.
func (s *State) expectedWait(now time.Time, t Ticket) time.Duration {
	ahead, prompts, tokens := 0, 0, 0
	for _, w := range s.waiting {
		if w.Urgency < t.Urgency {
			break
		}
		ahead++
		prompts += w.Prompt
		tokens += w.Prompt + w.Output
	}
	begun := max(s.reading.time(s.reading.backlog(now, t.Urgency)), s.loadWait(now, t))
	return begun + s.turnWait(t, ahead, tokens) + s.reading.time(prompts+s.reading.tokens(t))
}

// loadWait returns how long the adapter of a ticket takes to be there.
func (s *State) loadWait(now time.Time, t Ticket) time.Duration {
	if s.Holds(t.Ref) {
		return 0
	}
	expected := s.expectedLoadTime(now)
	if sl := s.slots[t.Ref]; sl != nil && sl.phase == loading {
		return max(0, expected-now.Sub(sl.loadAt))
	}
	if s.atHand(t.Ref) {
		expected /= latelyFaster
	}
	return s.slotWait(now, t) + expected
}

// slotWait returns how long a ticket waits until a slot is free for its adapter: those in use become free one after the other, on
// average all of them in the time of one run, and missing adapters of tickets ahead take the first.
func (s *State) slotWait(now time.Time, t Ticket) time.Duration {
	if !s.cfg.Policy.On(policy.SlotWait) {
		return 0
	}
	free, inUse := s.cfg.Slots-len(s.slots), 0
	for _, sl := range s.slots {
		switch {
		case s.evictable(now, sl):
			free++
		case s.uses[sl.ref] > 0:
			inUse++
		}
	}
	needed := 1
	seen := map[resource.Ref]bool{t.Ref: true}
	for _, w := range s.waiting {
		if w.Urgency < t.Urgency {
			break
		}
		if !seen[w.Ref] && s.missing(now, w.Ref) {
			needed++
		}
		seen[w.Ref] = true
	}
	return s.runTime * time.Duration(max(0, needed-free)) / time.Duration(max(1, inUse))
}

// expectedLoadTime returns the time that loads have taken, fading towards the usual one: an engine that was slow once would
// otherwise get no load that could show that it is slow no longer.
func (s *State) expectedLoadTime(now time.Time) time.Duration {
	if !s.cfg.Policy.On(policy.LoadTime) {
		return defaultLoadTime
	}
	fade := math.Exp2(-float64(now.Sub(s.loadSeen)) / float64(loadTimeHalfLife))
	return defaultLoadTime + time.Duration(fade*float64(s.loadTime-defaultLoadTime))
}

const (
	// loadTimeHalfLife is the time in which what slow loads have taught fades by half: bursts of loads last a few seconds.
	loadTimeHalfLife = 2 * time.Second
	// latelyFaster is how much faster an engine loads an adapter that it held lately.
	latelyFaster = 10
	// latelyPerSlot is how many adapters an engine is taken to have at hand for each slot.
	latelyPerSlot = 5
)

// tooSlow reports whether a ticket had better go on to its next engine.
func (s *State) tooSlow(now time.Time, t Ticket) bool {
	return t.Accept > 0 && ((t.Near && !s.near(t.Ref)) || s.expectedWait(now, t) > t.Accept)
}

// atHand reports whether the engine held an adapter lately, so that it loads fast.
func (s *State) atHand(ref resource.Ref) bool {
	return s.cfg.Policy.On(policy.AtHand) && s.lately.has(ref)
}

// near reports whether an adapter is on the engine, on its way there or at hand, so that the weight store need not bring it.
func (s *State) near(ref resource.Ref) bool {
	return s.Holds(ref) || s.slots[ref] != nil || s.wanted[ref] > 0 || s.atHand(ref)
}

// sendOn sends a ticket on and tells, if it named a wait, what was expected, so that the asker can come back to the shortest.
func (s *State) sendOn(now time.Time, t Ticket) {
	err := result.New(result.TryNext, "another engine can start it sooner")
	if t.Accept > 0 {
		if s.near(t.Ref) {
			err.Code = result.Crowded
		}
		err.RetryAfter = max(time.Millisecond, s.expectedWait(now, t))
	}
	s.refuse(t, err)
}
