package relay

import (
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/resource"
)

const (
	// runWindowLength is the length of one of the two windows over which the longest runs are known.
	runWindowLength = 30 * time.Second
	// minKnownRuns is the number of runs in both windows from which the longest of them is a bound for others.
	minKnownRuns = 10
	// minRunMargin is the smallest share of the longest known run by which another one may be longer. With fewer runs known than
	// runMarginRuns / minRunMargin the share is runMarginRuns through their number, so that it is about as unlikely that one is longer.
	minRunMargin  = 0.1
	runMarginRuns = 5.0
)

// runKind is a kind of requests that take similar times.
type runKind struct {
	service string
	route   resource.RouteKind
}

// runWindow holds the longest runs in the current and the previous window.
type runWindow struct {
	startedAt                   time.Time
	current, previous           time.Duration
	currentCount, previousCount int
}

// advance begins a new window if the current one is over.
func (w *runWindow) advance(now time.Time) {
	age := now.Sub(w.startedAt)
	if age < runWindowLength {
		return
	}
	w.previous, w.previousCount = w.current, w.currentCount
	if age >= 2*runWindowLength {
		w.previous, w.previousCount = 0, 0
	}
	w.startedAt, w.current, w.currentCount = now, 0, 0
}

// runTimes holds the longest times that recent requests of each kind spent at an endpoint.
type runTimes struct {
	mu     sync.Mutex
	byKind map[runKind]*runWindow
}

func newRunTimes() *runTimes { return &runTimes{byKind: map[runKind]*runWindow{}} }

// record adds a run that has ended.
func (r *runTimes) record(now time.Time, kind runKind, run time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.byKind[kind]
	if w == nil {
		r.dropOld(now)
		w = &runWindow{startedAt: now}
		r.byKind[kind] = w
	}
	w.advance(now)
	w.current = max(w.current, run)
	w.currentCount++
}

// dropOld removes the kinds without recent requests, for example those of former services. The caller holds mu.
func (r *runTimes) dropOld(now time.Time) {
	for kind, w := range r.byKind {
		if now.Sub(w.startedAt) >= 2*runWindowLength {
			delete(r.byKind, kind)
		}
	}
}

// longest returns the longest recent run of a kind and the share of it by which another may be longer. It returns false if there were too few runs.
func (r *runTimes) longest(now time.Time, kind runKind) (run time.Duration, margin float64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.byKind[kind]
	if w == nil {
		return 0, 0, false
	}
	w.advance(now)
	count := w.currentCount + w.previousCount
	if count < minKnownRuns {
		return 0, 0, false
	}
	return max(w.current, w.previous), max(minRunMargin, runMarginRuns/float64(count)), true
}
