package continuity

import (
	"math"
	"slices"
	"time"
)

const (
	// maxGap is the longest believable pause between two events.
	maxGap = time.Minute
	// minGapTokens is the smallest number of unprocessed prompt tokens that may explain a pause. With fewer, the pause has another
	// cause, and admitting fewer prompts does not shorten it.
	minGapTokens = 500
	// gapMargin is the part of a gap objective that processing prompts may take. The rest is for the tokens themselves and for wrong
	// estimates.
	gapMargin = 0.8
	// After a late stream the limit falls to limitDecrease of what has proved too much. Each stream that was in time while at least
	// limitTested of the limit was unprocessed multiplies the limit by limitIncrease, which doubles it in 139 streams.
	limitDecrease = 0.7
	limitIncrease = 1.005
	limitTested   = 0.75
	// minFactor is the smallest limit as a multiple of the safe backlog. While prompts keep coming, an engine processes a piece of them
	// before each token, and an event has several tokens. Only a backlog smaller than a piece then shortens the pauses.
	minFactor = 0.2
	// limitLifetime is the time without late streams after which there is no limit. Each end of the limit may cost a burst of late
	// streams.
	limitLifetime = 5 * time.Minute
)

// IsValidGap reports whether a reported pause between two events can be true.
func IsValidGap(gap time.Duration) bool { return gap >= 0 && gap <= maxGap }

// GapLimiter limits the unprocessed prompt tokens at one engine so that the pauses between the events of its streams stay within
// their objective. An engine processes prompts piece by piece between the tokens of running requests. How much it processes between
// two tokens is unknown, but it cannot be more than what is unprocessed. A backlog that the engine processes within the objective is
// therefore safe unless further prompts follow it. There is no limit until a stream has been late; then the limit falls to the safe
// backlog, with further late streams below it, and rises again while streams are in time. It is not safe for concurrent use.
type GapLimiter struct {
	// factor is the limit as a multiple of the safe backlog, at least minFactor. It is valid for limitLifetime after lastLate.
	factor   float64
	lastLate time.Time
}

// GapSample is what was observed of an ended stream with a gap objective.
type GapSample struct {
	// Gap is the longest pause between two events of the stream.
	Gap       time.Duration
	Objective time.Duration
	// Tokens is the largest number of prompt tokens that were unprocessed while the stream ran.
	Tokens int
	// TimePerToken is the time in which the engine processes a prompt token.
	TimePerToken time.Duration
}

// safeTokens returns the number of prompt tokens that an engine processes within its part of a gap objective.
func safeTokens(objective, timePerToken time.Duration) float64 {
	return gapMargin * float64(objective) / float64(timePerToken)
}

// Observe records an ended stream.
func (l *GapLimiter) Observe(now time.Time, o GapSample) {
	if !IsValidGap(o.Gap) || o.Objective <= 0 || o.TimePerToken <= 0 || o.Tokens < minGapTokens {
		return
	}
	used := float64(o.Tokens) / safeTokens(o.Objective, o.TimePerToken)
	switch {
	case o.Gap <= o.Objective:
		if l.isActive(now) && used >= limitTested*l.factor {
			l.factor *= limitIncrease
		}
	case l.isActive(now):
		l.factor, l.lastLate = max(minFactor, limitDecrease*min(l.factor, used)), now
	default:
		l.factor, l.lastLate = 1, now
	}
}

// isActive reports whether there is a limit.
func (l *GapLimiter) isActive(now time.Time) bool {
	return l.factor > 0 && now.Sub(l.lastLate) < limitLifetime
}

// Limit returns the largest number of unprocessed tokens for a gap objective. It returns false if there is no limit.
func (l *GapLimiter) Limit(now time.Time, objective, timePerToken time.Duration) (int, bool) {
	if !l.isActive(now) || objective <= 0 || timePerToken <= 0 {
		return 0, false
	}
	return int(l.factor * safeTokens(objective, timePerToken)), true
}

const (
	// recentGaps is the number of ended streams whose longest pauses are kept.
	recentGaps = 32
	// gapHalfLife is the time in which the weight of a recorded pause falls by half.
	gapHalfLife = 5 * time.Second
	// gapPercentile is the part of the recent streams whose longest pauses are at most the value of RecentGaps.
	gapPercentile = 0.9
)

// RecentGaps holds the longest pauses of the last streams of an engine. It is not safe for concurrent use.
type RecentGaps struct {
	all []recordedGap
}

type recordedGap struct {
	gap time.Duration
	at  time.Time
}

// Add records the longest pause of an ended stream.
func (g *RecentGaps) Add(now time.Time, gap time.Duration) {
	if len(g.all) >= recentGaps {
		g.all = slices.Delete(g.all, 0, 1)
	}
	g.all = append(g.all, recordedGap{gap, now})
}

// Value returns the 90th percentile of the recorded pauses, which decay with their age. It is zero if nothing has been recorded.
func (g *RecentGaps) Value(now time.Time) time.Duration {
	if len(g.all) == 0 {
		return 0
	}
	decayed := make([]time.Duration, 0, len(g.all))
	for _, r := range g.all {
		decayed = append(decayed, time.Duration(float64(r.gap)*math.Exp2(-float64(now.Sub(r.at))/float64(gapHalfLife))))
	}
	slices.Sort(decayed)
	return decayed[int(math.Ceil(gapPercentile*float64(len(decayed))))-1]
}
