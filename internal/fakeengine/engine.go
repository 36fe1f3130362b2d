// Package fakeengine stands in for a model engine: completions with server-sent events, few adapter slots, fenced orders, lagging reports.
package fakeengine

import (
	"context"
	"crypto/rand"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/engine"
)

// Faults are switched on by tests and by POST /faults.
type Faults struct {
	// FailLoads fails this many loads.
	FailLoads int `json:"fail_loads"`
	// LoseOrderAnswers lets this many orders take effect and breaks the connection.
	LoseOrderAnswers int `json:"lose_order_answers"`
	// LoseAnswers runs this many requests and breaks the connection before the answer.
	LoseAnswers int `json:"lose_answers"`
	// CutStreams breaks this many streams after their first token.
	CutStreams int `json:"cut_streams"`
	// WrongAnswers answers this many requests in the name of another adapter.
	WrongAnswers int `json:"wrong_answers"`
	// Rate, if set, is named in all answers as the requests a second that the engine takes from all boxes.
	Rate string `json:"rate"`
	// Leaving says in all answers that the engine leaves, until it starts again.
	Leaving bool `json:"leaving"`
	// Rest, if set, turns all requests away and names as many seconds of rest.
	Rest string `json:"rest"`
}

// Config configures an Engine.
type Config struct {
	Name string
	// Slots and Batch are the limits of the engine.
	Slots int
	Batch int
	// Step is the time of one token.
	Step time.Duration
	// ChecksOrders makes the engine refuse old epochs.
	ChecksOrders bool
	// Fetch gets the weights; nil takes no time.
	Fetch func(ctx context.Context, weights string) error
	// ReportLag is the age of reports.
	ReportLag time.Duration
}

// History is what tests check invariants on.
type History struct {
	// Runs counts how often each request id was run, Users how often each user's request was.
	Runs  map[string]int `json:"runs"`
	Users map[string]int `json:"users"`
	// Violations lists adapters that were unloaded in use.
	Violations []string `json:"violations"`
	Loads      int      `json:"loads"`
	Unloads    int      `json:"unloads"`
}

type refused struct {
	kind string
	text string
}

func (r refused) Error() string { return r.kind + ": " + r.text }

// errLost makes the handler break the connection.
var errLost = errors.New("fakeengine: answer lost")

// Engine is the stand-in.
type Engine struct {
	cfg         Config
	mu          sync.Mutex
	incarnation string
	epoch       uint64
	loaded      map[string]int
	loading     map[string]bool
	batch       chan struct{}
	faults      Faults
	history     History
	steps       int64
	filled      int64
	reports     []engine.Report
}

// New returns an empty Engine.
func New(cfg Config) *Engine {
	e := &Engine{cfg: cfg, history: History{Runs: map[string]int{}, Users: map[string]int{}}}
	e.Restart()
	return e
}

// Restart empties the engine.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation = rand.Text()
	e.loaded, e.loading = map[string]int{}, map[string]bool{}
	e.batch = make(chan struct{}, e.cfg.Batch)
	e.epoch = 0
	e.faults.Leaving = false
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// History returns a copy of what happened.
func (e *Engine) History() History {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.history
	h.Runs, h.Users = maps.Clone(h.Runs), maps.Clone(h.Users)
	h.Violations = slices.Clone(h.Violations)
	return h
}

// Order carries out an order.
func (e *Engine) Order(ctx context.Context, o engine.Order) error {
	if err := e.admitOrder(o); err != nil {
		return err
	}
	var err error
	switch o.Action {
	case engine.ActionLoad:
		err = e.load(ctx, o)
	case engine.ActionUnload:
		err = e.unload(o)
	default:
		err = refused{engine.RefusalBadRequest, "unknown action"}
	}
	if err == nil && e.take(&e.faults.LoseOrderAnswers) {
		return errLost
	}
	return err
}

// take uses up one of a counted fault.
func (e *Engine) take(n *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (e *Engine) admitOrder(o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksOrders && o.Epoch < e.epoch {
		return refused{engine.RefusalStaleEpoch, "a newer owner has given orders"}
	}
	e.epoch = max(e.epoch, o.Epoch)
	return nil
}

func (e *Engine) load(ctx context.Context, o engine.Order) error {
	e.mu.Lock()
	_, have := e.loaded[o.Model]
	full := len(e.loaded)+len(e.loading) >= e.cfg.Slots
	if !have && !full {
		e.loading[o.Model] = true
	}
	incarnation := e.incarnation
	e.mu.Unlock()
	if have {
		return nil
	}
	if full {
		return refused{engine.RefusalNoSlot, "all slots are taken"}
	}
	var err error
	if e.cfg.Fetch != nil {
		err = e.cfg.Fetch(ctx, o.Weights)
	}
	if err == nil && e.take(&e.faults.FailLoads) {
		err = errors.New("broken weights")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation != e.incarnation {
		return refused{engine.RefusalLoadFailed, "restarted"}
	}
	delete(e.loading, o.Model)
	if err != nil {
		return refused{engine.RefusalLoadFailed, err.Error()}
	}
	e.loaded[o.Model] = 0
	e.history.Loads++
	return nil
}

func (e *Engine) unload(o engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loaded[o.Model] > 0 {
		e.history.Violations = append(e.history.Violations, o.Model)
	}
	delete(e.loaded, o.Model)
	e.history.Unloads++
	return nil
}

// run executes a request of n tokens and calls token for each.
func (e *Engine) run(ctx context.Context, id, user, model string, n int, token func(i int) error) error {
	e.mu.Lock()
	if _, ok := e.loaded[model]; !ok {
		e.mu.Unlock()
		return refused{engine.RefusalNotLoaded, model}
	}
	e.loaded[model]++
	e.history.Runs[id]++
	if user != "" {
		e.history.Users[user]++
	}
	incarnation, batch := e.incarnation, e.batch
	e.mu.Unlock()
	defer e.finish(model, incarnation)
	select {
	case batch <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-batch }()
	for i := range n {
		if err := e.step(ctx, len(batch)); err != nil {
			return err
		}
		if err := token(i); err != nil {
			return err
		}
	}
	return nil
}

// step takes the time of one token and counts its share of a shared engine step.
func (e *Engine) step(ctx context.Context, sharing int) error {
	if e.cfg.Step > 0 {
		select {
		case <-time.After(e.cfg.Step):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// With n sequences sharing each step, n such calls make one step filled by n; both counters are scaled by 1000.
	const scale = 1000
	e.steps += scale / int64(max(1, sharing))
	e.filled += scale
	return nil
}

func (e *Engine) finish(model, incarnation string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n, ok := e.loaded[model]; ok && incarnation == e.incarnation && n > 0 {
		e.loaded[model]--
	}
}

// Report returns the newest report that is at least ReportLag old.
func (e *Engine) Report() engine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	r := engine.Report{
		Incarnation: e.incarnation, Epoch: e.epoch, Loaded: []string{}, Running: len(e.batch),
		Steps: e.steps, StepSequences: e.filled, TakenAt: now,
	}
	for m := range e.loaded {
		r.Loaded = append(r.Loaded, m)
	}
	slices.Sort(r.Loaded)
	if e.cfg.ReportLag <= 0 {
		return r
	}
	e.reports = append(e.reports, r)
	for len(e.reports) > 1 && now.Sub(e.reports[1].TakenAt) >= e.cfg.ReportLag {
		e.reports = e.reports[1:]
	}
	return e.reports[0]
}
