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
	// FirstEngines is the number of engines without the adapter version, from the start of the rendezvous order, that are compared for
	// another copy.
	FirstEngines = 6
	// MaxEngines bounds the engines that Rank returns.
	MaxEngines = 18
	// spreadShare is the part of the objective below which differences between expected starts are ignored. The choice among such
	// engines is random, because other boxes choose at the same time by the same reports.
	spreadShare = 0.125
	// maxExtras is the number of engines with free slots that are compared in addition to the first engines. They are the first ones
	// among extraDraws random engines. If only one engine of the service has a free slot, it is therefore an extra engine of few
	// requests and not of all.
	maxExtras  = 2
	extraDraws = 4
	// longOutput is the number of expected output tokens above which an answer is long. Long answers suffer from pauses between their
	// events rather than from a late start.
	longOutput = 100
	// otherZoneDelay is added to the expected start on an engine in another zone: a round trip for the grant and one for the request.
	otherZoneDelay = 5 * time.Millisecond
)

// Engine is an engine of the service as the box sees it.
type Engine struct {
	// Position is the engine's position in the rendezvous order of the adapter version. Engines at positions of MaxEngines and more are
	// considered only if they hold the version or are drawn at random.
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
}

// Rank returns the engines that are asked to take a request, the best one first, at most MaxEngines. It returns false if there is no
// usable report of any engine.
//
// Engines that hold the adapter version and can start the request in time come first. If there are none, the engine with the earliest
// start among those that hold it is asked first, so that its owner can contradict the report. The engines that can load another copy in
// time follow, then the remaining ones. Engines that failed recently come last.
func Rank(q Request, engines []Engine, random *rand.Rand) ([]Choice, bool) {
	usual, ok := medianOf(engines)
	if !ok {
		return nil, false
	}
	r := ranking{request: q, engines: engines, usual: usual, random: random}
	holders, first, next, failed := r.group()
	inTime, late := r.splitInTime(holders)
	var order []option
	if len(holders) == 0 || len(inTime) > 0 {
		order = slices.Concat(inTime, late, first)
	} else {
		copies, lateCopies := r.splitInTime(first)
		order = slices.Concat(late[:1], copies, late[1:], lateCopies)
	}
	order = slices.Concat(order, next, failed)
	choices := make([]Choice, 0, MaxEngines)
	for _, o := range order[:min(len(order), MaxEngines)] {
		choices = append(choices, Choice{Index: o.index, Start: o.start})
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

// group returns the options by what speaks for them, each group in order: engines that hold the version, the first engines without it
// together with the extra ones, the engines that follow these in the rendezvous order, and those that failed recently.
func (r *ranking) group() (holders, first, next, failed []option) {
	for i := range r.engines {
		e := &r.engines[i]
		switch {
		case !e.Holds && e.Position >= MaxEngines:
		case e.FailedRecently:
			failed = append(failed, r.newOption(i))
		case e.Holds:
			holders = append(holders, r.newOption(i))
		default:
			next = append(next, r.newOption(i))
		}
	}
	comparePositions := func(a, b option) int { return cmp.Compare(a.position, b.position) }
	slices.SortFunc(next, comparePositions)
	slices.SortFunc(failed, comparePositions)
	cut := min(len(next), FirstEngines)
	first = r.addExtras(slices.Clone(next[:cut]))
	r.sort(holders)
	r.sort(first)
	return holders, first, next[cut:], failed
}

// addExtras adds up to maxExtras random engines with free slots that are not in the rendezvous order's first MaxEngines.
func (r *ranking) addExtras(first []option) []option {
	added := 0
	for range extraDraws {
		i := r.random.IntN(len(r.engines))
		e := &r.engines[i]
		if e.Holds || e.FailedRecently || e.Position < MaxEngines || !e.isFresh() || e.Report.FreeSlots <= e.Sent.Loads {
			continue
		}
		if slices.ContainsFunc(first, func(o option) bool { return o.index == i }) {
			continue
		}
		first = append(first, r.newOption(i))
		if added++; added == maxExtras {
			break
		}
	}
	return first
}

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
func (r *ranking) sort(options []option) {
	var earliest [classCount]time.Duration
	for class := range earliest {
		earliest[class] = math.MaxInt64 / 2
	}
	for _, o := range options {
		earliest[o.class] = min(earliest[o.class], o.start)
	}
	spread := time.Duration(spreadShare * float64(r.request.Objective))
	slices.SortFunc(options, func(a, b option) int {
		if a.class != b.class {
			return cmp.Compare(a.class, b.class)
		}
		limit := earliest[a.class] + spread
		if a.start < limit && b.start < limit {
			return cmp.Or(cmp.Compare(b.freeSlots, a.freeSlots), cmp.Compare(a.tie, b.tie))
		}
		return cmp.Compare(a.start, b.start)
	})
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
