package choice

import (
	"slices"
	"time"

	"github.com/bellgap/bellgap/internal/engineload"
)

const (
	// maxMedianSample bounds the engines whose figures are sorted for a median. It bounds the cost of a choice in a large service.
	maxMedianSample = 63
	// maxRateFactor bounds the rate of an engine to this multiple of the median, and to this fraction of it. Engine speeds differ by a
	// factor of 2.4.
	maxRateFactor = 4
	// maxWait bounds each expected wait, so that extreme figures cannot overflow a sum.
	maxWait = time.Minute
	// defaultLoadTime is the load time of an adapter where no report tells one.
	defaultLoadTime = 300 * time.Millisecond
)

// isFresh reports whether the engine has a report that is used.
func (e *Engine) isFresh() bool {
	return e.Report != nil && e.Age >= 0 && e.Age < engineload.MaxAge
}

// figures are the figures of an engine that its expected start depends on.
type figures struct {
	// rate is the number of prompt tokens processed per second, zero if unknown.
	rate float64
	// backlog is the time until the prompts at the engine are processed.
	backlog   time.Duration
	slotWait  time.Duration
	loadTime  time.Duration
	freeSlots int
}

// medianOf returns the median of each figure over the engines with a usable report, and false if there are none.
func medianOf(engines []Engine) (figures, bool) {
	fresh := make([]*Engine, 0, len(engines))
	for i := range engines {
		if engines[i].isFresh() {
			fresh = append(fresh, &engines[i])
		}
	}
	if len(fresh) == 0 {
		return figures{}, false
	}
	step := (len(fresh) + maxMedianSample - 1) / maxMedianSample
	var rates []float64
	var slotWaits, loadTimes, backlogs []time.Duration
	var freeSlots []int
	for i := 0; i < len(fresh); i += step {
		report := fresh[i].Report
		if report.PrefillRate > 0 {
			rates = append(rates, report.PrefillRate)
		}
		if report.LoadTime > 0 {
			loadTimes = append(loadTimes, boundWait(report.LoadTime))
		}
		slotWaits, freeSlots = append(slotWaits, boundWait(report.SlotWait)), append(freeSlots, report.FreeSlots)
	}
	m := figures{rate: median(rates), slotWait: median(slotWaits), loadTime: median(loadTimes), freeSlots: median(freeSlots)}
	if m.loadTime == 0 {
		m.loadTime = defaultLoadTime
	}
	for i := 0; i < len(fresh); i += step {
		backlogs = append(backlogs, m.of(fresh[i]).backlog)
	}
	m.backlog = median(backlogs)
	return m, true
}

// of returns the figures of an engine by its report. Unknown rates and load times are the median ones.
func (m *figures) of(e *Engine) figures {
	report := e.Report
	f := figures{rate: m.rate, slotWait: boundWait(report.SlotWait), loadTime: m.loadTime, freeSlots: report.FreeSlots}
	if report.PrefillRate > 0 {
		f.rate = min(max(report.PrefillRate, m.rate/maxRateFactor), m.rate*maxRateFactor)
	}
	if report.LoadTime > 0 {
		f.loadTime = boundWait(report.LoadTime)
	}
	f.backlog = readTime(report.Backlog, f.rate)
	return f
}

// blend returns the figures of an engine, blended with the median as its report ages. The rate does not age, because it is a property
// of the engine.
func (m *figures) blend(e *Engine) figures {
	if !e.isFresh() {
		return *m
	}
	f, weight := m.of(e), engineload.Weight(e.Age)
	mix := func(own, usual time.Duration) time.Duration {
		return time.Duration(weight*float64(own) + (1-weight)*float64(usual))
	}
	f.backlog, f.slotWait, f.loadTime = mix(f.backlog, m.backlog), mix(f.slotWait, m.slotWait), mix(f.loadTime, m.loadTime)
	return f
}

// expectedStart returns the expected time until an engine has read the prompt of a request. m holds the median figures.
func (m *figures) expectedStart(q *Request, e *Engine) time.Duration {
	f := m.blend(e)
	wait := f.backlog + readTime(e.Sent.Tokens, f.rate)
	if !e.Holds {
		// The engine reads other prompts while it loads the adapter.
		wait = max(wait, f.slotWait+f.loadTime+f.ownLoadWait(e.Sent.Loads))
	}
	if !e.SameZone {
		wait += otherZoneDelay
	}
	return wait + readTime(q.Prompt, f.rate)
}

// ownLoadWait returns the wait for slots that this box has given away since the report: a load time for each load without a free slot.
func (m *figures) ownLoadWait(loads int) time.Duration {
	return boundWait(m.loadTime * time.Duration(max(0, loads+1-max(1, m.freeSlots))))
}

// readTime returns the time in which an engine processes prompt tokens. It is zero if the rate is unknown.
func readTime(tokens int, rate float64) time.Duration {
	if rate <= 0 || tokens <= 0 {
		return 0
	}
	return time.Duration(min(float64(tokens)/rate, maxWait.Seconds()) * float64(time.Second))
}

func boundWait(d time.Duration) time.Duration { return min(max(d, 0), maxWait) }

// median returns the median of values, zero if there are none. It sorts the values.
func median[T float64 | int | time.Duration](values []T) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
