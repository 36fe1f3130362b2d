package owner

import (
	"math"
	"time"

	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

const (
	// defaultRunTime is the expected run time until runs have ended: an answer of about a hundred tokens at about 10 ms per token.
	defaultRunTime = time.Second
	// runTimeSmoothing is the weight of the newest run in the mean run time.
	runTimeSmoothing = 0.05
)

// batchWait returns the expected wait for room in the batch and in the KV cache. The estimate assumes that the running tickets
// end one after another at even intervals, and that all of them end within the mean run time.
func (s *State) batchWait(t Ticket, ahead, tokensAhead int) time.Duration {
	total := len(s.running) + ahead
	turns := max(0, total+1-s.batch())
	if turns == 0 && total > 0 && !s.fitsCache(s.runningTokens+tokensAhead+t.Prompt+t.Output) {
		turns = 1
	}
	return s.meanRunTime * time.Duration(turns) / time.Duration(max(1, min(total, s.batch())))
}

// batch returns the number of tickets that the engine runs at once.
func (s *State) batch() int {
	if s.brittle.IsActive() {
		return min(s.cfg.Batch, s.brittle.Limit())
	}
	return s.cfg.Batch
}

// fitsCache reports whether the KV cache has room for a total number of tokens.
func (s *State) fitsCache(tokens int) bool {
	return s.cfg.KVTokens == 0 || tokens <= s.cfg.KVTokens
}

// hasRoom reports whether the engine has room to start a ticket. A ticket that is larger than the whole KV cache may start on an
// idle engine, which then refuses the request itself.
func (s *State) hasRoom(now time.Time, t Ticket) bool {
	if len(s.running) >= s.cfg.Batch || !s.brittle.Allow(now, len(s.running)+s.brokenRuns(now), t.Urgency) {
		return false
	}
	return s.runningTokens == 0 || s.fitsCache(s.runningTokens+t.Prompt+t.Output)
}

// expectedWait returns the expected time until the first token of a ticket, which is when the engine has processed its prompt.
func (s *State) expectedWait(now time.Time, t Ticket) time.Duration {
	startWait := max(s.prefill.prefillTime(s.prefill.backlog(now, t.Urgency)), s.loadWait(now, t), s.gapWait(now, t))
	ahead, prompts, tokens := 0, 0, 0
	for _, w := range s.waiting {
		if !isAhead(w, t) {
			break
		}
		if s.startsAfter(now, w, t, startWait) {
			continue
		}
		ahead++
		prompts += w.Prompt
		tokens += w.Prompt + w.Output
	}
	return startWait + s.batchWait(t, ahead, tokens) + s.prefill.prefillTime(prompts+s.prefill.uncachedTokens(t))
}

// startsAfter reports whether a waiting ticket that is ahead of t is expected to start after t, because t's adapter is loaded and the other one
// will not be loaded within startWait. Without this, expected waits of busy engines were too long, which refused requests that could start in
// time.
func (s *State) startsAfter(now time.Time, waiting, t Ticket, startWait time.Duration) bool {
	if !s.cfg.Scarce || !s.cfg.Policy.IsEnabled(policy.LoadedFirst) || !s.IsLoaded(t.Ref) || s.IsLoaded(waiting.Ref) {
		return false
	}
	sl := s.slots[waiting.Ref]
	return sl == nil || sl.phase != loading || s.expectedLoadTime(now)-now.Sub(sl.loadStarted) > startWait
}

// loadWait returns the expected time until the adapter of a ticket is loaded.
func (s *State) loadWait(now time.Time, t Ticket) time.Duration {
	if s.IsLoaded(t.Ref) {
		return 0
	}
	if sl := s.slots[t.Ref]; sl != nil && sl.phase == loading {
		return max(0, s.expectedLoadTime(now)-now.Sub(sl.loadStarted))
	}
	return max(s.slotWait(now, t), s.paceWait(now, t), s.otherVersionLoadWait(now, t.Ref)) + s.newLoadTime(now, t.Ref)
}

// newLoadTime returns the expected time of a load of ref that starts now.
func (s *State) newLoadTime(now time.Time, ref resource.Ref) time.Duration {
	expected := s.expectedLoadTime(now)
	if s.wasRecentlyUnloaded(ref) {
		expected /= recentLoadSpeedup
	}
	return expected
}

// slotWait returns the expected time until a slot is free for the adapter of a ticket. The estimate assumes that the slots in use
// become free one after another at even intervals, all of them within the mean run time. Missing adapters of tickets ahead get
// slots first. Slots whose adapters are being loaded or have waiting tickets count as in use, and so do free slots, which the tickets
// ahead fill. Without them, an engine that had just started and loaded its first adapters expected a whole run time for each missing
// adapter, and refused requests for seconds. Slots on whose adapters broken-off runs may continue count only if there are no others.
func (s *State) slotWait(now time.Time, t Ticket) time.Duration {
	if !s.cfg.Policy.IsEnabled(policy.SlotWait) {
		return 0
	}
	free, inUse := s.cfg.Slots-len(s.slots), 0
	for _, sl := range s.slots {
		switch {
		case s.isEvictable(now, sl):
			free++
		case s.isLingering(now, sl):
		case s.uses[sl.ref] > 0, sl.phase == loading, sl.phase == unloading, s.isAwaited(sl.ref):
			inUse++
		}
	}
	needed := 1 + s.missingAhead(now, t)
	if until, ok := s.allLingerUntil(now); ok {
		return until.Sub(now) + s.meanRunTime*time.Duration(needed-1)
	}
	return s.meanRunTime * time.Duration(max(0, needed-free)) / time.Duration(max(1, free+inUse))
}

// isLingering reports whether a broken-off run may continue on the adapter of a slot, which then isn't unloaded whatever other runs end.
func (s *State) isLingering(now time.Time, sl *slot) bool {
	return sl.phase == loaded && now.Before(s.lingerUntil[sl.ref])
}

// allLingerUntil returns when the first slot can be freed if broken-off runs may continue on the adapters of all slots. It returns
// false if a slot is free or may become free in another way.
func (s *State) allLingerUntil(now time.Time) (time.Time, bool) {
	if len(s.slots) < s.cfg.Slots || len(s.slots) == 0 {
		return time.Time{}, false
	}
	var first time.Time
	for _, sl := range s.slots {
		if !s.isLingering(now, sl) {
			return time.Time{}, false
		}
		if until := s.lingerUntil[sl.ref]; first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first, true
}

// missingAhead returns the number of other missing adapters for which tickets wait ahead of a ticket.
func (s *State) missingAhead(now time.Time, t Ticket) int {
	missing := 0
	seen := map[resource.Ref]bool{t.Ref: true}
	for _, w := range s.waiting {
		if !isAhead(w, t) {
			break
		}
		if !seen[w.Ref] && s.isMissing(now, w.Ref) {
			missing++
		}
		seen[w.Ref] = true
	}
	return missing
}

// expectedLoadTime returns the mean observed load time, which decays towards defaultLoadTime. Without the decay, an engine with a
// few slow loads would get no more loads, and its estimate could never improve.
func (s *State) expectedLoadTime(now time.Time) time.Duration {
	if !s.cfg.Policy.IsEnabled(policy.LoadTime) {
		return defaultLoadTime
	}
	decay := math.Exp2(-float64(now.Sub(s.lastLoadAt)) / float64(loadTimeHalfLife))
	return defaultLoadTime + time.Duration(decay*float64(s.meanLoadTime-defaultLoadTime))
}

const (
	// loadTimeHalfLife is the time in which the difference between the mean load time and the default falls by half. Bursts of loads
	// last a few seconds.
	loadTimeHalfLife = 2 * time.Second
	// recentLoadSpeedup is the factor by which an engine loads a recently unloaded adapter faster.
	recentLoadSpeedup = 10
	// recentPerSlot is the number of recently unloaded adapters per slot that the engine is assumed to load faster.
	recentPerSlot = 5
)

// isTooSlow reports whether a ticket must be refused because it would wait longer than it accepts or because it does not accept a
// load from the weight store.
func (s *State) isTooSlow(now time.Time, t Ticket) bool {
	return t.MaxWait > 0 && ((t.LocalOnly && !s.isLocal(t.Ref)) || s.expectedWait(now, t) > t.MaxWait)
}

// wasRecentlyUnloaded reports whether the engine unloaded the adapter recently, so that it can load the adapter quickly.
func (s *State) wasRecentlyUnloaded(ref resource.Ref) bool {
	return s.cfg.Policy.IsEnabled(policy.FastReload) && s.recentlyUnloaded.contains(ref)
}

// isLocal reports whether a ticket for ref needs no further load from the weight store. This is so if the adapter is loaded, is
// being loaded, is needed by a waiting ticket, or was unloaded recently.
func (s *State) isLocal(ref resource.Ref) bool {
	return s.IsLoaded(ref) || s.slots[ref] != nil || s.waiters[ref] > 0 || s.wasRecentlyUnloaded(ref)
}

// redirect refuses a ticket so that the caller tries its next engine. If the ticket has a longest accepted wait, the refusal
// contains the expected wait, so that the caller can return to the engine with the shortest wait.
func (s *State) redirect(now time.Time, t Ticket) {
	err := result.New(result.TryNext, "another engine can start the request sooner")
	if t.MaxWait > 0 {
		if s.isLocal(t.Ref) {
			err.Code = result.Crowded
		}
		err.RetryAfter = max(time.Millisecond, s.expectedWait(now, t))
	}
	s.refuse(t, err)
}
