// Package loadpace adapts how many adapter loads an engine runs at once to how long its loads take. Loads of all engines share one weight
// store and slow each other down there, so the durations show how busy the store is.
package loadpace

import "time"

// Limits and factors of a Pace.
const (
	// MaxDuration is the longest valid duration of a load. Orders that take longer are given up.
	MaxDuration = time.Minute
	// slowFactor is the ratio to the shortest recent duration above which a load is slow. With every engine at the limit of 1, loads may
	// take 1.25 times the shortest duration (90 engines, a store that serves 72 loads at full speed), which no engine can improve.
	slowFactor = 1.5
	// decreaseFactor is the factor by which a slow load lowers the limit.
	decreaseFactor = 0.5
	// growthRounds is the number of rounds of loads, each as many as the limit allows, that raise the limit by about one. With one round, 90
	// engines that wanted two loads each at a store for 72 needed 596 ms per load on average, as half of the time the limit was 2.
	growthRounds = 4
	// minimumWindow is the time for which a shortest duration is used at least. It is used for at most twice that time, so that a store that
	// has become slower for good does not keep the limit low. Bursts of loads last a few seconds.
	minimumWindow = 15 * time.Second
)

// Config configures a Pace.
type Config struct {
	// Min and Max bound the limit. Min is at least 1.
	Min, Max int
}

// Pace holds the limit of concurrent loads of one engine. It is not safe for concurrent use.
type Pace struct {
	cfg   Config
	limit float64
	// shortest is the shortest duration since windowStart, previous that of the window before. Zero means that there is none.
	shortest, previous time.Duration
	windowStart        time.Time
	// decreasedAt is the time of the last decrease.
	decreasedAt time.Time
	ignored     int64
}

// Sample is a finished load.
type Sample struct {
	// Took is the duration of the load.
	Took time.Duration
	// Concurrent is the number of loads that were running when this load ended, including this load.
	Concurrent int
}

// New returns a Pace with the lowest limit.
func New(cfg Config) *Pace {
	cfg.Min = max(1, cfg.Min)
	cfg.Max = max(cfg.Min, cfg.Max)
	return &Pace{cfg: cfg, limit: float64(cfg.Min)}
}

// Limit returns the number of loads that may run at once.
func (p *Pace) Limit() int { return int(p.limit) }

// Ignored returns the number of invalid durations.
func (p *Pace) Ignored() int64 { return p.ignored }

// Reset sets the lowest limit and forgets all durations, because the engine has restarted.
func (p *Pace) Reset() {
	*p = Pace{cfg: p.cfg, limit: float64(p.cfg.Min), ignored: p.ignored}
}

// Record adapts the limit to a load that has ended at now. A slow load lowers the limit, at most once for all loads that were running at
// the same time. Other loads raise it by about one in growthRounds rounds, unless the limit was not used. It reports whether the duration is
// valid. Invalid durations are ignored.
func (p *Pace) Record(now time.Time, s Sample) bool {
	if s.Took <= 0 || s.Took > MaxDuration {
		p.ignored++
		return false
	}
	p.recordShortest(now, s.Took)
	if float64(s.Took) > slowFactor*float64(p.shortestRecent()) {
		if startedAt := now.Add(-s.Took); !startedAt.Before(p.decreasedAt) {
			p.limit, p.decreasedAt = max(float64(p.cfg.Min), p.limit*decreaseFactor), now
		}
		return true
	}
	if s.Concurrent >= p.Limit() {
		p.limit = min(float64(p.cfg.Max), p.limit+1/(growthRounds*p.limit))
	}
	return true
}

// recordShortest updates the shortest recent duration.
func (p *Pace) recordShortest(now time.Time, took time.Duration) {
	if age := now.Sub(p.windowStart); age >= minimumWindow {
		p.previous, p.shortest, p.windowStart = p.shortest, 0, now
		if age >= 2*minimumWindow {
			p.previous = 0
		}
	}
	if p.shortest == 0 || took < p.shortest {
		p.shortest = took
	}
}

func (p *Pace) shortestRecent() time.Duration {
	if p.previous == 0 {
		return p.shortest
	}
	return min(p.shortest, p.previous)
}
