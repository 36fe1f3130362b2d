package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/continuity"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// continuation is a granted engine to which a stream moves. Its retry has been taken from the budget.
type continuation struct {
	engine  *chosenEngine
	ref     resource.Ref
	version int64
}

// streamConfig returns what decides about the continuation of a request's stream that is sent to an engine now.
func (q *request) streamConfig(now time.Time) continuity.StreamConfig {
	return continuity.StreamConfig{
		Objective: time.Duration(q.route.Objective), GapObjective: q.gapObjective(),
		ReceivedAt: q.receivedAt, SentAt: now, ForwardedAt: q.forwardedAt, Deadline: q.deadline,
	}
}

// gapObjective returns the longest pause between two events that keeps the request's stream in time, zero if there is none.
func (q *request) gapObjective() time.Duration {
	if q.route.Kind != resource.RouteStream {
		return 0
	}
	return time.Duration(q.route.GapObjective)
}

// allowContinuation sets until when a request whose run at an engine broke off may start at another one. Callers wait for the
// next event longer than for the start of a request that has not run yet.
func (r *Relay) allowContinuation(q *request) {
	if q.route.Kind != resource.RouteStream || q.possibleRuns == 0 || !r.cfg.Policy.IsEnabled(policy.ResumeFirst) {
		return
	}
	cfg := q.streamConfig(clock.Now())
	q.continueBy = cfg.UsefulUntil()
}

// startIn returns the time until the latest useful start of a request.
func (q *request) startIn() time.Duration {
	if !q.continueBy.IsZero() {
		return min(q.timeLeft(), clock.Until(q.continueBy))
	}
	return min(q.timeLeft(), time.Duration(maxStartObjectives*float64(q.route.Objective))-clock.Since(q.receivedAt))
}

// startIn returns the time until the latest start of a request, which for scarce services is in time.
func (r *Relay) startIn(q *request) time.Duration {
	if !r.mustStartInTime(q) {
		return q.startIn()
	}
	return min(q.startIn(), shareOf(q.route.Objective, inTimeStartObjectives)-clock.Since(q.receivedAt))
}

// mustStartInTime reports whether a request has to start within its objective. Continuations of streams have their own limit. A prompt
// that alone takes over half of the objective keeps the longer limit, as it would otherwise be refused by idle engines that have to load
// its adapter.
func (r *Relay) mustStartInTime(q *request) bool {
	if q.needsGrant || (q.possibleRuns > 0 && q.route.Kind == resource.RouteStream) || r.prefillTime(q.head.Prompt) > shareOf(q.route.Objective, maxPromptShare) {
		return false
	}
	return r.cfg.Policy.IsEnabled(policy.InTimeStarts) && r.cfg.Catalog.Topology().IsScarce(q.service)
}

// prefillTime returns the time that an idle engine takes to process a number of prompt tokens, zero if the rate is not configured.
func (r *Relay) prefillTime(tokens int) time.Duration {
	if r.cfg.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / r.cfg.PrefillRate * float64(time.Second))
}

// inTimeWithin returns the longest wait with which a request is answered in time.
func (q *request) inTimeWithin() time.Duration {
	if !q.continueBy.IsZero() {
		return q.startIn()
	}
	return shareOf(q.route.Objective, inTimeShare) - clock.Since(q.receivedAt)
}

// ownerSearchEnd returns until when a request looks for an owner if none can be asked. The search for the continuation of a
// stalled stream is repeated anyway.
func (q *request) ownerSearchEnd() time.Time {
	share := shareOf(q.route.Objective, ownerSearchShare)
	if q.continueBy.IsZero() || q.needsGrant {
		return q.receivedAt.Add(share)
	}
	return clock.Now().Add(min(share, q.startIn()))
}

// takeContinuation returns the engine that has granted the continuation of the request's stream, nil if there is none.
func (q *request) takeContinuation() *continuation {
	next := q.next
	q.next = nil
	return next
}

// returnContinuation returns a grant that is not used, with its retry.
func (r *Relay) returnContinuation(q *request) {
	if next := q.takeContinuation(); next != nil {
		r.budgets.refund(q.service)
		r.returnGrant(next)
	}
}

func (r *Relay) returnGrant(next *continuation) {
	next.engine.release(owner.EndUnused)
	r.cfg.Scope.Counter("grants_returned_unused").Inc(1)
}

// logContinuation records that a stream continues at another engine.
func (r *Relay) logContinuation(q *request, from string, to *chosenEngine, lastEvent string) {
	silentSince := q.forwardedAt
	if silentSince.IsZero() {
		silentSince = q.receivedAt
	}
	r.cfg.Scope.Counter("streams_resumed").Inc(1)
	klog.InfoS("stream continues at another engine", "request", q.head.ID, "from", from, "to", to.name, "after_event", lastEvent, "silent", clock.Since(silentSince))
}

// streamWatch follows the stream of one exchange. If the stream stalls and may continue at another engine, the watch looks for
// one. It cancels the exchange only when another engine has granted the continuation. A search runs in the callback of the timer,
// so that a stream without a stall needs no goroutine.
type streamWatch struct {
	relay  *Relay
	engine string
	// softwareVersion is the version of the engine's software. After the first event the stream continues only at that version.
	softwareVersion string
	cancelRun       context.CancelFunc
	askCtx          context.Context
	// asker is a copy of the request, which only the searches use. avoid lists the engines that they do not ask.
	asker *request
	avoid map[string]bool
	// firstTry is the number of tries of the request before the searches.
	firstTry int
	// asking counts the running search.
	asking sync.WaitGroup

	// mu guards the fields below.
	mu     sync.Mutex
	stream *continuity.Stream
	// timer is nil if the stream may not continue elsewhere.
	timer     *time.Timer
	cancelAsk context.CancelFunc
	stopped   bool
	// cut is set if the exchange was cancelled because of a stall, next is then where the stream continues.
	cut  bool
	next *continuation
}

// startStreamWatch starts to watch a stream that is sent to an engine. cancelRun cancels the exchange.
func (r *Relay) startStreamWatch(ctx context.Context, q *request, engine *chosenEngine, avoid map[string]bool, cancelRun context.CancelFunc) *streamWatch {
	now := clock.Now()
	w := &streamWatch{relay: r, engine: engine.name, softwareVersion: engine.softwareVersion, cancelRun: cancelRun, askCtx: ctx, stream: continuity.NewStream(q.streamConfig(now))}
	if !r.cfg.Policy.IsEnabled(policy.StallDetection) || !q.route.Idempotent() || q.possibleRuns+1 >= q.route.Attempts || q.arrivals+1 >= maxArrivals {
		return w
	}
	asker := *q
	asker.tries, w.firstTry = slices.Clone(q.tries), len(q.tries)
	asker.needsGrant = true
	w.asker, w.avoid = &asker, map[string]bool{engine.name: true}
	for name, avoided := range avoid {
		if avoided {
			w.avoid[name] = true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.stream.NextAsk(now)
	w.timer = time.AfterFunc(at.Sub(now), w.look)
	if !ok {
		// The first event starts the timer.
		w.timer.Stop()
	}
	return w
}

// recordArrival records that an event arrived. It ends the search for another engine.
func (w *streamWatch) recordArrival() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stream.RecordArrival(clock.Now())
	if w.cancelAsk != nil {
		w.cancelAsk()
	}
}

// newArrivalCallback returns the function to call for each event. Its first call notifies the owner that the engine has read the
// prompt.
func (w *streamWatch) newArrivalCallback(c *chosenEngine) func() {
	reportOnce := sync.OnceFunc(c.reportFirstToken)
	return func() {
		reportOnce()
		w.recordArrival()
	}
}

// recordForwarded records that the event has been written to the caller.
func (w *streamWatch) recordForwarded() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	w.stream.RecordForwarded(now)
	if w.cancelAsk == nil {
		w.scheduleLook(now)
	}
}

// scheduleLook sets the timer to the next search. The caller holds mu.
func (w *streamWatch) scheduleLook(now time.Time) bool {
	if w.timer == nil || w.stopped || w.cut {
		return false
	}
	at, ok := w.stream.NextAsk(now)
	if ok {
		w.timer.Reset(at.Sub(now))
	}
	return ok
}

// look searches once for another engine if the stream still stalls.
func (w *streamWatch) look() {
	ctx, ok := w.beginAsk()
	if !ok {
		return
	}
	defer w.asking.Done()
	next, rerr := w.relay.askContinuation(ctx, w.asker, w.avoid)
	w.endAsk(next, rerr)
}

// beginAsk starts a search. It returns false if none is due.
func (w *streamWatch) beginAsk() (context.Context, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := clock.Now()
	at, ok := w.stream.NextAsk(now)
	if w.stopped || w.cut || w.cancelAsk != nil || !ok {
		return nil, false
	}
	if at.After(now) {
		w.timer.Reset(at.Sub(now))
		return nil, false
	}
	if w.relay.refuseLateRun(w.asker) != nil {
		// A leaving box could not send the request to another engine.
		return nil, false
	}
	if !w.relay.cfg.Policy.IsEnabled(policy.ResumeFirst) {
		w.cut = true
		w.cancelRun()
		return nil, false
	}
	w.stream.BeginAsk(now)
	if !w.stream.ForwardedAt().IsZero() {
		w.asker.bindTo(w.softwareVersion)
	}
	w.asker.continueBy = w.stream.UsefulUntil()
	ctx, cancel := context.WithTimeout(w.askCtx, w.asker.startIn())
	w.cancelAsk = cancel
	w.asking.Add(1)
	return ctx, true
}

// endAsk ends a search. A grant that is not used is returned.
func (w *streamWatch) endAsk(next *continuation, rerr *result.Error) {
	if !w.switchTo(next, rerr) && next != nil {
		w.relay.returnGrant(next)
	}
}

// switchTo cancels the exchange if the stream still stalls and next, which may be nil, has granted its continuation. Otherwise it
// schedules the next search and returns false. rerr is the error of the search.
func (w *streamWatch) switchTo(next *continuation, rerr *result.Error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelAsk()
	w.cancelAsk = nil
	now := clock.Now()
	isAllowed := next != nil && (w.stream.ForwardedAt().IsZero() || next.engine.softwareVersion == w.softwareVersion)
	if isAllowed && !w.stopped && w.stream.ShouldSwitch(now) && w.relay.refuseLateRun(w.asker) == nil && w.relay.spendRetry(w.asker, result.New(result.StreamCut, "")) {
		w.cut, w.next = true, next
		w.cancelRun()
		return true
	}
	if !w.scheduleLook(now) && !w.stopped && w.stream.IsStalled() {
		w.relay.cfg.Scope.Counter("streams_kept").Inc(1)
		klog.InfoS("stalled stream stays at its engine", "request", w.asker.head.ID, "engine", w.engine, "silent", now.Sub(w.silentSince()), "reason", keptReason(rerr))
	}
	return false
}

// silentSince returns when the last event was forwarded, or when the request arrived if there was none.
func (w *streamWatch) silentSince() time.Time {
	if at := w.stream.ForwardedAt(); !at.IsZero() {
		return at
	}
	return w.asker.receivedAt
}

// keptReason returns why a stalled stream was not continued at another engine after the last search.
func keptReason(rerr *result.Error) string {
	if rerr == nil {
		return "the grant came too late, or the retry budget is used up"
	}
	return rerr.Error()
}

// stop ends the watch and waits for a running search. It records in the request what the watch has found.
func (w *streamWatch) stop(q *request) {
	w.mu.Lock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.cancelAsk != nil {
		w.cancelAsk()
	}
	w.mu.Unlock()
	w.asking.Wait()
	q.next, q.forwardedAt = w.next, w.stream.ForwardedAt()
	q.longestGap = max(q.longestGap, w.stream.LongestPause())
	if w.asker != nil {
		for _, try := range w.asker.tries[w.firstTry:] {
			if len(q.tries) < maxLoggedTries {
				q.tries = append(q.tries, try)
			}
		}
	}
}

// stallError returns an error that names the stall if rerr shows that the watch cancelled the exchange because of one, and rerr
// otherwise. It is called after stop.
func (w *streamWatch) stallError(rerr *result.Error) *result.Error {
	if rerr == nil || !w.cut || !isCancellation(rerr) {
		return rerr
	}
	return result.New(result.StreamCut, "the engine stopped sending events")
}

// isCancellation reports whether an error may be due to the cancellation of its exchange.
func isCancellation(rerr *result.Error) bool {
	switch rerr.Code {
	case result.StreamCut, result.TimedOut, result.AnswerLost:
		return !rerr.BrokenOff
	default:
		return false
	}
}

// askContinuation asks the owners of other engines once for the continuation of a stream. It asks none without a retry in the
// budget, because a question may already make an engine load the adapter.
func (r *Relay) askContinuation(ctx context.Context, q *request, avoid map[string]bool) (*continuation, *result.Error) {
	if !r.budgets.hasRetry(q.service) {
		return nil, result.New(result.StreamCut, "the retry budget is used up")
	}
	if rerr := r.checkQuarantine(q); rerr != nil {
		return nil, rerr
	}
	ref, version := r.latestRef(q)
	engine, rerr := r.chooseEngine(ctx, q, ref, avoid)
	if rerr != nil {
		return nil, rerr
	}
	next := &continuation{engine: engine, ref: ref, version: version}
	if r.isLeavingOrGone(q.service, engine.name) {
		r.returnGrant(next)
		return nil, result.New(result.EndpointLeaving, "%s", engine.name)
	}
	return next, nil
}
