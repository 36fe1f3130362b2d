package owner

import (
	"time"

	"github.com/bellgap/bellgap/internal/continuity"
)

const (
	// stalePromptFactor and stalePromptSlack bound the time for which a prompt counts as unprocessed: that many times its expected
	// time, and the slack. Without the bound, a lost message about a first token would hold back prompts until its grant expires.
	stalePromptFactor = 4
	stalePromptSlack  = time.Second
)

// gapTracker relates the pauses between the events of an engine's streams to the prompts that were unprocessed meanwhile.
type gapTracker struct {
	// limits is set if the tracker limits the prompts that the engine gets.
	limits  bool
	limiter continuity.GapLimiter
	recent  continuity.RecentGaps
	// running holds the running tickets with a gap objective.
	running map[uint64]*runningStream
}

// runningStream is a running ticket with a gap objective.
type runningStream struct {
	objective time.Duration
	// hasEvents is set once the first token has arrived. peak is the largest number of unprocessed tokens since then.
	hasEvents bool
	peak      int
}

func newGapTracker(limits bool) *gapTracker {
	return &gapTracker{limits: limits, running: map[uint64]*runningStream{}}
}

// start records that a ticket has started, after which the engine has a number of unprocessed tokens.
func (g *gapTracker) start(t Ticket, unprocessed int) {
	for _, r := range g.running {
		if r.hasEvents {
			r.peak = max(r.peak, unprocessed)
		}
	}
	if t.GapObjective > 0 {
		g.running[t.ID] = &runningStream{objective: t.GapObjective}
	}
}

// recordFirstToken records that a stream has begun while the engine has a number of unprocessed tokens.
func (g *gapTracker) recordFirstToken(id uint64, unprocessed int) {
	if r := g.running[id]; r != nil && !r.hasEvents {
		r.hasEvents, r.peak = true, unprocessed
	}
}

// remove forgets a ticket that has ended.
func (g *gapTracker) remove(id uint64) { delete(g.running, id) }

// record records the longest pause of a stream at an engine that processes a prompt token in timePerToken.
func (g *gapTracker) record(now time.Time, id uint64, longest, timePerToken time.Duration) bool {
	if !continuity.IsValidGap(longest) {
		return false
	}
	g.recent.Add(now, longest)
	if r := g.running[id]; r != nil {
		g.limiter.Observe(now, continuity.GapSample{Gap: longest, Objective: r.objective, Tokens: r.peak, TimePerToken: timePerToken})
	}
	return true
}

// smallestObjective returns the smallest gap objective of the running streams, zero if none has one.
func (g *gapTracker) smallestObjective() time.Duration {
	smallest := time.Duration(0)
	for _, r := range g.running {
		if smallest == 0 || r.objective < smallest {
			smallest = r.objective
		}
	}
	return smallest
}

// RecordGap records the longest pause between two events of a running stream that is about to end. It returns false if the value
// cannot be true and is ignored.
func (s *State) RecordGap(now time.Time, id uint64, longest time.Duration) bool {
	if _, ok := s.running[id]; !ok {
		return true
	}
	return s.gaps.record(now, id, longest, s.prefill.timePerToken)
}

// EventGap returns the recent longest pause between two events of the engine's streams, zero if nothing has been observed.
func (s *State) EventGap(now time.Time) time.Duration { return s.gaps.recent.Value(now) }

// gapLimit returns the largest number of unprocessed prompt tokens for the running streams. It returns false if there is no limit.
func (s *State) gapLimit(now time.Time) (int, bool) {
	if !s.gaps.limits {
		return 0, false
	}
	return s.gaps.limiter.Limit(now, s.gaps.smallestObjective(), s.prefill.timePerToken)
}

// hasGapRoom reports whether the prompt of a ticket may go to the engine without too long pauses in its running streams. One prompt
// may always go in.
func (s *State) hasGapRoom(now time.Time, t Ticket) bool {
	limit, ok := s.gapLimit(now)
	if !ok {
		return true
	}
	unprocessed, prompt := s.prefill.unprocessed(now), s.prefill.uncachedTokens(t)
	return unprocessed == 0 || prompt == 0 || unprocessed+prompt <= limit
}

// gapWait returns the expected time until the prompt of a ticket may go to the engine, if no other tickets wait.
func (s *State) gapWait(now time.Time, t Ticket) time.Duration {
	limit, ok := s.gapLimit(now)
	if !ok {
		return 0
	}
	unprocessed := s.prefill.unprocessed(now)
	return s.prefill.prefillTime(min(unprocessed, max(0, unprocessed+s.prefill.uncachedTokens(t)-limit)))
}

// unprocessed returns the number of prompt tokens that the engine has not processed, of any urgency.
func (r *prefillTracker) unprocessed(now time.Time) int {
	sum := 0
	for i, u := range r.pending {
		if now.Sub(u.sentAt) > stalePromptSlack+stalePromptFactor*r.prefillTime(u.tokensAhead+u.tokens) {
			continue
		}
		sum += u.tokens
		if i == 0 && r.timePerToken > 0 {
			// Part of the first prompt has been processed already.
			sum -= min(u.tokens, int(now.Sub(r.headStarted)/r.timePerToken))
		}
	}
	return sum
}
