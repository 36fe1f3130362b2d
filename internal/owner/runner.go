package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/loads"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// Timings and bounds of a Runner.
const (
	eventRing     = 1024
	tickEvery     = 50 * time.Millisecond
	reportEvery   = time.Second
	orderAttempts = 3
	orderPause    = 100 * time.Millisecond
	spareOrders   = 8
)

// Authority says whether this box may give orders now, and under which epoch.
type Authority func(now time.Time) (epoch uint64, ok bool)

// Engines gives engines orders and asks for their reports. It is an interface at the network boundary.
type Engines interface {
	// Give returns once the order is carried out. An *engine.OrderRefusedError says that it was not.
	Give(ctx context.Context, to engine.Target, o engine.Order) error
	Report(ctx context.Context, from engine.Target) (engine.Report, error)
}

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	// Name and Engine describe the engine that is owned.
	Name   string
	Engine resource.Engine
	// MaxQueue bounds the waiting requests.
	MaxQueue int
	// Pack lets work of no urgency start only beside urgent work.
	Pack   bool
	Client Engines
	// Loads gives permits for adapters, BaseLoads for base models.
	Loads     loads.Source
	BaseLoads loads.Source
	// PrefillRate is how many prompt tokens the engine reads in a second.
	PrefillRate float64
	Policy      policy.Policy
	// Authority is asked right before each order.
	Authority Authority
	// Rate is what this box knows of the engine's rate, nil if that is nothing.
	Rate *ratelimit.Word
	// Left says that the engine has said it leaves.
	Left bool
	// Notices hears what the engine says of itself with its reports; nil where its owner alone has to know.
	Notices *notice.Board
	Scope   tally.Scope
}

// Runner carries out the decisions of one State. Its loop is the only user of the State.
type Runner struct {
	cfg    RunnerConfig
	events chan event
	done   chan struct{}
	nextID atomic.Uint64
	// inFlight and stopped are shown after each event, for handing over; ordering counts orders under way.
	inFlight atomic.Int64
	stopped  atomic.Bool
	ordering atomic.Int64
	// rate is what the engine names, hasLeft whether it has said that it leaves, as of the last event.
	rate    atomic.Pointer[ratelimit.Word]
	hasLeft atomic.Bool

	// The fields below belong to the loop.
	state       *State
	replies     map[uint64]chan verdict
	permits     []loads.Permit
	incarnation string
	foreign     bool
	reconciler  *reconciler
	orders      *errgroup.Group
	// baseMissing says that the engine lacks its base model, leaving that its box is leaving, left that it has said in this life that it leaves
	// itself, gone that it has refused an order as not there and no report has come since; each closes the state.
	baseMissing bool
	// baseLoading says that the base model is being loaded, demand counts the requests for it.
	baseLoading bool
	demand      baseDemand
	leaving     bool
	left        bool
	gone        bool

	mu     sync.Mutex
	status Status
}

// Status is what a Runner shows of itself.
type Status struct {
	Engine   string   `json:"engine"`
	InFlight int      `json:"in_flight"`
	Waiting  int      `json:"waiting"`
	Loaded   []string `json:"loaded"`
	// Frozen says that orders are withheld for want of authority.
	Frozen bool `json:"frozen,omitempty"`
	// Left says that the engine has said it leaves.
	Left bool `json:"left,omitempty"`
	// RateRefused is how many requests were kept from the engine for the rate that it names, since it names one.
	RateRefused int `json:"rate_refused,omitempty"`
}

// NewRunner returns a Runner; its Serve has to run.
func NewRunner(cfg RunnerConfig) *Runner {
	r := &Runner{
		cfg: cfg, events: make(chan event, eventRing), done: make(chan struct{}),
		state: New(Config{
			Slots: cfg.Engine.Slots, Batch: cfg.Engine.Batch, MaxQueue: cfg.MaxQueue, Pack: cfg.Pack, KVTokens: cfg.Engine.KVTokens,
			PrefillRate: cfg.PrefillRate, FinishesFirst: cfg.Engine.FinishesFirst, AwaitReport: cfg.Engine.FinishesFirst, Policy: cfg.Policy,
		}),
		replies: map[uint64]chan verdict{}, foreign: true, reconciler: newReconciler(), orders: &errgroup.Group{},
		status: Status{Engine: cfg.Name}, left: cfg.Left,
	}
	if r.left {
		// Nothing waits yet, so that there is nothing to do.
		_ = r.close(clock.Now())
	}
	r.state.rate.Born(cfg.Engine.Started)
	r.state.HearRate(clock.Now(), cfg.Rate)
	return r
}

// Name returns the engine's name.
func (r *Runner) Name() string { return r.cfg.Name }

// Done is closed when Serve has ended.
func (r *Runner) Done() <-chan struct{} { return r.done }

// Status returns what the loop last showed.
func (r *Runner) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// InFlight returns how many started requests have not ended.
func (r *Runner) InFlight() int { return int(r.inFlight.Load()) }

// Stopped reports whether nothing more will start and no order is under way.
func (r *Runner) Stopped() bool { return r.stopped.Load() && r.ordering.Load() == 0 }

// Settle says that the previous owner has nothing in flight any more.
func (r *Runner) Settle() { r.post(settled{}) }

// Stop refuses all that waits; what has started goes on.
func (r *Runner) Stop() { r.post(stopping{}) }

// post hands an event to the loop unless it has ended.
func (r *Runner) post(e event) {
	select {
	case r.events <- e:
	case <-r.done:
		abandon(e)
	}
}

// HearRate takes in what the engine, or another box, said of its rate.
func (r *Runner) HearRate(w ratelimit.Word) { r.post(rateHeard{w}) }

// Rate returns what the engine names, nil if it names none.
func (r *Runner) Rate() *ratelimit.Word { return r.rate.Load() }

// HearLeft takes in that the engine has said it leaves: it gets no more orders and requests until it starts again.
func (r *Runner) HearLeft() { r.post(leftHeard{}) }

// Left reports whether the engine has said that it leaves.
func (r *Runner) Left() bool { return r.hasLeft.Load() }

// Close sends what waits to other engines while the engine's box is leaving.
func (r *Runner) Close(closed bool) { r.post(closing{closed}) }

// Request is what a caller of Acquire wants.
type Request struct {
	Ref     resource.Ref
	Weights string
	Urgency int
	StartBy time.Time
	// Last says that no other engine will be tried after this one.
	Last bool
	// Prompt, Output, Parts, Accept and Near are as in Ticket.
	Prompt int
	Output int
	Parts  []Part
	Accept time.Duration
	Near   bool
	// Pressed counts for engines without their base model, or that name a rate, only.
	Pressed bool
	// Customer and Rate are as in Ticket.
	Customer string
	Rate     *ratelimit.Word
}

// Grant lets one request run on the engine until it is released.
type Grant struct {
	// Engine and Name tell where it runs.
	Engine resource.Engine
	Name   string
	// Stalled is how long it waited for its adapter.
	Stalled time.Duration
	id      uint64
	runner  *Runner
}

// Read says that the first token of the answer has come.
func (g *Grant) Read() { g.runner.post(promptRead{g.id}) }

// HearRate takes in what the engine's answer says of its rate.
func (g *Grant) HearRate(w ratelimit.Word) { g.runner.HearRate(w) }

// HearLeft takes in that the engine's answer says it leaves.
func (g *Grant) HearLeft() { g.runner.HearLeft() }

// Left reports whether the engine has said meanwhile that it leaves.
func (g *Grant) Left() bool { return g.runner.Left() }

// Release ends the request. Call it once.
func (g *Grant) Release(end End) { g.runner.post(ended{g.id, end}) }

// Acquire waits until the request may start. The error is a *result.Error that says it did not run.
func (r *Runner) Acquire(ctx context.Context, q Request) (*Grant, error) {
	id := r.nextID.Add(1)
	reply := make(chan verdict, 1)
	t := Ticket{
		ID: id, Ref: q.Ref, Weights: q.Weights, Urgency: q.Urgency, Arrived: clock.Now(), StartBy: q.StartBy, Last: q.Last, Prompt: q.Prompt, Output: q.Output, Parts: q.Parts, Accept: q.Accept, Near: q.Near, Pressed: q.Pressed,
		Customer: q.Customer, Rate: q.Rate,
	}
	select {
	case r.events <- submitted{t, reply}:
	case <-r.done:
		return nil, result.New(result.NotOwner, "the engine is no longer owned here")
	default:
		return nil, result.New(result.QueueFull, "the event ring is full")
	}
	select {
	case v := <-reply:
		if v.err != nil {
			return nil, v.err
		}
		return &Grant{Engine: r.cfg.Engine, Name: r.cfg.Name, Stalled: v.stalled, id: id, runner: r}, nil
	case <-r.done:
		return nil, result.New(result.NotOwner, "the engine is no longer owned here")
	case <-ctx.Done():
		r.post(canceled{id})
		return nil, result.New(result.CallerGone, "%v", context.Cause(ctx))
	}
}

// ended reports whether the loop has ended.
func (r *Runner) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// Serve runs the loop until ctx ends. A Runner that has ended is not restarted: its Set starts a new one.
func (r *Runner) Serve(ctx context.Context) error {
	if r.ended() {
		return suture.ErrDoNotRestart
	}
	end := sync.OnceFunc(func() { close(r.done) })
	defer end()
	orders, ctx := errgroup.WithContext(ctx)
	// Each slot has at most one order under way; with the permits and the poll none ever waits for another.
	orders.SetLimit(2*r.cfg.Engine.Slots + 2*maxAsked + spareOrders)
	r.orders = orders
	orders.Go(func() error { return r.poll(ctx) })
	err := r.loop(ctx)
	end()
	// Orders end with ctx and return no errors.
	_ = orders.Wait()
	for {
		select {
		case e := <-r.events:
			abandon(e)
		default:
			return err
		}
	}
}

// abandon gives back what an unread event holds.
func abandon(e event) {
	if given, ok := e.(permitGiven); ok {
		given.permit(false)
	}
}

func (r *Runner) loop(ctx context.Context) error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case e := <-r.events:
			now := clock.Now()
			actions := r.take(now, e)
			r.inFlight.Store(int64(r.state.InFlight()))
			r.rate.Store(r.state.Rate(now))
			r.hasLeft.Store(r.left)
			r.carryOut(ctx, actions)
		case <-tick.C:
			r.carryOut(ctx, r.state.Tick(clock.Now()))
			r.show()
		case <-ctx.Done():
			for _, p := range r.permits {
				p(false)
			}
			return ctx.Err()
		}
	}
}

func (r *Runner) take(now time.Time, e event) []Action {
	switch e := e.(type) {
	case submitted:
		if r.left {
			// Said for itself: what waits for another owner or engine would look for as long here in vain.
			e.reply <- verdict{err: result.New(result.EndpointLeaving, "%s", r.cfg.Name)}
			return nil
		}
		e.ticket.Lone = r.lone(now)
		r.replies[e.ticket.ID] = e.reply
		return append(r.wanted(now, e.ticket), r.state.Submit(now, e.ticket)...)
	case canceled:
		delete(r.replies, e.id)
		return r.state.Cancel(now, e.id)
	case ended:
		out := r.state.Done(now, e.id, e.end)
		if e.end == EndNotListening {
			out = append(out, r.goneNow(now, "a request found nothing listening there")...)
		}
		return out
	case rateHeard:
		r.state.HearRate(now, &e.word)
		return nil
	case promptRead:
		r.state.Read(now, e.id)
		return nil
	case permitGiven:
		r.permits = append(r.permits, e.permit)
		return r.state.Granted(now, e.ref)
	case permitDenied:
		return r.state.Denied(now, e.ref)
	case loadEnded:
		r.ordering.Add(-1)
		return append(r.state.Loaded(now, e.ref, e.err), r.noteGone(now, e.err)...)
	case unloadEnded:
		r.ordering.Add(-1)
		return append(r.state.Unloaded(now, e.ref, e.err), r.noteGone(now, e.err)...)
	case reported:
		return r.report(now, e.report)
	case notListening:
		return r.goneNow(now, "nothing listens there")
	case settled:
		r.foreign = false
		return r.state.Settle(now)
	case stopping:
		defer r.stopped.Store(true)
		return r.state.Stop(now)
	case closing:
		r.leaving = e.closed
		return r.close(now)
	case leftHeard:
		r.left = true
		return r.close(now)
	case baseLoadEnded:
		r.ordering.Add(-1)
		r.baseLoading = false
		if r.baseMissing = e.err != nil; r.baseMissing {
			// The next report starts it over.
			r.incarnation = ""
		}
		return r.close(now)
	default:
		return nil
	}
}

// lone reports whether another box may count the requests of an engine that names a rate, too.
func (r *Runner) lone(now time.Time) bool {
	if !r.state.rate.Limited() {
		return false
	}
	_, authorized := r.cfg.Authority(now)
	return !authorized
}

func (r *Runner) carryOut(ctx context.Context, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Start:
			r.answer(a.Ticket.ID, verdict{stalled: a.Stalled})
		case Refuse:
			r.answer(a.Ticket.ID, verdict{err: a.Err})
		case AskPermit:
			r.orders.Go(func() error { r.askPermit(ctx, a); return nil })
		case Load:
			permit := r.popPermit()
			r.ordering.Add(1)
			r.orders.Go(func() error { r.load(ctx, a, permit); return nil })
		case LoadBase:
			r.ordering.Add(1)
			r.orders.Go(func() error { r.loadBase(ctx); return nil })
		case Unload:
			r.ordering.Add(1)
			r.orders.Go(func() error { r.unload(ctx, a); return nil })
		case ReturnPermit:
			// Giving back may call another box, which the loop does not wait for.
			permit := r.popPermit()
			r.orders.Go(func() error { permit(false); return nil })
		}
	}
}

func (r *Runner) answer(id uint64, v verdict) {
	if reply, ok := r.replies[id]; ok {
		delete(r.replies, id)
		reply <- v
	}
}

func (r *Runner) popPermit() loads.Permit {
	last := len(r.permits) - 1
	if last < 0 {
		return func(bool) {}
	}
	p := r.permits[last]
	r.permits = r.permits[:last]
	return p
}

func (r *Runner) show() {
	_, ok := r.cfg.Authority(clock.Now())
	st := Status{Engine: r.cfg.Name, InFlight: r.state.InFlight(), Waiting: r.state.Waiting(), Loaded: r.state.LoadedNames(), Frozen: !ok, Left: r.left, RateRefused: r.state.rate.Refused()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = st
}
