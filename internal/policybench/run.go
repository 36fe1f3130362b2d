package policybench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bellgap/bellgap/internal/loads"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/placement"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// worker simulates an engine together with the state of its owner.
type worker struct {
	name            string
	modelIndex      int
	state           *owner.State
	runningRequests int
	// runningSince is the time at which runningRequests last changed.
	runningSince time.Time
	// reportedRequests is the number of running and waiting requests at the last tick.
	reportedRequests int
	// lastUse is used by the LRU baseline, useCounts by the LFU baseline.
	lastUse   map[resource.Ref]time.Time
	useCounts map[resource.Ref]float64
}

// pendingRequest is a request that is neither complete nor finally refused.
type pendingRequest struct {
	request
	id               uint64
	remainingWorkers []*worker
	urgent           bool
}

// permitRequest is a worker's request for a permit to load an adapter.
type permitRequest struct {
	worker *worker
	ref    resource.Ref
}

// simulation is the state of one run of a scenario under a policy.
type simulation struct {
	scenario Scenario
	policy   Policy
	now      time.Time
	events   eventQueue
	// lastEventOrder is the order of the event that was scheduled last.
	lastEventOrder     int
	workers            []*worker
	workerByName       map[string]*worker
	workerNamesByModel [][]string
	permitQueue        *loads.Queue
	permitRequests     map[uint64]permitRequest
	nextID             uint64
	// nextGrantCheck is the time at which the budget is checked again for permits to grant.
	nextGrantCheck  time.Time
	activeLoads     int
	storeSlow       bool
	pendingRequests map[uint64]*pendingRequest
	random          *rand.Rand
	nextUseOf       func(resource.Ref, time.Duration) time.Duration
	measurements    Result
}

// Run runs a scenario under a policy and returns the measurements. Runs with the same seed give the same measurements.
func Run(s Scenario, p Policy, seed uint64) Result {
	requests := s.drawRequests(seed)
	sim := &simulation{
		scenario: s, policy: p, now: virtualStart, workerByName: map[string]*worker{}, workerNamesByModel: make([][]string, s.Models),
		permitRequests: map[uint64]permitRequest{}, pendingRequests: map[uint64]*pendingRequest{}, random: rand.New(rand.NewPCG(seed, 11)),
		measurements: Result{Scenario: s.Name, Policy: p.Name}, nextUseOf: indexNextUses(requests),
	}
	sim.permitQueue = loads.NewQueue(virtualStart, func() loads.Budget { return sim.loadBudget() })
	sim.addWorkers()
	for _, req := range requests {
		sim.schedule(virtualStart.Add(req.arrivalOffset), func() { sim.handleArrival(req) })
	}
	for t := time.Second; t < s.Length+s.NonUrgentWait; t += time.Second {
		sim.schedule(virtualStart.Add(t), sim.tick)
	}
	sim.schedule(virtualStart.Add(s.Length/2), sim.applyDisturbance)
	for sim.events.Len() > 0 {
		ev, ok := heap.Pop(&sim.events).(event)
		if !ok {
			break
		}
		sim.now = ev.at
		ev.action()
	}
	sim.measurements.computeStatistics()
	return sim.measurements
}

func (sim *simulation) loadBudget() loads.Budget {
	b := sim.scenario.Budget
	if sim.storeSlow {
		const third = 3
		b.PerSecond /= third
	}
	return b
}

func (sim *simulation) addWorkers() {
	s := sim.scenario
	workerCount, slots, batch := s.Engines, s.Slots, s.Batch
	if sim.policy.Pooled {
		workerCount, slots, batch = s.Models, s.Slots*s.Engines/s.Models, s.Batch*s.Engines/s.Models
	}
	for i := range workerCount {
		w := &worker{
			name: fmt.Sprintf("engine-%03d", i), modelIndex: i % s.Models, runningSince: virtualStart,
			lastUse: map[resource.Ref]time.Time{}, useCounts: map[resource.Ref]float64{},
		}
		w.state = owner.New(owner.Config{
			Slots: slots, Batch: batch, MaxQueue: 256, Worth: sim.evictionRating(w),
			Pack: s.Pack && sim.policy.Routing == RouteCandidates,
		})
		sim.workers = append(sim.workers, w)
		sim.workerByName[w.name] = w
		sim.workerNamesByModel[w.modelIndex] = append(sim.workerNamesByModel[w.modelIndex], w.name)
	}
	sim.measurements.batchSize = float64(batch)
}

// evictionRating returns the function by which the policy rates adapters: the adapter with the lowest rating is unloaded first.
// It returns nil if the daemon's own rating applies.
func (sim *simulation) evictionRating(w *worker) func(resource.Ref, time.Time) float64 {
	switch sim.policy.Eviction {
	case EvictLRU:
		return func(ref resource.Ref, _ time.Time) float64 { return w.lastUse[ref].Sub(virtualStart).Seconds() }
	case EvictLFU:
		return func(ref resource.Ref, _ time.Time) float64 { return w.useCounts[ref] }
	case EvictFarthestNextUse:
		return func(ref resource.Ref, now time.Time) float64 {
			return -sim.nextUseOf(ref, now.Sub(virtualStart)).Seconds()
		}
	default:
		return nil
	}
}

func (sim *simulation) schedule(t time.Time, action func()) {
	sim.lastEventOrder++
	heap.Push(&sim.events, event{t, sim.lastEventOrder, action})
}

func (sim *simulation) handleArrival(req request) {
	sim.nextID++
	p := &pendingRequest{request: req, id: sim.nextID, urgent: req.urgent, remainingWorkers: sim.selectWorkers(req)}
	sim.pendingRequests[p.id] = p
	sim.measurements.recordArrival(req.urgent)
	sim.submit(p)
}

// selectWorkers returns the engines to try for a request, in this order.
func (sim *simulation) selectWorkers(req request) []*worker {
	names := sim.workerNamesByModel[req.modelIndex]
	switch sim.policy.Routing {
	case RouteRandom:
		return []*worker{sim.workerByName[names[sim.random.IntN(len(names))]]}
	case RouteLeastLoaded:
		return []*worker{sim.leastLoaded(names)}
	case RouteFirstCandidate:
		return sim.findWorkers(placement.Top(req.ref.String(), names, 1))
	default:
		const candidates = 3
		return sim.findWorkers(placement.Top(req.ref.String(), names, candidates))
	}
}

func (sim *simulation) findWorkers(names []string) []*worker {
	var found []*worker
	for _, n := range names {
		found = append(found, sim.workerByName[n])
	}
	return found
}

// leastLoaded returns the engine with the fewest reported requests, or a random one of several with equally few.
func (sim *simulation) leastLoaded(names []string) *worker {
	best := sim.workerByName[names[0]]
	ties := 0
	for _, n := range names {
		w := sim.workerByName[n]
		switch {
		case w.reportedRequests < best.reportedRequests:
			best, ties = w, 1
		case w.reportedRequests == best.reportedRequests:
			if ties++; sim.random.IntN(ties) == 0 {
				best = w
			}
		}
	}
	return best
}

// submit submits a request to the next of its remaining engines.
func (sim *simulation) submit(p *pendingRequest) {
	w := p.remainingWorkers[0]
	p.remainingWorkers = p.remainingWorkers[1:]
	wait, urgency := sim.scenario.UrgentWait, 50
	if !p.urgent {
		wait, urgency = sim.scenario.NonUrgentWait, 0
	}
	w.lastUse[p.ref] = sim.now
	w.useCounts[p.ref]++
	arrived := virtualStart.Add(p.arrivalOffset)
	sim.execute(w, w.state.Submit(sim.now, owner.Ticket{
		ID: p.id, Ref: p.ref, Urgency: urgency, Arrived: arrived, StartBy: arrived.Add(wait), Last: len(p.remainingWorkers) == 0,
	}))
}

// execute executes the actions that the owner of an engine decided on.
func (sim *simulation) execute(w *worker, actions []owner.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case owner.Start:
			sim.startRequest(w, a)
		case owner.Refuse:
			sim.handleRefusal(a)
		case owner.RequestPermit:
			sim.requestPermit(w, a)
		case owner.Load:
			sim.startLoad(w, a)
		case owner.Unload:
			sim.execute(w, w.state.FinishUnload(sim.now, a.Ref, nil))
		case owner.ReturnPermit:
			sim.permitQueue.Refund()
			sim.grantPermits()
		}
	}
}

func (sim *simulation) startRequest(w *worker, a owner.Start) {
	p := sim.pendingRequests[a.Ticket.ID]
	sim.recordStepFill(w)
	w.runningRequests++
	sim.measurements.recordStart(p, sim.now.Sub(a.Ticket.Arrived), a.Stalled)
	sim.schedule(sim.now.Add(time.Duration(p.tokens)*sim.scenario.Step), func() {
		sim.recordStepFill(w)
		w.runningRequests--
		delete(sim.pendingRequests, p.id)
		sim.execute(w, w.state.FinishTicket(sim.now, p.id, owner.EndWhole))
	})
}

// recordStepFill adds the time since the last change of the engine's running requests to the statistics of step fill.
func (sim *simulation) recordStepFill(w *worker) {
	if w.runningRequests > 0 {
		busy := sim.now.Sub(w.runningSince).Seconds()
		sim.measurements.busySeconds += busy
		sim.measurements.sequenceSeconds += busy * float64(w.runningRequests)
	}
	w.runningSince = sim.now
}

// handleRefusal submits a refused request to its next engine. The refusal is final if there is none or the deadline cannot be
// met.
func (sim *simulation) handleRefusal(a owner.Refuse) {
	p := sim.pendingRequests[a.Ticket.ID]
	if len(p.remainingWorkers) > 0 && a.Err.Code != result.DeadlineUnmet {
		sim.measurements.ExtraTries++
		sim.submit(p)
		return
	}
	delete(sim.pendingRequests, p.id)
	sim.measurements.recordRefusal(p, sim.now.Sub(a.Ticket.Arrived))
}

func (sim *simulation) requestPermit(w *worker, a owner.RequestPermit) {
	if sim.policy.Uncoordinated {
		sim.schedule(sim.now, func() { sim.execute(w, w.state.PermitGranted(sim.now, a.Ref)) })
		return
	}
	sim.nextID++
	sim.permitRequests[sim.nextID] = permitRequest{w, a.Ref}
	sim.permitQueue.Add(loads.QueuedRequest{
		ID:      sim.nextID,
		Request: loads.Request{Engine: w.name, Urgency: a.Urgency, StartBy: a.StartBy, Waiters: a.Waiters},
		Since:   sim.now,
	})
	sim.grantPermits()
}

// grantPermits grants the permits that the budget allows now, and schedules the next check for when it allows more.
func (sim *simulation) grantPermits() {
	for {
		next, ok := sim.permitQueue.Next(sim.now)
		if !ok {
			break
		}
		permit := sim.permitRequests[next.ID]
		delete(sim.permitRequests, next.ID)
		sim.schedule(sim.now, func() { sim.execute(permit.worker, permit.worker.state.PermitGranted(sim.now, permit.ref)) })
	}
	wait, ok := sim.permitQueue.TimeToNext(sim.now)
	if !ok || wait <= 0 || (sim.nextGrantCheck.After(sim.now) && !sim.nextGrantCheck.After(sim.now.Add(wait))) {
		return
	}
	sim.nextGrantCheck = sim.now.Add(wait)
	sim.schedule(sim.nextGrantCheck, sim.grantPermits)
}

// startLoad simulates a load from the store. An uncoordinated load takes longer if the active loads exceed the budget.
func (sim *simulation) startLoad(w *worker, a owner.Load) {
	sim.activeLoads++
	sim.measurements.Loads++
	duration := sim.scenario.LoadTime
	if sim.policy.Uncoordinated {
		duration = max(duration, time.Duration(float64(sim.activeLoads)/sim.loadBudget().PerSecond*float64(time.Second)))
	}
	sim.schedule(sim.now.Add(duration), func() {
		sim.activeLoads--
		sim.permitQueue.Release()
		sim.execute(w, w.state.FinishLoad(sim.now, a.Ref, nil))
		sim.grantPermits()
	})
}

// tick updates the reported requests and lets each owner make its periodic decisions.
func (sim *simulation) tick() {
	for _, w := range sim.workers {
		w.reportedRequests = w.runningRequests + w.state.Waiting()
		sim.execute(w, w.state.Tick(sim.now))
	}
}

// applyDisturbance applies the disturbance of the scenario, half-way through it, to the store or the engines. drawRequests
// applies disturbances of the load.
func (sim *simulation) applyDisturbance() {
	switch sim.scenario.Disturbance {
	case DisturbanceSlowStore:
		sim.storeSlow = true
	case DisturbanceEngineRestart:
		const third = 3
		for _, w := range slices.Clone(sim.workers)[:max(1, len(sim.workers)/third)] {
			sim.execute(w, w.state.ResetAfterRestart(sim.now))
		}
	default:
	}
}
