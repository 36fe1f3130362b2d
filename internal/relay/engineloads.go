package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/choice"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/engineload"
	"github.com/bellgap/bellgap/internal/placement"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/resource"
)

// EngineLoads returns what the owners of engines report of their load.
type EngineLoads interface {
	// Get returns the newest report of an engine that started at started, and the time since the report was true.
	Get(now time.Time, engine string, started int64) (engineload.Report, time.Duration, bool)
}

// choosesByLoad reports whether the engine for an adapter version is chosen by reported loads if there are any. Requests without an
// adapter keep the order of their fingerprints, so that identical requests go to the same engine.
func (r *Relay) choosesByLoad(q *request, ref resource.Ref) bool {
	return r.cfg.Loads != nil && !ref.IsBase() && r.cfg.Policy.IsEnabled(policy.EngineLoads) && r.cfg.Catalog.Topology().IsScarce(q.service)
}

// rankByLoad returns the candidates to ask in the order of choice.Rank. It returns false if there is no usable report.
func (r *Relay) rankByLoad(q *request, ref resource.Ref, available []candidate, now time.Time) ([]candidate, bool) {
	engines, reports := make([]choice.Engine, len(available)), make([]engineload.Report, len(available))
	for i := range available {
		c, e := &available[i], &engines[i]
		*e = choice.Engine{Position: choice.MaxEngines, Holds: c.holdsVersion, SameZone: c.sameZone, FailedRecently: c.failedRecently}
		var ok bool
		if reports[i], e.Age, ok = r.cfg.Loads.Get(now, c.name, c.started); ok {
			e.Report = &reports[i]
		} else {
			e.Age = engineload.MaxAge
		}
		e.Sent = r.sends.since(c.name, c.started, now.Add(-e.Age))
	}
	for position, i := range placement.TopWeighted(ref.String(), r.weightedNames(q.service, available, now), choice.MaxEngines) {
		engines[i].Position = position
	}
	request := choice.Request{
		Prompt: q.head.Prompt, Output: q.head.expectedOutput(), Objective: time.Duration(q.route.Objective), Used: now.Sub(q.receivedAt),
		GapObjective: time.Duration(q.route.GapObjective),
	}
	choices, ok := choice.Rank(request, engines, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	ranked := make([]candidate, 0, len(choices))
	for _, x := range choices {
		c := available[x.Index]
		c.byReports, c.expectedStart, c.further = true, x.Start, x.Further
		ranked = append(ranked, c)
	}
	return ranked, ok
}

// weightedNames returns the names of candidates with their weights in the rendezvous order.
func (r *Relay) weightedNames(service string, available []candidate, now time.Time) []placement.Weighted {
	weights := speedWeights{usual: 1}
	if r.cfg.Policy.IsEnabled(policy.SpeedWeight) {
		weights = r.speeds.weights(now, service, r.cfg.Catalog.Topology().Endpoints[service], r.cfg.Loads)
	}
	names := make([]placement.Weighted, len(available))
	for i, c := range available {
		names[i] = placement.Weighted{Name: c.name, Weight: weights.of(c.name)}
	}
	return names
}

// countChoice counts a choice among scarce engines by what it was based on.
func (r *Relay) countChoice(byReports bool) {
	basis := "hash"
	if byReports {
		basis = "reports"
	}
	r.cfg.Scope.Tagged(map[string]string{"by": basis}).Counter("engine_choices").Inc(1)
}

// recordSend records that a request is sent to an engine whose owner was asked at askedAt. The report in the owner's answer includes the
// request already, and is newer.
func (r *Relay) recordSend(q *request, ref resource.Ref, c *candidate, askedAt time.Time) {
	if !r.choosesByLoad(q, ref) {
		return
	}
	r.sends.add(c.name, c.started, send{at: askedAt, tokens: q.head.Prompt, load: !c.holdsVersion})
	// Other requests for the version must find the engine before this one has been answered.
	r.holdings.add(ref, c.name, clock.Now())
}

const (
	// sendTTL is how long a request that was sent counts towards the load of its engine if no report tells more. Prompts are read within
	// this time.
	sendTTL = engineload.MaxAge
	// maxSends bounds the requests that are recorded for one engine. At 507 requests per second, one box sends about 25 in sendTTL to all
	// engines together.
	maxSends = 64
)

// sends holds the requests that this box sent to each engine within sendTTL.
type sends struct {
	mu       sync.Mutex
	byEngine map[string]*engineSends
}

// engineSends holds the requests that were sent to one incarnation of an engine.
type engineSends struct {
	started int64
	all     []send
}

type send struct {
	// at is when the owner was asked for the request.
	at     time.Time
	tokens int
	// load is set if the engine has to load an adapter for the request.
	load bool
}

func newSends() *sends { return &sends{byEngine: map[string]*engineSends{}} }

// add records a request. Requests to an earlier incarnation of the engine and expired ones are dropped.
func (s *sends) add(engine string, started int64, sent send) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.byEngine[engine]
	if e == nil || e.started != started {
		if len(s.byEngine) >= maxTrackedEndpoints {
			clear(s.byEngine)
		}
		e = &engineSends{started: started}
		s.byEngine[engine] = e
	}
	kept := e.all[:0]
	for _, old := range e.all {
		if sent.at.Sub(old.at) < sendTTL {
			kept = append(kept, old)
		}
	}
	if len(kept) >= maxSends {
		kept = append(kept[:0], kept[1:]...)
	}
	e.all = append(kept, sent)
}

// since returns what was sent to an incarnation of an engine after a time.
func (s *sends) since(engine string, started int64, after time.Time) choice.Sent {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum choice.Sent
	e := s.byEngine[engine]
	if e == nil || e.started != started {
		return sum
	}
	for _, sent := range e.all {
		if !sent.at.After(after) {
			continue
		}
		sum.Tokens += sent.tokens
		if sent.load {
			sum.Loads++
		}
	}
	return sum
}

// speedsInterval is how often the weights of engines are computed anew. Rates change over seconds.
const speedsInterval = 250 * time.Millisecond

// speeds holds the weights of the engines of each scarce service by the speed that their owners report.
type speeds struct {
	mu        sync.Mutex
	byService map[string]*serviceSpeeds
}

type serviceSpeeds struct {
	rounded    *placement.Weights
	computedAt time.Time
	current    speedWeights
}

// speedWeights are the weights of engines at one time. They are not changed.
type speedWeights struct {
	byName map[string]float64
	// usual is the weight of engines that have been discovered since.
	usual float64
}

func (w *speedWeights) of(name string) float64 {
	if weight, ok := w.byName[name]; ok {
		return weight
	}
	return w.usual
}

func newSpeeds() *speeds { return &speeds{byService: map[string]*serviceSpeeds{}} }

// weights returns the weights of the engines of a service.
func (s *speeds) weights(now time.Time, service string, endpoints []catalog.EndpointView, loads EngineLoads) speedWeights {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.byService[service]
	if v == nil {
		v = &serviceSpeeds{rounded: placement.NewWeights()}
		s.byService[service] = v
	}
	if now.Sub(v.computedAt) >= speedsInterval {
		v.compute(now, endpoints, loads)
	}
	return v.current
}

// compute computes the weights by the current reports. Engines without a report keep their last weight.
func (v *serviceSpeeds) compute(now time.Time, endpoints []catalog.EndpointView, loads EngineLoads) {
	rates := make(map[string]float64, len(endpoints))
	for _, e := range endpoints {
		rates[e.Name] = 0
		if report, _, ok := loads.Get(now, e.Name, e.Spec.Started); ok {
			rates[e.Name] = report.UndisturbedRate
		}
	}
	v.rounded.Update(rates)
	v.computedAt = now
	v.current = speedWeights{byName: make(map[string]float64, len(rates)), usual: v.rounded.Of("")}
	for name := range rates {
		v.current.byName[name] = v.rounded.Of(name)
	}
}
