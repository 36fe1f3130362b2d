package owner

import (
	"slices"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/loads"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/resource"
)

const (
	// defaultMaxQueue is the queue limit of an engine whose base model has no serving configuration.
	defaultMaxQueue = 256
	// packBelow is the stall weight below which full engine steps are preferred to an early start of requests of urgency 0.
	packBelow = 50
)

// SetConfig configures a Set.
type SetConfig struct {
	// Supervisor runs the Runners.
	Supervisor *suture.Supervisor
	// Lookup returns the declared configuration of an engine, and false if the engine is not declared.
	Lookup func(name string) (Declared, bool)
	// Leaving reports whether the box of an engine is leaving.
	Leaving func(name string) bool
	Client  Engines
	// Loads grants permits for adapter loads.
	Loads loads.Source
	// BaseLoads grants permits for base model loads.
	BaseLoads loads.Source
	// PrefillRate is the initial estimate of an engine's prefill rate in tokens per second. Zero leaves prompts out of the expected wait.
	PrefillRate float64
	Policy      policy.Policy
	// Authority reports whether this box may send orders to an engine now, and under which epoch.
	Authority func(engine string, now time.Time) (epoch uint64, ok bool)
	// Rates holds the known rate limits of engines.
	Rates *ratelimit.Book
	// Notices holds other notices received from engines.
	Notices *notice.Board
	Scope   tally.Scope
}

// Declared is the configuration that operators declare for an engine.
type Declared struct {
	Engine resource.Engine
	// Serving is the serving configuration of the engine's base model, or nil if there is none.
	Serving *resource.Serving
}

// terms is the part of a Runner's configuration that operators declare.
type terms struct {
	engine   resource.Engine
	maxQueue int
	pack     bool
}

func (d Declared) terms() terms {
	if d.Serving == nil {
		return terms{engine: d.Engine, maxQueue: defaultMaxQueue}
	}
	return terms{engine: d.Engine, maxQueue: d.Serving.MaxQueue, pack: d.Serving.StallWeight < packBelow}
}

// owned is an engine that this box owns, or owned before and still runs requests on.
type owned struct {
	runner *Runner
	token  suture.ServiceToken
	// terms is the configuration with which the runner was started.
	terms terms
	// epoch is the epoch of the ownership grant.
	epoch uint64
	// settled is true once the runner may unload adapters taken over from the previous owner.
	settled bool
	// closed is true if the engine's box is leaving.
	closed bool
}

// Set manages the Runners of the engines that this box owns.
type Set struct {
	cfg SetConfig
	// mu guards the fields below.
	mu    sync.Mutex
	owned map[string]*owned
	// draining holds the engines that this box no longer owns but whose Runners still have requests or orders in flight.
	draining []*owned
}

// NewSet returns an empty Set.
func NewSet(cfg SetConfig) *Set { return &Set{cfg: cfg, owned: map[string]*owned{}} }

// Get returns the Runner of an owned engine.
func (s *Set) Get(name string) (*Runner, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.owned[name]
	if !ok {
		return nil, false
	}
	return o.runner, true
}

// Update starts and stops Runners to match the ownership grants, and stops the Runners of the engines to release.
func (s *Set) Update(grants []coordinator.Ownership, release []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := map[string]coordinator.Ownership{}
	for _, g := range grants {
		granted[g.Engine] = g
	}
	for name, o := range s.owned {
		if granted[name].Epoch != o.epoch {
			s.lose(name, o)
		}
	}
	for _, g := range grants {
		s.hold(g)
	}
	for _, name := range release {
		if o, ok := s.owned[name]; ok {
			o.runner.Stop()
		}
	}
	s.sweep()
}

// hold ensures that the Runner of a granted engine runs with the current configuration. It also informs the Runner whether the engine's
// box is leaving and when the adapters of the previous owner may be unloaded.
func (s *Set) hold(g coordinator.Ownership) {
	o, ok := s.owned[g.Engine]
	if ok && (o.runner.ended() || s.redeclared(g.Engine, o)) {
		s.lose(g.Engine, o)
		ok = false
	}
	if !ok {
		if o = s.start(g); o == nil {
			return
		}
	}
	if leaving := s.cfg.Leaving(g.Engine); leaving != o.closed {
		o.closed = leaving
		o.runner.Close(leaving)
	}
	if !o.settled && s.isSettled(g, o) {
		o.settled = true
		o.runner.Settle()
	}
}

// isSettled reports whether the adapters that were loaded when the engine was taken over may be unloaded. This is allowed as soon as
// the previous owner has no requests in flight, and at once on an engine that finishes the runs of an adapter before it unloads the
// adapter. Delaying the unloads there brings no benefit: 8 s without evictions after each takeover cost 0.09 to 0.14 of a site's
// score, and 1.5 s and 3 s gained nothing.
func (s *Set) isSettled(g coordinator.Ownership, o *owned) bool {
	return o.terms.engine.FinishesFirst || (g.Previous == "" && !s.drains(g.Engine))
}

// redeclared reports whether the declared configuration of an engine has changed since its Runner started.
func (s *Set) redeclared(name string, o *owned) bool {
	now, ok := s.cfg.Lookup(name)
	return ok && now.terms() != o.terms
}

// drains reports whether a former Runner of this box still has requests or orders in flight on the engine.
func (s *Set) drains(engine string) bool {
	return slices.ContainsFunc(s.draining, func(o *owned) bool { return o.runner.cfg.Name == engine })
}

// start starts a Runner for a granted engine. It returns nil if the engine is not declared.
func (s *Set) start(g coordinator.Ownership) *owned {
	declared, ok := s.cfg.Lookup(g.Engine)
	if !ok {
		return nil
	}
	t := declared.terms()
	name := g.Engine
	cfg := RunnerConfig{
		Name: name, Engine: t.engine, MaxQueue: t.maxQueue, Pack: t.pack, Client: s.cfg.Client, Loads: s.cfg.Loads, BaseLoads: s.cfg.BaseLoads, Scope: s.cfg.Scope,
		PrefillRate: s.cfg.PrefillRate, Policy: s.cfg.Policy,
		Authority: func(now time.Time) (uint64, bool) { return s.cfg.Authority(name, now) },
		Rate:      s.cfg.Rates.Word(clock.Now(), name, t.engine.Started),
		Left:      s.cfg.Notices.Leaves(clock.Now(), notice.Endpoint{Name: name, Started: t.engine.Started}),
		Notices:   s.cfg.Notices,
	}
	r := NewRunner(cfg)
	o := &owned{runner: r, epoch: g.Epoch, terms: t}
	o.token = s.cfg.Supervisor.Add(r)
	s.owned[cfg.Name] = o
	klog.InfoS("engine ownership acquired", "engine", name, "epoch", g.Epoch, "previous", g.Previous)
	return o
}

// lose stops the Runner of an engine that this box no longer owns, or whose Runner must be replaced.
func (s *Set) lose(name string, o *owned) {
	o.runner.Stop()
	klog.InfoS("engine ownership released", "engine", name, "epoch", o.epoch, "in_flight", o.runner.InFlight())
	delete(s.owned, name)
	s.draining = append(s.draining, o)
}

// sweep removes the former Runners that have no requests or orders in flight anymore.
func (s *Set) sweep() {
	s.draining = slices.DeleteFunc(s.draining, func(o *owned) bool {
		if o.runner.InFlight() > 0 || (!o.runner.Stopped() && !o.runner.ended()) {
			return false
		}
		// Remove fails only if the supervisor no longer has the Runner.
		_ = s.cfg.Supervisor.Remove(o.token)
		return true
	})
}

// Released returns the owned engines whose Runners have stopped, and the engines that this box no longer owns but that still have
// requests or orders in flight.
func (s *Set) Released() (released, draining []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	for name, o := range s.owned {
		if o.runner.Stopped() {
			released = append(released, name)
		}
	}
	for _, o := range s.draining {
		draining = append(draining, o.runner.cfg.Name)
	}
	slices.Sort(released)
	slices.Sort(draining)
	return released, draining
}

// InFlight returns the number of running requests on all engines.
func (s *Set) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, o := range s.owned {
		n += o.runner.InFlight()
	}
	for _, o := range s.draining {
		n += o.runner.InFlight()
	}
	return n
}

// Status returns the status of each owned engine, sorted by engine name.
func (s *Set) Status() []Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []Status
	for _, o := range s.owned {
		all = append(all, o.runner.Status())
	}
	slices.SortFunc(all, func(a, b Status) int {
		if a.Engine < b.Engine {
			return -1
		}
		return 1
	})
	return all
}
