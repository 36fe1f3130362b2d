// Package fakeengine implements a fake model engine for tests. It serves completions, also as server-sent events, has a limited
// number of adapter slots, checks the epochs of orders, and can delay its reports.
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

// Faults are the faults that the engine simulates. Tests set them directly or by POST /faults.
type Faults struct {
	// FailLoads is the number of upcoming loads that fail.
	FailLoads int `json:"fail_loads"`
	// DropOrderResponses is the number of upcoming orders that are executed, but whose connection is closed before the response.
	DropOrderResponses int `json:"lose_order_answers"`
	// DropResponses is the number of upcoming requests that are executed, but whose connection is closed before the response.
	DropResponses int `json:"lose_answers"`
	// CutStreams is the number of upcoming streams whose connection is closed after the first token.
	CutStreams int `json:"cut_streams"`
	// WrongModelResponses is the number of upcoming requests whose responses name another adapter.
	WrongModelResponses int `json:"wrong_answers"`
	// RateLimit, if set, is sent with all responses as the number of requests per second that the engine accepts from all boxes
	// together.
	RateLimit string `json:"rate"`
	// Leaving adds a header to all responses, which announces that the engine is leaving. A restart resets it.
	Leaving bool `json:"leaving"`
	// RetryAfter, if set, makes the engine refuse all requests and is sent as the Retry-After header, in seconds.
	RetryAfter string `json:"rest"`
}

// Config configures an Engine.
type Config struct {
	Name string
	// Slots is the maximum number of loaded adapters, Batch the maximum number of requests that run at the same time.
	Slots int
	Batch int
	// Step is the time to generate one token.
	Step time.Duration
	// ChecksEpochs makes the engine refuse orders with an epoch older than the newest one it has received.
	ChecksEpochs bool
	// Fetch downloads the weights of an adapter. If it is nil, loads take no time.
	Fetch func(ctx context.Context, weights string) error
	// ReportLag is the minimum age of the reports that the engine returns.
	ReportLag time.Duration
}

// History records the engine's actions so that tests can check invariants.
type History struct {
	// Runs counts the executions by request ID, Users the executions by the user named in the request.
	Runs  map[string]int `json:"runs"`
	Users map[string]int `json:"users"`
	// Violations lists the adapters that were unloaded while requests were using them.
	Violations []string `json:"violations"`
	Loads      int      `json:"loads"`
	Unloads    int      `json:"unloads"`
}

// refusalError is a refused request or order; kind is one of the engine.Refusal types.
type refusalError struct {
	kind    string
	message string
}

func (r refusalError) Error() string { return r.kind + ": " + r.message }

// errDropResponse makes the handler close the connection without a response.
var errDropResponse = errors.New("fakeengine: answer lost")

// Engine is the fake engine.
type Engine struct {
	cfg         Config
	mu          sync.Mutex
	incarnation string
	epoch       uint64
	// requestsByModel has an entry for each loaded model: the number of its unfinished requests.
	requestsByModel map[string]int
	// loading has the models that are being loaded.
	loading map[string]bool
	// batchSeats holds one element for each running request.
	batchSeats chan struct{}
	faults     Faults
	history    History
	// steps counts generation steps. filled counts the sequences in them. Both are multiplied by 1000.
	steps  int64
	filled int64
	// recentReports has the reports from which Report selects one that is old enough. The oldest report is first.
	recentReports []engine.Report
}

// New returns an empty Engine.
func New(cfg Config) *Engine {
	e := &Engine{cfg: cfg, history: History{Runs: map[string]int{}, Users: map[string]int{}}}
	e.Restart()
	return e
}

// Restart simulates a restart: the engine has no loaded adapters, a new incarnation and no epoch. The history remains.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation = rand.Text()
	e.requestsByModel, e.loading = map[string]int{}, map[string]bool{}
	e.batchSeats = make(chan struct{}, e.cfg.Batch)
	e.epoch = 0
	e.faults.Leaving = false
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// History returns a copy of the history.
func (e *Engine) History() History {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.history
	h.Runs, h.Users = maps.Clone(h.Runs), maps.Clone(h.Users)
	h.Violations = slices.Clone(h.Violations)
	return h
}

// ExecuteOrder executes an order to load or unload an adapter.
func (e *Engine) ExecuteOrder(ctx context.Context, order engine.Order) error {
	if err := e.checkEpoch(order); err != nil {
		return err
	}
	var err error
	switch order.Action {
	case engine.ActionLoad:
		err = e.load(ctx, order)
	case engine.ActionUnload:
		err = e.unload(order)
	default:
		err = refusalError{engine.RefusalBadRequest, "unknown action"}
	}
	if err == nil && e.consumeFault(&e.faults.DropOrderResponses) {
		return errDropResponse
	}
	return err
}

// consumeFault reports whether a fault applies now, and decrements the number of its remaining occurrences.
func (e *Engine) consumeFault(remaining *int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

// checkEpoch refuses an order with an old epoch if ChecksEpochs is set, and stores a newer epoch.
func (e *Engine) checkEpoch(order engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksEpochs && order.Epoch < e.epoch {
		return refusalError{engine.RefusalStaleEpoch, "a newer owner has sent orders"}
	}
	e.epoch = max(e.epoch, order.Epoch)
	return nil
}

func (e *Engine) load(ctx context.Context, order engine.Order) error {
	e.mu.Lock()
	_, alreadyLoaded := e.requestsByModel[order.Model]
	noFreeSlot := len(e.requestsByModel)+len(e.loading) >= e.cfg.Slots
	if !alreadyLoaded && !noFreeSlot {
		e.loading[order.Model] = true
	}
	incarnation := e.incarnation
	e.mu.Unlock()
	if alreadyLoaded {
		return nil
	}
	if noFreeSlot {
		return refusalError{engine.RefusalNoSlot, "all slots are taken"}
	}
	var err error
	if e.cfg.Fetch != nil {
		err = e.cfg.Fetch(ctx, order.Weights)
	}
	if err == nil && e.consumeFault(&e.faults.FailLoads) {
		err = errors.New("broken weights")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation != e.incarnation {
		return refusalError{engine.RefusalLoadFailed, "restarted"}
	}
	delete(e.loading, order.Model)
	if err != nil {
		return refusalError{engine.RefusalLoadFailed, err.Error()}
	}
	e.requestsByModel[order.Model] = 0
	e.history.Loads++
	return nil
}

func (e *Engine) unload(order engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.requestsByModel[order.Model] > 0 {
		e.history.Violations = append(e.history.Violations, order.Model)
	}
	delete(e.requestsByModel, order.Model)
	e.history.Unloads++
	return nil
}

// run executes a request and calls emitToken for each of its tokens.
func (e *Engine) run(ctx context.Context, id, user, model string, tokens int, emitToken func(i int) error) error {
	e.mu.Lock()
	if _, ok := e.requestsByModel[model]; !ok {
		e.mu.Unlock()
		return refusalError{engine.RefusalNotLoaded, model}
	}
	e.requestsByModel[model]++
	e.history.Runs[id]++
	if user != "" {
		e.history.Users[user]++
	}
	incarnation, batchSeats := e.incarnation, e.batchSeats
	e.mu.Unlock()
	defer e.endRequest(model, incarnation)
	select {
	case batchSeats <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-batchSeats }()
	for i := range tokens {
		if err := e.generateToken(ctx, len(batchSeats)); err != nil {
			return err
		}
		if err := emitToken(i); err != nil {
			return err
		}
	}
	return nil
}

// generateToken waits for the time of one token and counts the token's share of an engine step.
func (e *Engine) generateToken(ctx context.Context, sequences int) error {
	if e.cfg.Step > 0 {
		select {
		case <-time.After(e.cfg.Step):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// If n sequences share each step, n calls add up to one step that is filled by n sequences. Both counters are multiplied
	// by 1000, because integers cannot hold the fractions of a step.
	const scale = 1000
	e.steps += scale / int64(max(1, sequences))
	e.filled += scale
	return nil
}

// endRequest decrements the number of unfinished requests of a model, unless the engine has restarted since their start.
func (e *Engine) endRequest(model, incarnation string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n, ok := e.requestsByModel[model]; ok && incarnation == e.incarnation && n > 0 {
		e.requestsByModel[model]--
	}
}

// Report returns the newest report that is at least ReportLag old, or the oldest report if none is that old.
func (e *Engine) Report() engine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	r := engine.Report{
		Incarnation: e.incarnation, Epoch: e.epoch, Loaded: []string{}, Running: len(e.batchSeats),
		Steps: e.steps, StepSequences: e.filled, TakenAt: now,
	}
	for model := range e.requestsByModel {
		r.Loaded = append(r.Loaded, model)
	}
	slices.Sort(r.Loaded)
	if e.cfg.ReportLag <= 0 {
		return r
	}
	e.recentReports = append(e.recentReports, r)
	for len(e.recentReports) > 1 && now.Sub(e.recentReports[1].TakenAt) >= e.cfg.ReportLag {
		e.recentReports = e.recentReports[1:]
	}
	return e.recentReports[0]
}
