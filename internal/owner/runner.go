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

// Authority reports whether this box may send orders now, and under which epoch.
type Authority func(now time.Time) (epoch uint64, ok bool)

// Engines sends orders to engines and fetches their reports over the network.
type Engines interface {
	// Give sends an order and returns once the engine has carried it out. It returns an *engine.OrderRefusedError if the engine refuses.
	Give(ctx context.Context, to engine.Target, o engine.Order) error
	// Report fetches the current report of an engine.
	Report(ctx context.Context, from engine.Target) (engine.Report, error)
}

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	// Name and Engine describe the engine that is owned.
	Name   string
	Engine resource.Engine
	// MaxQueue is the maximum number of waiting requests.
	MaxQueue int
	// Pack delays requests of urgency 0 until urgent requests run.
	Pack   bool
	Client Engines
	// Loads grants permits for adapter loads.
	Loads loads.Source
	// BaseLoads grants permits for base model loads.
	BaseLoads loads.Source
	// PrefillRate is the initial estimate of the engine's prefill rate in tokens per second.
	PrefillRate float64
	Policy      policy.Policy
	// Authority is called right before each order.
	Authority Authority
	// Rate is the engine's last known rate limit, or nil if none is known.
	Rate *ratelimit.Word
	// Left is true if the engine has announced that it is leaving.
	Left bool
	// Notices receives the notices in the engine's reports. It is nil if only the owner needs them.
	Notices *notice.Board
	Scope   tally.Scope
}

// Runner carries out the decisions of one State. Its loop is the only user of the State.
type Runner struct {
	cfg    RunnerConfig
	events chan event
	done   chan struct{}
	nextID atomic.Uint64
	// inFlight is the number of running requests after the last event. It is needed for the handover of the engine, as are stopped
	// and ordering.
	inFlight atomic.Int64
	// stopped is true once the loop has handled Stop.
	stopped atomic.Bool
	// ordering is the number of orders in flight.
	ordering atomic.Int64
	// rate is the engine's rate limit after the last event.
	rate atomic.Pointer[ratelimit.Word]
	// hasLeft is the value of left after the last event.
	hasLeft atomic.Bool

	// Only the loop may access the fields from here to gone.
	state       *State
	replies     map[uint64]chan verdict
	permits     []loads.Permit
	incarnation string
	foreign     bool
	reconciler  *reconciler
	orders      *errgroup.Group
	// Each of baseMissing, leaving, left and gone closes the state.

	// baseMissing is true if the engine has not loaded its base model.
	baseMissing bool
	// baseLoading is true while the base model is being loaded.
	baseLoading bool
	// demand counts the requests that the missing base model could have served.
	demand baseDemand
	// leaving is true if the engine's box is leaving.
	leaving bool
	// left is true if the engine has announced since its last start that it is leaving.
	left bool
	// gone is true if the engine was not found and has sent no report since.
	gone bool

	// mu guards status.
	mu     sync.Mutex
	status Status
}

// Status describes a Runner for operators.
type Status struct {
	Engine   string   `json:"engine"`
	InFlight int      `json:"in_flight"`
	Waiting  int      `json:"waiting"`
	Loaded   []string `json:"loaded"`
	// Frozen is true while this box has no authority to send orders to the engine.
	Frozen bool `json:"frozen,omitempty"`
	// Left is true if the engine has announced that it is leaving.
	Left bool `json:"left,omitempty"`
	// RateRefused is the number of requests refused because of the engine's rate limit, since the engine set one.
	RateRefused int `json:"rate_refused,omitempty"`
}

// NewRunner returns a Runner, which handles requests while Serve runs.
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
		// No tickets wait yet, so there are no actions to carry out.
		_ = r.close(clock.Now())
	}
	r.state.rate.Born(cfg.Engine.Started)
	r.state.HearRate(clock.Now(), cfg.Rate)
	return r
}

// Name returns the engine's name.
func (r *Runner) Name() string { return r.cfg.Name }

// Done returns a channel that is closed when Serve has ended.
func (r *Runner) Done() <-chan struct{} { return r.done }

// Status returns the status that the loop published last.
func (r *Runner) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// InFlight returns the number of running requests.
func (r *Runner) InFlight() int { return int(r.inFlight.Load()) }

// Stopped reports whether Stop has taken effect and no order is in flight.
func (r *Runner) Stopped() bool { return r.stopped.Load() && r.ordering.Load() == 0 }

// Settle allows the unloading of adapters taken over from the previous owner, which has no requests in flight anymore.
func (r *Runner) Settle() { r.post(settled{}) }

// Stop refuses the waiting requests and all further requests. Running requests continue.
func (r *Runner) Stop() { r.post(stopping{}) }

// post sends an event to the loop. If the loop has ended, it releases the event instead.
func (r *Runner) post(e event) {
	select {
	case r.events <- e:
	case <-r.done:
		abandon(e)
	}
}

// HearRate updates the engine's rate limit, as received from the engine or from another box.
func (r *Runner) HearRate(w ratelimit.Word) { r.post(rateHeard{w}) }

// Rate returns the engine's rate limit, or nil if it has none.
func (r *Runner) Rate() *ratelimit.Word { return r.rate.Load() }

// HearLeft records that the engine has announced that it is leaving. It gets no new requests or orders until it
// restarts.
func (r *Runner) HearLeft() { r.post(leftHeard{}) }

// Left reports whether the engine has announced that it is leaving.
func (r *Runner) Left() bool { return r.hasLeft.Load() }

// Close sets whether the engine's box is leaving. While it is, waiting and new requests are refused so that they go to other engines.
func (r *Runner) Close(closed bool) { r.post(closing{closed}) }

// Request describes a request for Acquire.
type Request struct {
	Ref     resource.Ref
	Weights string
	Urgency int
	StartBy time.Time
	// Last is true if the caller tries no other engine after this engine.
	Last bool
	// Prompt, Output, Parts, Accept and Near have the same meaning as in Ticket.
	Prompt int
	Output int
	Parts  []Part
	Accept time.Duration
	Near   bool
	// Pressed is true if none of the engines tried before can start the request in time. It only affects engines that have a rate limit
	// or lack their base model.
	Pressed bool
	// Customer and Rate have the same meaning as in Ticket.
	Customer string
	Rate     *ratelimit.Word
}

// Grant lets one request run on the engine until it is released.
type Grant struct {
	// Engine and Name identify the engine on which the request runs.
	Engine resource.Engine
	Name   string
	// Stalled is the time that the request waited for the load of its adapter.
	Stalled time.Duration
	id      uint64
	runner  *Runner
}

// Read records that the first token of the answer has arrived.
func (g *Grant) Read() { g.runner.post(promptRead{g.id}) }

// HearRate updates the engine's rate limit, as received in the engine's answer.
func (g *Grant) HearRate(w ratelimit.Word) { g.runner.HearRate(w) }

// HearLeft records that the engine has announced in its answer that it is leaving.
func (g *Grant) HearLeft() { g.runner.HearLeft() }

// Left reports whether the engine has announced in the meantime that it is leaving.
func (g *Grant) Left() bool { return g.runner.Left() }

// Release ends the request. It must be called exactly once.
func (g *Grant) Release(end End) { g.runner.post(ended{g.id, end}) }

// Acquire waits until the request may start. It returns a *result.Error if the request may not start.
func (r *Runner) Acquire(ctx context.Context, q Request) (*Grant, error) {
	id := r.nextID.Add(1)
	reply := make(chan verdict, 1)
	t := Ticket{
		ID: id, Ref: q.Ref, Weights: q.Weights, Urgency: q.Urgency, Arrived: clock.Now(), StartBy: q.StartBy, Last: q.Last,
		Prompt: q.Prompt, Output: q.Output, Parts: q.Parts, Accept: q.Accept, Near: q.Near, Pressed: q.Pressed,
		Customer: q.Customer, Rate: q.Rate,
	}
	select {
	case r.events <- submitted{t, reply}:
	case <-r.done:
		return nil, result.New(result.NotOwner, "this box no longer owns the engine")
	default:
		return nil, result.New(result.QueueFull, "the event buffer of the engine is full")
	}
	select {
	case v := <-reply:
		if v.err != nil {
			return nil, v.err
		}
		return &Grant{Engine: r.cfg.Engine, Name: r.cfg.Name, Stalled: v.stalled, id: id, runner: r}, nil
	case <-r.done:
		return nil, result.New(result.NotOwner, "this box no longer owns the engine")
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

// Serve runs the loop until ctx ends. A Runner that has ended cannot be restarted. Its Set starts a new Runner instead.
func (r *Runner) Serve(ctx context.Context) error {
	if r.ended() {
		return suture.ErrDoNotRestart
	}
	end := sync.OnceFunc(func() { close(r.done) })
	defer end()
	orders, ctx := errgroup.WithContext(ctx)
	// Each slot has at most one order in flight. The limit also covers the permit requests and the report poll, so that no goroutine
	// waits for another.
	orders.SetLimit(2*r.cfg.Engine.Slots + 2*maxAsked + spareOrders)
	r.orders = orders
	orders.Go(func() error { return r.poll(ctx) })
	err := r.loop(ctx)
	end()
	// The order goroutines end with ctx and return no errors.
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

// abandon returns the permit that an unhandled event may hold.
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
			// The separate result code keeps the caller from retrying this engine, as it would retry an engine that is temporarily
			// without an owner or busy. All retries would fail.
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
			out = append(out, r.goneNow(now, "connection refused for a request")...)
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
		return r.goneNow(now, "connection refused for a report")
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
			// Clearing the incarnation makes the next report start the load again if needed.
			r.incarnation = ""
		}
		return r.close(now)
	default:
		return nil
	}
}

// lone reports whether another box may also count requests against the engine's rate limit, because this box has no authority now.
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
			// Returning a permit may call another box, and the loop must not wait for that call.
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
