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
	// defaultMaxQueue bounds the waiting requests of an engine whose base model has no serving configuration.
	defaultMaxQueue = 256
	// packBelow is the stall weight below which full steps go before the early start of work without urgency.
	packBelow = 50
)

// SetConfig configures a Set.
type SetConfig struct {
	// Supervisor runs the runners.
	Supervisor *suture.Supervisor
	// Lookup returns what is declared for an engine, if it is.
	Lookup func(name string) (Declared, bool)
	// Leaving reports whether the box of an engine is leaving.
	Leaving func(name string) bool
	Client  Engines
	// Loads gives permits for adapters, BaseLoads for base models.
	Loads     loads.Source
	BaseLoads loads.Source
	// PrefillRate is how many prompt tokens an engine reads in a second; zero leaves prompts out of the expected wait.
	PrefillRate float64
	Policy      policy.Policy
	// Authority says whether this box may give an engine orders now.
	Authority func(engine string, now time.Time) (epoch uint64, ok bool)
	// Rates is what this box knows of the engines' rates, Notices what else they have said of themselves.
	Rates   *ratelimit.Book
	Notices *notice.Board
	Scope   tally.Scope
}

// Declared is what operators declare for an engine.
type Declared struct {
	Engine resource.Engine
	// Serving is the serving configuration of its base model, nil if there is none.
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

// owned is an engine that this box owns or has requests in flight on.
type owned struct {
	runner *Runner
	token  suture.ServiceToken
	// terms are those that the runner was started with.
	terms terms
	// epoch is that of the grant.
	epoch uint64
	// settled says that the previous owner has nothing in flight any more.
	settled bool
	// closed says that the engine's box is leaving.
	closed bool
}

// Set holds the runners of the engines that this box owns.
type Set struct {
	cfg   SetConfig
	mu    sync.Mutex
	owned map[string]*owned
	// draining holds former runners with requests in flight.
	draining []*owned
}

// NewSet returns an empty Set.
func NewSet(cfg SetConfig) *Set { return &Set{cfg: cfg, owned: map[string]*owned{}} }

// Get returns the runner of an owned engine.
func (s *Set) Get(name string) (*Runner, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.owned[name]
	if !ok {
		return nil, false
	}
	return o.runner, true
}

// Update starts and stops runners so that they match the grants, and stops those to be released.
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

// hold starts the runner of a granted engine, and settles it once its previous owner is done.
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

// isSettled reports whether adapters that an engine held when it was taken over may be unloaded. One that ends an adapter's runs
// before it unloads the adapter needs no word from the previous owner. Giving those runs time first was tried: 8 s without
// evictions after each takeover cost 0.09 to 0.14 of a site's score, 1.5 s and 3 s gained nothing.
func (s *Set) isSettled(g coordinator.Ownership, o *owned) bool {
	return o.terms.engine.FinishesFirst || (g.Previous == "" && !s.drains(g.Engine))
}

// redeclared reports whether what is declared for an engine has changed since its runner started.
func (s *Set) redeclared(name string, o *owned) bool {
	now, ok := s.cfg.Lookup(name)
	return ok && now.terms() != o.terms
}

// drains reports whether a former runner of this box has requests in flight on the engine.
func (s *Set) drains(engine string) bool {
	return slices.ContainsFunc(s.draining, func(o *owned) bool { return o.runner.cfg.Name == engine })
}

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
	klog.InfoS("engine owned", "engine", name, "epoch", g.Epoch, "previous", g.Previous)
	return o
}

func (s *Set) lose(name string, o *owned) {
	o.runner.Stop()
	klog.InfoS("engine given up", "engine", name, "epoch", o.epoch, "in_flight", o.runner.InFlight())
	delete(s.owned, name)
	s.draining = append(s.draining, o)
}

// sweep ends former runners that have nothing in flight any more.
func (s *Set) sweep() {
	s.draining = slices.DeleteFunc(s.draining, func(o *owned) bool {
		if o.runner.InFlight() > 0 || (!o.runner.Stopped() && !o.runner.ended()) {
			return false
		}
		// The supervisor no longer having it is as good as removed.
		_ = s.cfg.Supervisor.Remove(o.token)
		return true
	})
}

// Released returns the owned engines on which nothing more will start, and Draining those with requests in flight that are not owned.
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

// InFlight returns the started requests on all engines.
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

// Status returns what the owned engines show.
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
