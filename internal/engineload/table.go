package engineload

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// FullWeightAge is the age up to which a report counts in full.
	FullWeightAge = time.Second
	// MaxAge is the age from which a report is not used.
	MaxAge = 3 * time.Second
	// maxEngines is the maximum number of engines in a Table.
	maxEngines = 1024
	// maxListedAge is the age up to which Known lists reports, so that operators also see those that are no longer used.
	maxListedAge = time.Minute

	// Reports with larger values than these are invalid. Engines have up to a few hundred sequences and caches of up to some million
	// tokens, and process up to some hundred thousand tokens per second.
	maxRate     = 1e7
	maxBacklog  = 1e8
	maxRequests = 1e5
	maxSlots    = 1e4
	maxDuration = 10 * time.Minute
	maxName     = 253
)

// Weight returns the weight of a report of the given age: 1 up to FullWeightAge, falling to 0 at MaxAge.
func Weight(age time.Duration) float64 {
	return min(1, max(0, float64(MaxAge-age)/float64(MaxAge-FullWeightAge)))
}

// isValid reports whether all values of the report are possible.
func (r *Report) isValid() bool {
	counts := r.Started >= 0 && r.Backlog >= 0 && r.Backlog <= maxBacklog && r.Running >= 0 && r.Running <= maxRequests && r.Waiting >= 0 &&
		r.Waiting <= maxRequests && r.FreeSlots >= 0 && r.FreeSlots <= maxSlots
	return counts && isPossibleRate(r.PrefillRate) && isPossibleRate(r.UndisturbedRate) && r.Engine != "" && len(r.Engine) <= maxName && !strings.Contains(r.Engine, separator) &&
		isPossible(r.SlotWait) && isPossible(r.LoadTime) && isPossible(r.EventGap)
}

// isPossibleRate reports whether a rate is possible. The comparisons are false for a rate that is not a number.
func isPossibleRate(rate float64) bool { return rate >= 0 && rate <= maxRate }

func isPossible(d time.Duration) bool { return d >= 0 && d <= maxDuration }

// compare orders reports of one engine by epoch and sequence.
func (r *Report) compare(o *Report) int {
	return cmp.Or(cmp.Compare(r.Epoch, o.Epoch), cmp.Compare(r.Sequence, o.Sequence))
}

// matches reports whether the report is of the incarnation of the engine that began at started. An unknown start matches any.
func (r *Report) matches(started int64) bool {
	return r.Started == 0 || started == 0 || r.Started == started
}

// TableConfig configures a Table.
type TableConfig struct {
	Scope tally.Scope
}

// Table holds the newest report of each engine. It is safe for concurrent use.
type Table struct {
	cfg TableConfig
	mu  sync.RWMutex
	// index holds the positions in entries. Entries never move, because receivers refer to them by position.
	index     map[string]int
	entries   []entry
	receivers receivers
}

// entry is the newest report of an engine.
type entry struct {
	report Report
	// trueAt is the local time at which the report was true.
	trueAt time.Time
	// answered is set if the report came in an answer of the engine's owner and not through other boxes.
	answered bool
}

// NewTable returns an empty Table.
func NewTable(cfg TableConfig) *Table {
	return &Table{cfg: cfg, index: map[string]int{}, receivers: receivers{byName: map[string]*receiver{}}}
}

// Record records a report that other boxes have forwarded and that was made age ago. It returns false if the report is invalid, or not
// newer than the recorded one. Once the recorded one is MaxAge old, any report replaces it: a report with a wrong, very large epoch
// then has no lasting effect.
func (t *Table) Record(now time.Time, r Report, age time.Duration) bool {
	return t.record(now, r, age, false)
}

// RecordAnswer records a report that the engine's owner has just made on this box, or sent in its answer to a request of this box. It replaces any report
// that was forwarded by other boxes, so that a box with wrong reports cannot attract requests for longer than until the first answer.
func (t *Table) RecordAnswer(now time.Time, r Report) bool { return t.record(now, r, 0, true) }

func (t *Table) record(now time.Time, r Report, age time.Duration, answered bool) bool {
	if !r.isValid() || age < 0 || age > maxDuration {
		t.cfg.Scope.Counter("engine_load_invalid").Inc(1)
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	position, ok := t.index[r.Engine]
	if !ok {
		return t.insert(now, entry{r, now.Add(-age), answered})
	}
	e := &t.entries[position]
	overrides := answered && !e.answered && r.compare(&e.report) != 0
	if r.compare(&e.report) <= 0 && !overrides && now.Sub(e.trueAt) < MaxAge {
		return false
	}
	*e = entry{r, now.Add(-age), answered}
	return true
}

// insert adds an entry. If the table is full, it takes the place of the oldest entry that is no longer used. The caller holds the lock.
func (t *Table) insert(now time.Time, e entry) bool {
	if len(t.entries) < maxEngines {
		t.index[e.report.Engine] = len(t.entries)
		t.entries = append(t.entries, e)
		return true
	}
	oldest := 0
	for i := range t.entries {
		if t.entries[i].trueAt.Before(t.entries[oldest].trueAt) {
			oldest = i
		}
	}
	if now.Sub(t.entries[oldest].trueAt) < MaxAge {
		t.cfg.Scope.Counter("engine_loads_dropped").Inc(1)
		return false
	}
	delete(t.index, t.entries[oldest].report.Engine)
	t.index[e.report.Engine] = oldest
	t.entries[oldest] = e
	return true
}

// Get returns the report of an engine and its age. It returns false if there is none younger than MaxAge, or only one of another
// incarnation of the engine. A started of zero matches any incarnation.
func (t *Table) Get(now time.Time, engine string, started int64) (r Report, age time.Duration, ok bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	position, ok := t.index[engine]
	if !ok {
		return Report{}, 0, false
	}
	e := &t.entries[position]
	age = max(0, now.Sub(e.trueAt))
	if age >= MaxAge || !e.report.matches(started) {
		return Report{}, 0, false
	}
	return e.report, age, true
}

// LastRates returns the last known prefill rates of the incarnation of an engine that began at started, whatever the age of its report.
// They are zero if they or the start are unknown.
func (t *Table) LastRates(engine string, started int64) (prefill, undisturbed float64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	position, ok := t.index[engine]
	if !ok || started == 0 || t.entries[position].report.Started != started {
		return 0, 0
	}
	r := &t.entries[position].report
	return r.PrefillRate, r.UndisturbedRate
}

// Known returns the reports of the last minute with their ages, those with the highest prefill rates first.
func (t *Table) Known(now time.Time) []Sent {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var known []Sent
	for i := range t.entries {
		if e := &t.entries[i]; now.Sub(e.trueAt) < maxListedAge {
			known = append(known, e.sent(now))
		}
	}
	slices.SortFunc(known, func(a, b Sent) int {
		return cmp.Or(cmp.Compare(b.PrefillRate, a.PrefillRate), strings.Compare(a.Engine, b.Engine))
	})
	return known
}

// UpdateGauge sets the gauge of the reports that are young enough to be used.
func (t *Table) UpdateGauge(now time.Time) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	count := 0
	for i := range t.entries {
		if now.Sub(t.entries[i].trueAt) < MaxAge {
			count++
		}
	}
	t.cfg.Scope.Gauge("engine_loads_known").Update(float64(count))
}

func (e *entry) sent(now time.Time) Sent {
	return Sent{Report: e.report, Age: max(0, now.Sub(e.trueAt))}
}

// hasChangedNotably reports whether a report differs from the last one that was sent by a slot, or in another value by a quarter.
func hasChangedNotably(last, r *Report) bool {
	// Smaller differences than these do not change a choice among engines.
	const minTokens, minRequests, minTime = 1000, 4, float64(50 * time.Millisecond)
	return last.FreeSlots != r.FreeSlots || last.Epoch != r.Epoch || last.Started != r.Started ||
		differ(last.PrefillRate, r.PrefillRate, 1) || differ(last.UndisturbedRate, r.UndisturbedRate, 1) ||
		differ(float64(last.Backlog), float64(r.Backlog), minTokens) ||
		differ(float64(last.Running), float64(r.Running), minRequests) || differ(float64(last.Waiting), float64(r.Waiting), minRequests) ||
		differ(float64(last.SlotWait), float64(r.SlotWait), minTime) || differ(float64(last.LoadTime), float64(r.LoadTime), minTime) ||
		differ(float64(last.EventGap), float64(r.EventGap), minTime)
}

func differ(a, b, least float64) bool {
	const notable = 0.25
	return math.Abs(a-b) >= max(least, notable*max(a, b))
}
