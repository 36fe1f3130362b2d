package owner

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/engineload"
	"github.com/bellgap/bellgap/internal/loads"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/resource"
)

const (
	// defaultMaxQueue is the queue limit of an engine whose base model has no serving configuration.
	defaultMaxQueue = 256
	// packStallWeight is the stall weight below which full engine steps are preferred to an early start of requests of urgency 0.
	packStallWeight = 50
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
	// PrefillRate is the initial estimate of an engine's prefill rate in tokens per second. Zero leaves prompts out of the expected
	// wait.
	PrefillRate float64
	Policy      policy.Policy
	// Authority reports whether this box may send orders to an engine now, and under which epoch.
	Authority func(engine string, now time.Time) (epoch uint64, ok bool)
	// Rates holds the known rate limits of engines.
	Rates *ratelimit.Registry
	// Notices holds other notices received from engines.
	Notices *notice.Board
	// EngineLoads holds the reports of engine loads, or is nil if no engine is scarce.
	EngineLoads *engineload.Table
	Scope       tally.Scope
}

// Declared is the configuration that operators declare for an engine.
type Declared struct {
	Engine resource.Engine
	// Serving is the serving configuration of the engine's base model, or nil if there is none.
	Serving *resource.Serving
}

// declaredSettings is the part of a Runner's configuration that operators declare.
type declaredSettings struct {
	engine   resource.Engine
	maxQueue int
	pack     bool
}

func (d Declared) settings() declaredSettings {
	if d.Serving == nil {
		return declaredSettings{engine: d.Engine, maxQueue: defaultMaxQueue}
	}
	return declaredSettings{engine: d.Engine, maxQueue: d.Serving.MaxQueue, pack: d.Serving.StallWeight < packStallWeight}
}

// ownedEngine is an engine that this box owns, or a former one on which this box still has requests or orders in flight.
type ownedEngine struct {
	runner *Runner
	token  suture.ServiceToken
	// settings is the configuration with which the runner was started.
	settings declaredSettings
	// epoch is the epoch of the ownership grant.
	epoch uint64
	// takeoverDone is true once the runner may unload adapters taken over from the previous owner.
	takeoverDone bool
	// boxLeaving is true if the engine's box is leaving.
	boxLeaving bool
}

// Set manages the Runners of the engines that this box owns.
type Set struct {
	cfg SetConfig
	// mu guards the fields below.
	mu    sync.Mutex
	owned map[string]*ownedEngine
	// draining holds the engines that this box no longer owns but whose Runners still have requests or orders in flight.
	draining []*ownedEngine
	// loadSequence is the sequence number of the last report of an engine's load. All Runners share it, so that a Runner that replaces
	// another one under the same epoch continues its numbers.
	loadSequence atomic.Uint64
}

// NewSet returns an empty Set.
func NewSet(cfg SetConfig) *Set { return &Set{cfg: cfg, owned: map[string]*ownedEngine{}} }

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
			s.drain(name, o)
		}
	}
	for _, g := range grants {
		s.ensureRunner(g)
	}
	for _, name := range release {
		if o, ok := s.owned[name]; ok {
			o.runner.Stop()
		}
	}
	s.removeDrained()
}

// ensureRunner ensures that the Runner of a granted engine runs with the current configuration. It also informs the Runner
// whether the engine's box is leaving and when the adapters of the previous owner may be unloaded.
func (s *Set) ensureRunner(g coordinator.Ownership) {
	o, ok := s.owned[g.Engine]
	if ok && (o.runner.hasEnded() || s.hasNewSettings(g.Engine, o)) {
		s.drain(g.Engine, o)
		ok = false
	}
	if !ok {
		if o = s.startRunner(g); o == nil {
			return
		}
	}
	if leaving := s.cfg.Leaving(g.Engine); leaving != o.boxLeaving {
		o.boxLeaving = leaving
		o.runner.SetBoxLeaving(leaving)
	}
	if !o.takeoverDone && s.canFinishTakeover(g, o) {
		o.takeoverDone = true
		o.runner.FinishTakeover()
	}
}

// canFinishTakeover reports whether the adapters that were loaded when the engine was taken over may be unloaded. This is allowed
// as soon as the previous owner has no requests in flight, and at once on an engine that finishes the runs of an adapter before
// it unloads the adapter. Delaying the unloads there brings no benefit: 8 s without evictions after each takeover cost 0.09 to
// 0.14 of a site's score, and 1.5 s and 3 s gained nothing.
func (s *Set) canFinishTakeover(g coordinator.Ownership, o *ownedEngine) bool {
	return o.settings.engine.DrainsBeforeUnload || (g.Previous == "" && !s.isDraining(g.Engine))
}

// hasNewSettings reports whether the declared configuration of an engine has changed since its Runner started.
func (s *Set) hasNewSettings(name string, o *ownedEngine) bool {
	now, ok := s.cfg.Lookup(name)
	return ok && now.settings() != o.settings
}

// isDraining reports whether a former Runner of this box still has requests or orders in flight on the engine.
func (s *Set) isDraining(engine string) bool {
	return slices.ContainsFunc(s.draining, func(o *ownedEngine) bool { return o.runner.cfg.Name == engine })
}

// startRunner starts a Runner for a granted engine. It returns nil if the engine is not declared.
func (s *Set) startRunner(g coordinator.Ownership) *ownedEngine {
	declared, ok := s.cfg.Lookup(g.Engine)
	if !ok {
		return nil
	}
	settings := declared.settings()
	name := g.Engine
	cfg := RunnerConfig{
		Name: name, Engine: settings.engine, MaxQueue: settings.maxQueue, Pack: settings.pack,
		Client: s.cfg.Client, Loads: s.cfg.Loads, BaseLoads: s.cfg.BaseLoads, Scope: s.cfg.Scope,
		PrefillRate: s.cfg.PrefillRate, Policy: s.cfg.Policy,
		Authority:     func(now time.Time) (uint64, bool) { return s.cfg.Authority(name, now) },
		Rate:          s.cfg.Rates.LatestReport(clock.Now(), name, settings.engine.Started),
		EngineLeaving: s.cfg.Notices.IsLeaving(clock.Now(), notice.Endpoint{Name: name, Started: settings.engine.Started}),
		Notices:       s.cfg.Notices,
		Epoch:         g.Epoch,
	}
	if s.cfg.EngineLoads != nil && settings.engine.Scarce {
		cfg.EngineLoads, cfg.NextLoadSequence = s.cfg.EngineLoads, func() uint64 { return s.loadSequence.Add(1) }
		cfg.CarriedRate, cfg.CarriedUndisturbedRate = s.cfg.EngineLoads.LastRates(name, settings.engine.Started)
	}
	r := NewRunner(cfg)
	o := &ownedEngine{runner: r, epoch: g.Epoch, settings: settings}
	o.token = s.cfg.Supervisor.Add(r)
	s.owned[cfg.Name] = o
	klog.InfoS("engine ownership acquired", "engine", name, "epoch", g.Epoch, "previous", g.Previous)
	return o
}

// drain stops the Runner of an engine that this box no longer owns, or whose Runner must be replaced.
func (s *Set) drain(name string, o *ownedEngine) {
	o.runner.Stop()
	klog.InfoS("engine ownership released", "engine", name, "epoch", o.epoch, "in_flight", o.runner.InFlight())
	delete(s.owned, name)
	s.draining = append(s.draining, o)
}

// removeDrained removes the former Runners that have no requests or orders in flight anymore.
func (s *Set) removeDrained() {
	s.draining = slices.DeleteFunc(s.draining, func(o *ownedEngine) bool {
		if o.runner.InFlight() > 0 || (!o.runner.Stopped() && !o.runner.hasEnded()) {
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
	s.removeDrained()
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
