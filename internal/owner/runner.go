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
	"github.com/bellgap/bellgap/internal/engineload"
	"github.com/bellgap/bellgap/internal/loads"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// Timings and bounds of a Runner.
const (
	// eventBuffer is the capacity of the event channel.
	eventBuffer = 1024
	// tickInterval is the time between two calls of State.Tick.
	tickInterval = 50 * time.Millisecond
	// reportInterval is the time between two report requests.
	reportInterval = time.Second
	// uncertainReportInterval replaces reportInterval on engines without a spare slot while an order without an answer occupies a slot.
	uncertainReportInterval = 200 * time.Millisecond
	orderAttempts           = 3
	orderRetryDelay         = 100 * time.Millisecond
	// extraOrders is a reserve in the limit of concurrent order goroutines.
	extraOrders = 8
)

// Authority reports whether this box may send orders now, and under which epoch.
type Authority func(now time.Time) (epoch uint64, ok bool)

// Engines sends orders to engines and fetches their reports over the network.
type Engines interface {
	// SendOrder sends an order and returns once the engine has carried it out. It returns an *engine.OrderRefusedError if the engine
	// refuses.
	SendOrder(ctx context.Context, to engine.Target, o engine.Order) error
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
	// CarriedRate is the prefill rate that a previous owner has observed, or zero if none is known.
	CarriedRate float64
	// CarriedUndisturbedRate is the undisturbed rate that a previous owner has observed, or zero if none is known.
	CarriedUndisturbedRate float64
	// Epoch is the epoch of the ownership grant. NextLoadSequence numbers the reports of the engine's load, and EngineLoads records them.
	// If EngineLoads is nil, there are no reports.
	Epoch            uint64
	NextLoadSequence func() uint64
	EngineLoads      *engineload.Table
	Policy           policy.Policy
	// Authority is called right before each order.
	Authority Authority
	// Rate is the engine's last known rate limit, or nil if none is known.
	Rate *ratelimit.Report
	// EngineLeaving is true if the engine has announced that it is leaving.
	EngineLeaving bool
	// Notices receives the notices in the engine's reports. If it is nil, only the Runner uses them.
	Notices *notice.Board
	Scope   tally.Scope
}

// Runner carries out the decisions of one State. Its loop is the only user of the State.
type Runner struct {
	cfg    RunnerConfig
	events chan event
	done   chan struct{}
	nextID atomic.Uint64
	// inFlight is the number of running requests after the last event. The handover of the engine depends on inFlight, stopped and
	// ordersInFlight.
	inFlight atomic.Int64
	// stopped is true once the loop has handled Stop.
	stopped atomic.Bool
	// ordersInFlight is the number of orders in flight.
	ordersInFlight atomic.Int64
	// rate is the engine's rate limit after the last event.
	rate atomic.Pointer[ratelimit.Report]
	// publishedLeaving is the value of engineLeaving after the last event.
	publishedLeaving atomic.Bool
	// lastLoad is the engine's load after the last event or tick, nil if there is none to report.
	lastLoad atomic.Pointer[publishedLoad]
	// tracked holds the names of the adapters that occupied slots after the last event, and uncertain how many of them are uncertain.
	tracked   atomic.Pointer[map[string]bool]
	uncertain atomic.Int64
	// session identifies this Runner to the client. It changes when the slot of an uncertain load expires.
	session atomic.Uint64

	// Only the loop may access the fields from state to engineGone.

	state   *State
	replies map[uint64]chan decision
	// permits holds the granted permits that are not used yet.
	permits []loads.Permit
	// incarnation is the incarnation in the engine's last report.
	incarnation string
	// previousOwnerActive is true while the previous owner may have requests in flight.
	previousOwnerActive bool
	reconciler          *reconciler
	// orders runs the order goroutines.
	orders *errgroup.Group

	// Each of baseMissing, boxLeaving, engineLeaving and engineGone closes the state.

	// baseMissing is true if the engine has not loaded its base model.
	baseMissing bool
	// baseLoading is true while the base model is being loaded.
	baseLoading bool
	// demand counts the requests that the missing base model could have served.
	demand baseDemand
	// boxLeaving is true if the engine's box is leaving.
	boxLeaving bool
	// engineLeaving is true if the engine has announced since its last start that it is leaving.
	engineLeaving bool
	// engineGone is true if the engine was not found and has sent no report since.
	engineGone bool

	// ignoredDurations is the number of invalid load durations that have been counted. Only the loop may access it.
	ignoredDurations int64

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
	// Leaving is true if the engine has announced that it is leaving.
	Leaving bool `json:"left,omitempty"`
	// RateRefused is the number of requests refused because of the engine's rate limit, since the engine reported one.
	RateRefused int `json:"rate_refused,omitempty"`
	// Slots is the number of adapter slots. SlotsInUse of them are not free, SlotsUncertain of these because of orders without an answer.
	Slots          int `json:"slots"`
	SlotsInUse     int `json:"slots_in_use"`
	SlotsUncertain int `json:"slots_uncertain,omitempty"`
	// LoadLimit is the number of concurrent adapter loads that load pacing allows. It is zero if they are not limited.
	LoadLimit int `json:"load_limit,omitempty"`
	// OrderTimeout is the response timeout of orders, if the client adapts it to the engine.
	OrderTimeout time.Duration `json:"order_timeout,omitempty"`
}

// NewRunner returns a Runner, which handles requests while Serve runs.
func NewRunner(cfg RunnerConfig) *Runner {
	r := &Runner{
		cfg: cfg, events: make(chan event, eventBuffer), done: make(chan struct{}),
		state: New(Config{
			Slots: cfg.Engine.Slots, Batch: cfg.Engine.Batch, MaxQueue: cfg.MaxQueue, Pack: cfg.Pack, KVTokens: cfg.Engine.KVTokens,
			PrefillRate: cfg.PrefillRate, FinishesFirst: cfg.Engine.DrainsBeforeUnload, AwaitReport: cfg.Engine.DrainsBeforeUnload, Policy: cfg.Policy,
			LimitGaps: cfg.Engine.Scarce && cfg.Policy.IsEnabled(policy.GapAdmission),
			Scarce:    cfg.Engine.Scarce,
		}),
		replies: map[uint64]chan decision{}, previousOwnerActive: true, reconciler: newReconciler(), orders: &errgroup.Group{},
		status: Status{Engine: cfg.Name}, engineLeaving: cfg.EngineLeaving,
	}
	r.startSession()
	r.checkClient()
	if r.engineLeaving {
		// No tickets wait yet, so there are no actions to carry out.
		_ = r.updateClosed(clock.Now())
	}
	r.state.prefill.carryRate(cfg.CarriedRate)
	r.state.prefill.speed.carry(cfg.CarriedUndisturbedRate)
	r.state.rateLimiter.SetStart(cfg.Engine.Started)
	r.state.UpdateRate(clock.Now(), cfg.Rate)
	return r
}

// Name returns the engine's name.
func (r *Runner) Name() string { return r.cfg.Name }

// Done returns a channel that is closed when Serve has ended.
func (r *Runner) Done() <-chan struct{} { return r.done }

// Status returns the status that the loop published last, with the current response timeout of orders.
func (r *Runner) Status() Status {
	timeout := r.orderTimeout()
	r.mu.Lock()
	defer r.mu.Unlock()
	st := r.status
	st.OrderTimeout = timeout
	return st
}

// InFlight returns the number of running requests.
func (r *Runner) InFlight() int { return int(r.inFlight.Load()) }

// Stopped reports whether Stop has taken effect and no order is in flight.
func (r *Runner) Stopped() bool { return r.stopped.Load() && r.ordersInFlight.Load() == 0 }

// FinishTakeover allows the unloading of adapters taken over from the previous owner, which has no requests in flight anymore.
func (r *Runner) FinishTakeover() { r.post(takeoverFinished{}) }

// Stop refuses the waiting requests and all further requests. Running requests continue.
func (r *Runner) Stop() { r.post(stopRequested{}) }

// post sends an event to the loop. If the loop has ended, it discards the event.
func (r *Runner) post(e event) {
	select {
	case r.events <- e:
	case <-r.done:
		discardEvent(e)
	}
}

// UpdateRate updates the engine's rate limit, as received from the engine or from another box.
func (r *Runner) UpdateRate(report ratelimit.Report) { r.post(rateReceived{report}) }

// Rate returns the engine's rate limit, or nil if it has none.
func (r *Runner) Rate() *ratelimit.Report { return r.rate.Load() }

// RecordLeaving records that the engine has announced that it is leaving. Until the engine restarts, it gets no new
// requests, and no further adapter loads are requested for it.
func (r *Runner) RecordLeaving() { r.post(leaveNoticeReceived{}) }

// IsLeaving reports whether the engine has announced that it is leaving.
func (r *Runner) IsLeaving() bool { return r.publishedLeaving.Load() }

// SetBoxLeaving sets whether the engine's box is leaving. While the box is leaving, waiting and new requests are refused so that
// they go to other engines.
func (r *Runner) SetBoxLeaving(leaving bool) { r.post(boxLeavingChanged{leaving}) }

// Request describes a request for Acquire.
type Request struct {
	Ref     resource.Ref
	Weights string
	Urgency int
	StartBy time.Time
	// Last is true if the caller tries no other engine after this engine.
	Last bool
	// Prompt is the number of prompt tokens. Output is the caller's estimate of the number of generated tokens. Zero means unknown.
	Prompt int
	Output int
	// Parts lists the shareable parts of the prompt in order.
	Parts []PromptPart
	// MaxWait is the longest acceptable expected wait for the first token. Zero accepts any wait.
	MaxWait time.Duration
	// LocalOnly requests a refusal if the adapter would have to be loaded from the weight store. It requires a positive MaxWait.
	LocalOnly bool
	// OthersTooSlow is true if none of the engines tried before can start the request in time. It only affects engines that have a
	// rate limit or lack their base model.
	OthersTooSlow bool
	// Spare requests a refusal unless the engine has room now that no other request needs.
	Spare bool
	// GapObjective is the longest pause between two events that keeps the stream in time, zero if there is no objective.
	GapObjective time.Duration
	// Customer sent the request.
	Customer string
	// Rate is the engine's rate limit as the requesting box knows it.
	Rate *ratelimit.Report
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

// RecordFirstToken records that the first token of the answer has arrived.
func (g *Grant) RecordFirstToken() { g.runner.post(firstTokenReceived{g.id}) }

// RecordGap records the longest pause between two events of the stream, before Release.
func (g *Grant) RecordGap(longest time.Duration) {
	if longest != 0 {
		g.runner.post(gapReported{g.id, longest})
	}
}

// UpdateRate updates the engine's rate limit, as received in the engine's answer.
func (g *Grant) UpdateRate(report ratelimit.Report) { g.runner.UpdateRate(report) }

// RecordLeaving records that the engine has announced in its answer that it is leaving.
func (g *Grant) RecordLeaving() { g.runner.RecordLeaving() }

// IsLeaving reports whether the engine has announced in the meantime that it is leaving.
func (g *Grant) IsLeaving() bool { return g.runner.IsLeaving() }

// Release ends the request. It must be called exactly once.
func (g *Grant) Release(end End) { g.runner.post(ticketEnded{g.id, end}) }

// Acquire waits until the request may start. It returns a *result.Error if the request may not start.
func (r *Runner) Acquire(ctx context.Context, req Request) (*Grant, error) {
	id := r.nextID.Add(1)
	reply := make(chan decision, 1)
	t := Ticket{
		ID: id, Ref: req.Ref, Weights: req.Weights, Urgency: req.Urgency, Arrived: clock.Now(), StartBy: req.StartBy, Last: req.Last,
		Prompt: req.Prompt, Output: req.Output, Parts: req.Parts, MaxWait: req.MaxWait, LocalOnly: req.LocalOnly, OthersTooSlow: req.OthersTooSlow,
		Customer: req.Customer, Rate: req.Rate, GapObjective: req.GapObjective, Spare: req.Spare,
	}
	select {
	case r.events <- ticketSubmitted{t, reply}:
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
		r.post(ticketCanceled{id})
		return nil, result.New(result.CallerGone, "%v", context.Cause(ctx))
	}
}

// hasEnded reports whether the loop has ended.
func (r *Runner) hasEnded() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// Serve runs the loop until ctx ends. A Runner that has ended cannot be restarted. Its Set starts a new Runner instead.
func (r *Runner) Serve(ctx context.Context) error {
	if r.hasEnded() {
		return suture.ErrDoNotRestart
	}
	closeDone := sync.OnceFunc(func() { close(r.done) })
	defer closeDone()
	orders, ctx := errgroup.WithContext(ctx)
	// Each slot has at most one order in flight. The limit also covers the permit requests and the report poll, so that no goroutine
	// waits for another.
	orders.SetLimit(2*r.cfg.Engine.Slots + 2*maxPermitRequests + extraOrders)
	r.orders = orders
	orders.Go(func() error { return r.pollReports(ctx) })
	err := r.loop(ctx)
	closeDone()
	// The order goroutines end with ctx and return no errors.
	_ = orders.Wait()
	for {
		select {
		case e := <-r.events:
			discardEvent(e)
		default:
			return err
		}
	}
}

// discardEvent returns the permit that an unhandled event may hold.
func discardEvent(e event) {
	if granted, ok := e.(permitGranted); ok {
		granted.permit(false)
	}
}

func (r *Runner) loop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case e := <-r.events:
			now := clock.Now()
			actions := r.handleEvent(now, e)
			r.inFlight.Store(int64(r.state.InFlight()))
			r.rate.Store(r.state.Rate(now))
			r.publishedLeaving.Store(r.engineLeaving)
			r.publishTracked()
			r.publishLoad(now)
			r.execute(ctx, actions)
		case <-tick.C:
			now := clock.Now()
			r.resolveUncertain(now)
			actions := r.state.Tick(now)
			r.publishTracked()
			r.publishLoad(now)
			r.execute(ctx, actions)
			r.publishStatus()
		case <-ctx.Done():
			for _, p := range r.permits {
				p(false)
			}
			return ctx.Err()
		}
	}
}

func (r *Runner) handleEvent(now time.Time, e event) []Action {
	switch e := e.(type) {
	case ticketSubmitted:
		if r.engineLeaving {
			// This result code tells the caller not to retry this engine, since all retries would fail. Other codes, such as those
			// for a busy engine or a missing owner, allow retries.
			e.reply <- decision{err: result.New(result.EndpointLeaving, "%s", r.cfg.Name)}
			return nil
		}
		e.ticket.SharedRate = r.mayShareRate(now)
		r.replies[e.ticket.ID] = e.reply
		return append(r.recordBaseDemand(now, e.ticket), r.state.Submit(now, e.ticket)...)
	case ticketCanceled:
		delete(r.replies, e.id)
		return r.state.Cancel(now, e.id)
	case ticketEnded:
		actions := r.state.FinishTicket(now, e.id, e.end)
		if e.end == EndNotListening {
			actions = append(actions, r.markGone(now, "a request found no listener at the engine's address")...)
		}
		return actions
	case rateReceived:
		r.state.UpdateRate(now, &e.rate)
		return nil
	case firstTokenReceived:
		return r.state.RecordFirstToken(now, e.id)
	case gapReported:
		if !r.state.RecordGap(now, e.id, e.longest) {
			r.cfg.Scope.Counter("stream_gaps_invalid").Inc(1)
		}
		return nil
	case permitGranted:
		r.permits = append(r.permits, e.permit)
		return r.state.PermitGranted(now, e.ref)
	case permitDenied:
		return r.state.PermitDenied(now, e.ref)
	case loadEnded:
		r.ordersInFlight.Add(-1)
		r.adoptUnknown(now, e.err)
		return append(r.state.FinishLoad(now, e.ref, e.err), r.markGoneIfNotFound(now, e.err)...)
	case unloadEnded:
		r.ordersInFlight.Add(-1)
		r.adoptUnknown(now, e.err)
		return append(r.state.FinishUnload(now, e.ref, e.err), r.markGoneIfNotFound(now, e.err)...)
	case reportReceived:
		return r.handleReport(now, e.report)
	case connectionRefused:
		return r.markGone(now, "connection refused for a report")
	case takeoverFinished:
		r.previousOwnerActive = false
		return r.state.FinishTakeover(now)
	case stopRequested:
		defer r.stopped.Store(true)
		return r.state.Stop(now)
	case boxLeavingChanged:
		r.boxLeaving = e.leaving
		return r.updateClosed(now)
	case leaveNoticeReceived:
		r.engineLeaving = true
		return r.updateClosed(now)
	case baseLoadEnded:
		r.ordersInFlight.Add(-1)
		r.adoptUnknown(now, e.err)
		r.baseLoading = false
		if r.baseMissing = e.err != nil; r.baseMissing {
			// Clearing the incarnation makes the next report start the load again if needed.
			r.incarnation = ""
		}
		return r.updateClosed(now)
	default:
		return nil
	}
}

// mayShareRate reports whether another box may also count requests against the engine's rate limit, because this box has no
// authority now.
func (r *Runner) mayShareRate(now time.Time) bool {
	if !r.state.rateLimiter.IsLimited() {
		return false
	}
	_, authorized := r.cfg.Authority(now)
	return !authorized
}

func (r *Runner) execute(ctx context.Context, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Start:
			r.sendDecision(a.Ticket.ID, decision{stalled: a.Stalled})
		case Refuse:
			if a.BeforeLoad {
				r.cfg.Scope.Counter("refused_before_load").Inc(1)
			}
			r.sendDecision(a.Ticket.ID, decision{err: a.Err})
		case RequestPermit:
			r.orders.Go(func() error { r.requestPermit(ctx, a); return nil })
		case Load:
			permit := r.popPermit()
			r.ordersInFlight.Add(1)
			r.orders.Go(func() error { r.load(ctx, a, permit); return nil })
		case LoadBase:
			r.ordersInFlight.Add(1)
			r.orders.Go(func() error { r.loadBase(ctx); return nil })
		case Unload:
			r.ordersInFlight.Add(1)
			r.orders.Go(func() error { r.unload(ctx, a); return nil })
		case ReturnPermit:
			// Returning a permit may call another box, and the loop must not wait for that call.
			permit := r.popPermit()
			r.orders.Go(func() error { permit(false); return nil })
		}
	}
}

func (r *Runner) sendDecision(id uint64, v decision) {
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

func (r *Runner) publishStatus() {
	_, ok := r.cfg.Authority(clock.Now())
	st := Status{
		Engine: r.cfg.Name, InFlight: r.state.InFlight(), Waiting: r.state.Waiting(), Loaded: r.state.LoadedNames(),
		Frozen: !ok, Leaving: r.engineLeaving, RateRefused: r.state.rateLimiter.Refused(),
		Slots: r.cfg.Engine.Slots, SlotsInUse: r.state.SlotsInUse(), SlotsUncertain: len(r.state.UncertainRefs()), LoadLimit: r.state.LoadLimit(),
	}
	r.countIgnoredDurations()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = st
}
