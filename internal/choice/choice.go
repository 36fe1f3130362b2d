// Package choice orders the engines of a service for one request by the expected start of the request on each of them.
package choice

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bellgap/bellgap/internal/engineload"
)

const (
	// InTimeShare is the part of the objective up to which an expected start counts as in time. The rest is a margin for wrong
	// estimates.
	InTimeShare = 0.85
	// FirstEngines is the number of engines without a known copy of the adapter version that are asked in the rendezvous order, so that
	// a copy that only other boxes know is found.
	FirstEngines = 6
	// FurtherEngines is the number of engines with free slots that are asked if none of the first ones can start the request in time.
	FurtherEngines = 3
	// maxSkipAge is the age below which a report is a reason not to ask one of the first engines. Backlogs change within some 100 ms.
	maxSkipAge = 300 * time.Millisecond
	// MaxEngines bounds the engines that Rank returns.
	MaxEngines = 18
	// spreadShare is the part of the objective below which differences between expected starts are ignored. The choice among such
	// engines is random, because other boxes choose at the same time by the same reports.
	spreadShare = 0.125
	// longOutput is the number of expected output tokens above which an answer is long. Long answers suffer from pauses between their
	// events rather than from a late start.
	longOutput = 100
	// otherZoneDelay is added to the expected start on an engine in another zone: a round trip for the grant and one for the request.
	otherZoneDelay = 5 * time.Millisecond
)

// Engine is an engine of the service as the box sees it.
type Engine struct {
	// Position is the engine's position in the rendezvous order of the adapter version. Engines at positions of MaxEngines and more are
	// considered only if they hold the version or have free slots.
	Position int
	// Holds is set if the engine holds the adapter version.
	Holds          bool
	SameZone       bool
	FailedRecently bool
	// Report is the newest report of the engine's owner, nil if there is none. Age is the time since the report was true.
	Report *engineload.Report
	Age    time.Duration
	// Sent is what this box has sent to the engine since then.
	Sent Sent
}

// Sent is the work that a box has sent to one engine.
type Sent struct {
	// Tokens is the number of prompt tokens. Loads counts the requests for which the engine has to load an adapter.
	Tokens int
	Loads  int
}

// Request is the request for which the engines are ordered.
type Request struct {
	// Prompt is the number of prompt tokens, Output the expected number of tokens in the answer.
	Prompt int
	Output int
	// Objective is the target time of the first event, Used the part of it that has passed.
	Objective time.Duration
	Used      time.Duration
	// GapObjective is the longest pause between two events of an answer that is in time, zero if there is no objective.
	GapObjective time.Duration
}

// isInTime reports whether an expected start meets the objective of the request.
func (q *Request) isInTime(start time.Duration) bool {
	return start <= time.Duration(InTimeShare*float64(q.Objective))-q.Used
}

func (q *Request) isLong() bool { return q.Output > longOutput && q.GapObjective > 0 }

// Choice is an engine in the order in which the engines are asked.
type Choice struct {
	// Index is the index of the engine in the list given to Rank.
	Index int
	// Start is the expected time until the engine has read the prompt, after which it generates the first token.
	Start time.Duration
	// Further is set if the engine is asked only if none of those before it can start the request in time.
	Further bool
}

// Rank returns the engines that are asked to take a request, the best one first, at most MaxEngines. It returns false if there is no
// usable report of any engine.
//
// Engines that hold the adapter version and can start the request in time come first. If there are none, the engine with the earliest
// start among those that hold it is asked first, so that its owner can contradict the report.
//
// The first engines of the rendezvous order follow, in this order, because one of them may have a copy that this box does not know. After
// them come the engines with free slots that start the request earliest, then the remaining ones. Engines that failed recently come
// last.
func Rank(q Request, engines []Engine, random *rand.Rand) ([]Choice, bool) {
	usual, ok := medianOf(engines)
	if !ok {
		return nil, false
	}
	r := ranking{request: q, engines: engines, usual: usual, random: random}
	g := r.group()
	inTime, late := r.splitInTime(g.holders)
	var order []option
	if len(g.holders) == 0 || len(inTime) > 0 {
		order = slices.Concat(inTime, g.first, g.further, late)
	} else {
		copies, lateCopies := r.splitInTime(g.first)
		order = slices.Concat(late[:1], copies, g.further, late[1:], lateCopies)
	}
	order = slices.Concat(order, g.next, g.failed)
	choices := make([]Choice, 0, MaxEngines)
	for _, o := range order[:min(len(order), MaxEngines)] {
		choices = append(choices, Choice{Index: o.index, Start: o.start, Further: o.further})
	}
	return choices, true
}

// ranking is the state of one call of Rank.
type ranking struct {
	request Request
	engines []Engine
	usual   figures
	random  *rand.Rand
}

// option is an engine that may be asked.
type option struct {
	index    int
	position int
	start    time.Duration
	further  bool
	// class orders options before their expected starts do. freeSlots is zero unless free slots decide between options.
	class     int
	freeSlots int
	// tie is a random number that decides between options whose expected starts differ little.
	tie uint64
}

// The classes of options. Pauses matter for long answers only.
const (
	classPreferred = iota
	classLongPauses
	classLate
	classCount
)

// groups holds the options by what speaks for them, each group in the order in which its engines are asked.
type groups struct {
	holders []option
	// first holds the first engines of the rendezvous order without the version, further the engines with free slots.
	first, further []option
	// next holds the engines that follow the first ones in the rendezvous order, failed those that failed recently.
	next, failed []option
}

func (r *ranking) group() groups {
	var g groups
	// near holds the engines at the start of the rendezvous order, distant the others with free slots.
	var near []option
	distant := make([]option, 0, len(r.engines))
	for i := range r.engines {
		e := &r.engines[i]
		switch {
		case !e.Holds && e.Position >= MaxEngines && (e.FailedRecently || !e.hasFreeSlot()):
		case e.FailedRecently:
			g.failed = append(g.failed, r.newOption(i))
		case e.Holds:
			g.holders = append(g.holders, r.newOption(i))
		case e.Position >= MaxEngines:
			distant = append(distant, r.newOption(i))
		default:
			near = append(near, r.newOption(i))
		}
	}
	comparePositions := func(a, b option) int { return cmp.Compare(a.position, b.position) }
	slices.SortFunc(near, comparePositions)
	slices.SortFunc(g.failed, comparePositions)
	r.sort(g.holders)
	cut := min(len(near), FirstEngines)
	var skipped []option
	for _, o := range near[:cut] {
		if r.isKnownLate(&o) {
			skipped = append(skipped, o)
		} else {
			g.first = append(g.first, o)
		}
	}
	slices.SortStableFunc(g.first, compareUse)
	g.further, g.next = r.splitFurther(near[cut:], distant)
	g.next = slices.Concat(skipped, g.next)
	return g
}

// compareUse orders options that suit a long answer before the others.
func compareUse(a, b option) int {
	return cmp.Compare(min(a.class, classLongPauses), min(b.class, classLongPauses))
}

// isKnownLate reports whether a new report says that an engine cannot start the request in time even if it has the adapter version.
func (r *ranking) isKnownLate(o *option) bool {
	e := r.engines[o.index]
	if !e.isFresh() || e.Age >= maxSkipAge {
		return false
	}
	e.Holds = true
	return !r.request.isInTime(r.usual.expectedStart(&r.request, &e))
}

// splitFurther returns the best FurtherEngines with free slots among the options near in the rendezvous order and the distant ones, and the
// remaining near ones in their order.
func (r *ranking) splitFurther(near, distant []option) (further, rest []option) {
	for _, o := range near {
		if r.engines[o.index].hasFreeSlot() {
			distant = append(distant, o)
		}
	}
	further = r.best(distant, FurtherEngines)
	for i := range further {
		further[i].further = true
	}
	for _, o := range near {
		if !slices.ContainsFunc(further, func(f option) bool { return f.index == o.index }) {
			rest = append(rest, o)
		}
	}
	return further, rest
}

// best returns the first n options in the order of sort. It does not sort all of them, because a large service has hundreds.
func (r *ranking) best(options []option, n int) []option {
	compare := r.newCompare(options)
	best := make([]option, 0, n+1)
	for _, o := range options {
		if len(best) == n && compare(o, best[n-1]) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, o, compare)
		best = slices.Insert(best, at, o)
		best = best[:min(len(best), n)]
	}
	return best
}

// hasFreeSlot reports whether an engine has a free slot by its report that this box has not used since.
func (e *Engine) hasFreeSlot() bool { return e.isFresh() && e.Report.FreeSlots > e.Sent.Loads }

func (r *ranking) newOption(i int) option {
	e := &r.engines[i]
	o := option{index: i, position: e.Position, start: r.usual.expectedStart(&r.request, e), tie: r.random.Uint64()}
	if !r.request.isLong() {
		return o
	}
	switch {
	case !r.request.isInTime(o.start):
		o.class = classLate
	case e.isFresh() && e.Report.EventGap > r.request.GapObjective:
		o.class = classLongPauses
	}
	if !e.Holds && e.isFresh() {
		o.freeSlots = e.Report.FreeSlots
	}
	return o
}

// sort orders options by class, then by expected start. Options that start at almost the same time as the first one of their class are
// in random order, or in the order of their free slots where these matter.
func (r *ranking) sort(options []option) { slices.SortFunc(options, r.newCompare(options)) }

// newCompare returns the comparison by which sort orders options.
func (r *ranking) newCompare(options []option) func(a, b option) int {
	var earliest [classCount]time.Duration
	for class := range earliest {
		earliest[class] = math.MaxInt64 / 2
	}
	for _, o := range options {
		earliest[o.class] = min(earliest[o.class], o.start)
	}
	spread := time.Duration(spreadShare * float64(r.request.Objective))
	return func(a, b option) int {
		if a.class != b.class {
			return cmp.Compare(a.class, b.class)
		}
		limit := earliest[a.class] + spread
		if a.start < limit && b.start < limit {
			return cmp.Or(cmp.Compare(b.freeSlots, a.freeSlots), cmp.Compare(a.tie, b.tie))
		}
		return cmp.Compare(a.start, b.start)
	}
}

// splitInTime separates the options that can start the request in time from the others and keeps their order.
func (r *ranking) splitInTime(options []option) (inTime, late []option) {
	for _, o := range options {
		if r.request.isInTime(o.start) {
			inTime = append(inTime, o)
		} else {
			late = append(late, o)
		}
	}
	return inTime, late
}
