// Package slowpeer bounds what the box holds for callers and endpoints that do not read. It tracks the bytes held for each
// request of a caller and the last progress of its transfers, and ends those that stall. See docs/design/slow-readers.md.
package slowpeer

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/clock"
)

const (
	// checkInterval is the time between two checks of all connections. While the limit on held bytes is exceeded, growth causes
	// checks after minCheckInterval.
	checkInterval    = 250 * time.Millisecond
	minCheckInterval = 20 * time.Millisecond
	// maxListedStalls bounds the stalled connections in the status.
	maxListedStalls = 16
	// defaultStallTimeout and defaultHoldBytes apply where the configuration sets none.
	defaultStallTimeout = 5 * time.Second
	defaultHoldBytes    = 16 << 20
)

// Config configures a Tracker.
type Config struct {
	Limits Limits
	Scope  tally.Scope
}

// Tracker tracks the requests of all callers of this box.
type Tracker struct {
	cfg Config
	// held is the number of bytes held for all callers. lastCheck is the time of the last check in Unix nanoseconds.
	held      atomic.Int64
	lastCheck atomic.Int64
	mu        sync.Mutex
	callers   map[*Caller]struct{}
}

// New returns a Tracker. Its Serve method must run for the limit on held bytes to be kept while nothing is transferred.
func New(cfg Config) *Tracker {
	cfg.Limits.StallTimeout = cmp.Or(cfg.Limits.StallTimeout, defaultStallTimeout)
	cfg.Limits.HoldBytes = cmp.Or(cfg.Limits.HoldBytes, defaultHoldBytes)
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	return &Tracker{cfg: cfg, callers: map[*Caller]struct{}{}}
}

// Serve implements suture.Service. It checks all connections until ctx ends.
func (t *Tracker) Serve(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.check(clock.Now())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// NewCaller starts to track a request. The caller must be closed when the request has been handled.
func (t *Tracker) NewCaller(w http.ResponseWriter) *Caller {
	c := &Caller{ResponseWriter: w, tracker: t, control: http.NewResponseController(w)}
	// The deadline of an earlier answer on the same connection would make 100 Continue fail.
	c.extendDeadline()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.callers[c] = struct{}{}
	return c
}

func (t *Tracker) remove(c *Caller) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.callers, c)
}

func (t *Tracker) list() []*Caller {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*Caller, 0, len(t.callers))
	for c := range t.callers {
		all = append(all, c)
	}
	return all
}

// addHeld adds n to the number of held bytes, and checks all connections if the limit is exceeded. The caller holds no lock.
func (t *Tracker) addHeld(n int64) {
	if total := t.held.Add(n); n <= 0 || total <= t.cfg.Limits.HoldBytes {
		return
	}
	now := clock.Now()
	last := t.lastCheck.Load()
	if now.UnixNano()-last >= int64(minCheckInterval) && t.lastCheck.CompareAndSwap(last, now.UnixNano()) {
		t.check(now)
	}
}

// check ends the connections that exceed the limits.
func (t *Tracker) check(now time.Time) {
	t.cfg.Scope.Gauge("held_bytes").Update(float64(t.held.Load()))
	var callers []*Caller
	var states []State
	for _, c := range t.list() {
		if s, ok := c.state(); ok {
			callers, states = append(callers, c), append(states, s)
		}
	}
	for _, i := range t.cfg.Limits.SelectEnds(now, states) {
		callers[i].end(states[i])
	}
}

// Stalled is a connection that the box waits for.
type Stalled struct {
	Customer string `json:"customer,omitempty"`
	Route    string `json:"route"`
	// Step is what the box waits for.
	Step  string        `json:"step"`
	Held  int64         `json:"held"`
	Since time.Duration `json:"since"`
}

// Status describes the held bytes and the stalled connections, the longest stalled first.
type Status struct {
	HeldBytes int64     `json:"held_bytes"`
	Stalls    int       `json:"stalls"`
	Listed    []Stalled `json:"listed,omitempty"`
}

// Status returns the held bytes and the stalled connections.
func (t *Tracker) Status(now time.Time) Status {
	st := Status{HeldBytes: t.held.Load()}
	for _, c := range t.list() {
		if s, ok := c.stalled(now); ok {
			st.Listed = append(st.Listed, s)
		}
	}
	slices.SortFunc(st.Listed, func(a, b Stalled) int { return cmp.Compare(b.Since, a.Since) })
	st.Stalls = len(st.Listed)
	st.Listed = st.Listed[:min(len(st.Listed), maxListedStalls)]
	return st
}
