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

// worker is one fake engine with its owner's state.
type worker struct {
	name    string
	model   int
	state   *owner.State
	running int
	// since is when running last changed.
	since    time.Time
	reported int
	// lastUse and uses serve the LRU and LFU baselines.
	lastUse map[resource.Ref]time.Time
	uses    map[resource.Ref]float64
}

// pending is a request under way.
type pending struct {
	request
	id     uint64
	left   []*worker
	urgent bool
}

// asker is who asked for a permit, and for what.
type asker struct {
	worker *worker
	ref    resource.Ref
}

// run is one scenario under one policy.
type run struct {
	scenario Scenario
	policy   Policy
	now      time.Time
	queue    events
	seq      int
	workers  []*worker
	byName   map[string]*worker
	byModel  [][]string
	permits  *loads.Queue
	asking   map[uint64]asker
	nextID   uint64
	// nextGrant is when the budget is looked at again.
	nextGrant time.Time
	loading   int
	slow      bool
	pending   map[uint64]*pending
	random    *rand.Rand
	next      func(resource.Ref, time.Duration) time.Duration
	out       Result
}

// Run runs a scenario under a policy and returns its figures; the same seed gives the same figures.
func Run(s Scenario, p Policy, seed uint64) Result {
	requests := s.requests(seed)
	r := &run{
		scenario: s, policy: p, now: epoch, byName: map[string]*worker{}, byModel: make([][]string, s.Models),
		asking: map[uint64]asker{}, pending: map[uint64]*pending{}, random: rand.New(rand.NewPCG(seed, 11)),
		out: Result{Scenario: s.Name, Policy: p.Name}, next: nextUse(requests),
	}
	r.permits = loads.NewQueue(epoch, func() loads.Budget { return r.budget() })
	r.addWorkers()
	for _, q := range requests {
		r.at(epoch.Add(q.at), func() { r.arrive(q) })
	}
	for t := time.Second; t < s.Length+s.NightWait; t += time.Second {
		r.at(epoch.Add(t), r.tick)
	}
	r.at(epoch.Add(s.Length/2), r.turn)
	for r.queue.Len() > 0 {
		ev, ok := heap.Pop(&r.queue).(event)
		if !ok {
			break
		}
		r.now = ev.at
		ev.do()
	}
	r.out.finish()
	return r.out
}

func (r *run) budget() loads.Budget {
	b := r.scenario.Budget
	if r.slow {
		const third = 3
		b.PerSecond /= third
	}
	return b
}

func (r *run) addWorkers() {
	s := r.scenario
	n, slots, batch := s.Engines, s.Slots, s.Batch
	if r.policy.Pooled {
		n, slots, batch = s.Models, s.Slots*s.Engines/s.Models, s.Batch*s.Engines/s.Models
	}
	for i := range n {
		w := &worker{
			name: fmt.Sprintf("engine-%03d", i), model: i % s.Models, since: epoch,
			lastUse: map[resource.Ref]time.Time{}, uses: map[resource.Ref]float64{},
		}
		w.state = owner.New(owner.Config{Slots: slots, Batch: batch, MaxQueue: 256, Worth: r.worth(w), Pack: s.Pack && r.policy.Route == RouteHome})
		r.workers = append(r.workers, w)
		r.byName[w.name] = w
		r.byModel[w.model] = append(r.byModel[w.model], w.name)
	}
	r.out.seats = float64(batch)
}

// worth returns the baseline's rating of an adapter, nil for the daemon's own.
func (r *run) worth(w *worker) func(resource.Ref, time.Time) float64 {
	switch r.policy.Evict {
	case EvictLRU:
		return func(ref resource.Ref, _ time.Time) float64 { return w.lastUse[ref].Sub(epoch).Seconds() }
	case EvictLFU:
		return func(ref resource.Ref, _ time.Time) float64 { return w.uses[ref] }
	case EvictClairvoyant:
		return func(ref resource.Ref, now time.Time) float64 { return -r.next(ref, now.Sub(epoch)).Seconds() }
	default:
		return nil
	}
}

func (r *run) at(t time.Time, do func()) {
	r.seq++
	heap.Push(&r.queue, event{t, r.seq, do})
}

func (r *run) arrive(q request) {
	r.nextID++
	p := &pending{request: q, id: r.nextID, urgent: q.urgent, left: r.route(q)}
	r.pending[p.id] = p
	r.out.arrived(q.urgent)
	r.offer(p)
}

// route returns the engines to try in turn.
func (r *run) route(q request) []*worker {
	names := r.byModel[q.model]
	switch r.policy.Route {
	case RouteRandom:
		return []*worker{r.byName[names[r.random.IntN(len(names))]]}
	case RouteLeastLoaded:
		return []*worker{r.leastLoaded(names)}
	case RouteHomeOnly:
		return r.named(placement.Top(q.ref.String(), names, 1))
	default:
		const candidates = 3
		return r.named(placement.Top(q.ref.String(), names, candidates))
	}
}

func (r *run) named(names []string) []*worker {
	var ws []*worker
	for _, n := range names {
		ws = append(ws, r.byName[n])
	}
	return ws
}

func (r *run) leastLoaded(names []string) *worker {
	best := r.byName[names[0]]
	ties := 0
	for _, n := range names {
		w := r.byName[n]
		switch {
		case w.reported < best.reported:
			best, ties = w, 1
		case w.reported == best.reported:
			if ties++; r.random.IntN(ties) == 0 {
				best = w
			}
		}
	}
	return best
}

// offer submits a request to the next engine on its list.
func (r *run) offer(p *pending) {
	w := p.left[0]
	p.left = p.left[1:]
	wait, urgency := r.scenario.Wait, 50
	if !p.urgent {
		wait, urgency = r.scenario.NightWait, 0
	}
	w.lastUse[p.ref] = r.now
	w.uses[p.ref]++
	arrived := epoch.Add(p.at)
	r.carryOut(w, w.state.Submit(r.now, owner.Ticket{
		ID: p.id, Ref: p.ref, Urgency: urgency, Arrived: arrived, StartBy: arrived.Add(wait), Last: len(p.left) == 0,
	}))
}

func (r *run) carryOut(w *worker, actions []owner.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case owner.Start:
			r.start(w, a)
		case owner.Refuse:
			r.refuse(a)
		case owner.RequestPermit:
			r.ask(w, a)
		case owner.Load:
			r.load(w, a)
		case owner.Unload:
			r.carryOut(w, w.state.FinishUnload(r.now, a.Ref, nil))
		case owner.ReturnPermit:
			r.permits.Refund()
			r.grant()
		}
	}
}

func (r *run) start(w *worker, a owner.Start) {
	p := r.pending[a.Ticket.ID]
	r.account(w)
	w.running++
	r.out.started(p, r.now.Sub(a.Ticket.Arrived), a.Stalled)
	r.at(r.now.Add(time.Duration(p.tokens)*r.scenario.Step), func() {
		r.account(w)
		w.running--
		delete(r.pending, p.id)
		r.carryOut(w, w.state.FinishTicket(r.now, p.id, owner.EndWhole))
	})
}

// account adds the time since the last change to the fill of the engine's steps.
func (r *run) account(w *worker) {
	if w.running > 0 {
		busy := r.now.Sub(w.since).Seconds()
		r.out.busy += busy
		r.out.filled += busy * float64(w.running)
	}
	w.since = r.now
}

func (r *run) refuse(a owner.Refuse) {
	p := r.pending[a.Ticket.ID]
	if len(p.left) > 0 && a.Err.Code != result.DeadlineUnmet {
		r.out.Hops++
		r.offer(p)
		return
	}
	delete(r.pending, p.id)
	r.out.refused(p, r.now.Sub(a.Ticket.Arrived))
}

func (r *run) ask(w *worker, a owner.RequestPermit) {
	if r.policy.Uncoordinated {
		r.at(r.now, func() { r.carryOut(w, w.state.PermitGranted(r.now, a.Ref)) })
		return
	}
	r.nextID++
	r.asking[r.nextID] = asker{w, a.Ref}
	r.permits.Add(loads.QueuedRequest{ID: r.nextID, Request: loads.Request{Engine: w.name, Urgency: a.Urgency, StartBy: a.StartBy, Waiters: a.Waiters}, Since: r.now})
	r.grant()
}

// grant hands out what the budget allows now and looks again when it allows more.
func (r *run) grant() {
	for {
		n, ok := r.permits.Next(r.now)
		if !ok {
			break
		}
		who := r.asking[n.ID]
		delete(r.asking, n.ID)
		r.at(r.now, func() { r.carryOut(who.worker, who.worker.state.PermitGranted(r.now, who.ref)) })
	}
	d, ok := r.permits.TimeToNext(r.now)
	if !ok || d <= 0 || (r.nextGrant.After(r.now) && !r.nextGrant.After(r.now.Add(d))) {
		return
	}
	r.nextGrant = r.now.Add(d)
	r.at(r.nextGrant, r.grant)
}

// load takes the store's time; above the budget all loads slow down.
func (r *run) load(w *worker, a owner.Load) {
	r.loading++
	r.out.Loads++
	took := r.scenario.LoadTime
	if r.policy.Uncoordinated {
		took = max(took, time.Duration(float64(r.loading)/r.budget().PerSecond*float64(time.Second)))
	}
	r.at(r.now.Add(took), func() {
		r.loading--
		r.permits.Release()
		r.carryOut(w, w.state.FinishLoad(r.now, a.Ref, nil))
		r.grant()
	})
}

func (r *run) tick() {
	for _, w := range r.workers {
		w.reported = w.running + w.state.Waiting()
		r.carryOut(w, w.state.Tick(r.now))
	}
}

// turn carries out what happens half-way.
func (r *run) turn() {
	switch r.scenario.Turn {
	case TurnSlowStore:
		r.slow = true
	case TurnRestart:
		const third = 3
		for _, w := range slices.Clone(r.workers)[:max(1, len(r.workers)/third)] {
			r.carryOut(w, w.state.ResetAfterRestart(r.now))
		}
	default:
	}
}
