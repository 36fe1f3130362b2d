package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/record"
	"github.com/bellgap/bellgap/internal/result"
)

// maxExtraEngines limits how many engines are tried in place of those that reported a rate limit,
// a pause, or that they are leaving.
const maxExtraEngines = 8

// maxLocalTries is how often a request is sent to the same engine if the engine refuses it, for example because the adapter is
// not loaded.
const maxLocalTries = 2

// attempt is a request that was sent to an engine and whose answer has begun.
type attempt struct {
	answer *engine.Answer
	engine string
	box    string
	// adapterWait is how long the request waited for its adapter to be loaded.
	adapterWait time.Duration
	// release returns the grant of the engine, or cancels the hop to the box that owns the engine.
	release func(owner.End)
	// recordOutcome reports to the quarantine how the answer ended. It is nil if another box owns the engine and reports it.
	recordOutcome func(*result.Error)
}

// A request that finds no owner of an engine retries for handOverTimeout, because an engine gets a new owner within one or two
// heartbeats.
const (
	handOverTimeout      = 2 * time.Second
	handOverPollInterval = 50 * time.Millisecond
)

// runJob runs a job on one of the candidate engines.
func (g *Gateway) runJob(ctx context.Context, j *job) (*attempt, *result.Error) {
	g.retryBudget.addRequest()
	deadline := clock.Now().Add(handOverTimeout)
	for {
		a, err := g.tryCandidates(ctx, j)
		if err == nil || !mayBeHandOver(err) {
			return a, err
		}
		now := clock.Now()
		if now.After(deadline) || !now.Add(handOverPollInterval).Before(j.startBy) {
			return nil, result.New(result.NoEngine, "base model %s: %s", j.baseModel, err)
		}
		g.cfg.Scope.Tagged(map[string]string{"reason": "hand_over"}).Counter("retries").Inc(1)
		select {
		case <-time.After(handOverPollInterval):
		case <-ctx.Done():
			return nil, result.New(result.CallerGone, "%v", context.Cause(ctx))
		}
	}
}

// mayBeHandOver reports whether err may occur because an engine is changing its owner.
func mayBeHandOver(err *result.Error) bool {
	return err.Code == result.NotOwner || err.Code == result.NoEngine || err.Code == result.TryNext
}

// tryCandidates tries the candidate engines for a job in turn until one of them answers.
func (g *Gateway) tryCandidates(ctx context.Context, j *job) (*attempt, *result.Error) {
	lastErr := result.New(result.NoEngine, "base model %s", j.baseModel)
	mayHaveRun := false
	candidates := g.candidates(j.ref, j.baseModel)
	var rateLimited []string
	var summary refusalSummary
	for i := 0; i < len(candidates); i++ {
		e := candidates[i]
		if rerr := g.cfg.Quarantine.Refusal(j.suspect); rerr != nil {
			return nil, rerr.AdjustForRetries(mayHaveRun)
		}
		// Trying the next engine is routing, not a retry, if the owner of the last engine referred the request to others,
		// or if the last engine announced that it takes no requests.
		if i > 0 && lastErr.Code != result.TryNext && !isAnnouncedRefusal(lastErr) && !g.retryBudget.takeRetry() {
			g.cfg.Scope.Counter("retries_over_budget").Inc(1)
			break
		}
		j.isLastEngine = i == len(candidates)-1
		a, err := g.tryEngine(ctx, j, e)
		if err == nil {
			j.entry.AddTry(record.Try{Engine: e.Name, Box: e.Owner.Box, Result: result.OK.String()})
			return a, nil
		}
		j.entry.AddTry(record.Try{Engine: e.Name, Box: e.Owner.Box, Result: err.Code.String(), Detail: err.Detail})
		mayHaveRun = mayHaveRun || err.Code.Info().Ran != result.RanNo
		lastErr = err.AdjustForRetries(mayHaveRun)
		summary.add(err)
		if err.Code == result.RateLimited {
			rateLimited = append(rateLimited, e.Name)
		}
		if isAnnouncedRefusal(err) {
			// An engine that announced that it takes no requests does not count as a candidate.
			if extra, ok := g.nextEngine(j.ref, j.baseModel, len(candidates)); ok && summary.announced <= maxExtraEngines {
				candidates = append(candidates, extra)
			}
		}
		if !canTryElsewhere(err, j.repeatable) || !clock.Now().Before(j.startBy) {
			break
		}
		g.cfg.Scope.Tagged(map[string]string{"reason": err.Code.String()}).Counter("retries").Inc(1)
	}
	if lastErr.Code == result.RateLimited {
		lastErr.RetryAfter = g.cfg.Rates.RetryAfter(clock.Now(), j.baseModel, func() []string { return rateLimited }, lastErr.RetryAfter)
	}
	return nil, summary.finalError(lastErr)
}

// canTryElsewhere reports whether the request may be sent to another engine or address after err.
// If the back end may have run the request already, only a repeatable request is sent again.
func canTryElsewhere(err *result.Error, repeatable bool) bool {
	switch err.Code {
	case result.NotOwner, result.TryNext, result.QueueFull, result.RateLimited, result.EndpointResting, result.EndpointLeaving,
		result.LoadFailed, result.LoadBudget, result.Leaving, result.BackendRefused, result.BackendUnreachable, result.NotReady:
		return true
	case result.AnswerLost, result.StreamCut, result.WrongAnswer, result.EndpointNotReading, result.TooMuchSurplus:
		return repeatable
	default:
		return false
	}
}

// tryEngine runs the job on one engine, here or through the box that owns the engine.
func (g *Gateway) tryEngine(ctx context.Context, j *job, e catalog.EngineView) (*attempt, *result.Error) {
	if r, ok := g.cfg.Owners.Get(e.Name); ok {
		return g.tryLocal(ctx, j, e.Name, r)
	}
	if e.Owner.Box == g.cfg.Box {
		return nil, result.New(result.NotOwner, "%s is being handed over", e.Name)
	}
	return g.tryHop(ctx, j, e)
}

// tryLocal runs the job on an engine that this box owns.
func (g *Gateway) tryLocal(ctx context.Context, j *job, engine string, r *owner.Runner) (*attempt, *result.Error) {
	if rerr := g.checkPause(engine); rerr != nil {
		return nil, rerr
	}
	var lastErr *result.Error
	for range maxLocalTries {
		grant, err := r.Acquire(ctx, j.ownerRequest())
		if err != nil {
			return nil, result.From(err, result.QueueFull)
		}
		a, rerr := g.runGranted(ctx, j, grant)
		if rerr == nil {
			return a, nil
		}
		lastErr = rerr
		if rerr.Code != result.BackendRefused {
			break
		}
	}
	return nil, lastErr
}

// ownerRequest returns the request to the owner of an engine for a grant.
func (j *job) ownerRequest() owner.Request {
	return owner.Request{Ref: j.ref, Weights: j.weights, Urgency: j.urgency, StartBy: j.startBy, Last: j.isLastEngine, Customer: j.cooperative, Rate: j.reportedRate}
}

// runGranted sends the job to the granted engine.
func (g *Gateway) runGranted(ctx context.Context, j *job, grant *owner.Grant) (*attempt, *result.Error) {
	// The request may have been quarantined while it waited for the grant.
	if rerr := g.cfg.Quarantine.Refusal(j.suspect); rerr != nil {
		grant.Release(owner.EndUnused)
		return nil, rerr
	}
	if rerr := g.checkGranted(grant); rerr != nil {
		grant.Release(owner.EndUnused)
		return nil, rerr
	}
	recordOutcome := func(rerr *result.Error) {
		g.cfg.Quarantine.RecordOutcome(ctx, j.suspect, quarantine.Endpoint{Name: grant.Name, Address: grant.Engine.Address, Started: grant.Engine.Started}, rerr)
	}
	place := g.unanswered.Add(func() { grant.Release(owner.EndBroken) })
	answer, err := g.cfg.Engines.Run(ctx, engine.Call{
		Address: grant.Engine.Address, Path: j.path, Ref: j.ref, RunID: j.runID, Urgency: strconv.Itoa(j.urgency), Body: j.body,
		Notice: func(notices notice.HeaderNotices) { g.recordEngineNotice(grant, notices) },
	})
	if err != nil {
		rerr := result.From(err, result.AnswerLost)
		if rerr.Code == result.EndpointNotReading {
			g.cfg.Scope.Counter("slow_endpoints_ended").Inc(1)
		}
		recordOutcome(rerr)
		place.End(func() { grant.Release(ownerEnd(rerr)) })
		return nil, rerr
	}
	place.RecordAnswer()
	release := func(end owner.End) { place.End(func() { grant.Release(end) }) }
	return &attempt{answer: answer, engine: grant.Name, box: g.cfg.Box, adapterWait: grant.Stalled, release: release, recordOutcome: recordOutcome}, nil
}

// ownerEnd returns how the end of a run that failed with err is reported to the owner of the engine.
func ownerEnd(err *result.Error) owner.End {
	switch {
	case err.Code == result.BackendRefused:
		return owner.EndNotLoaded
	case err.Code.Info().Ran == result.RanNo:
		return owner.EndUnused
	default:
		return owner.EndBroken
	}
}

// finish closes the answer, records its outcome and releases the attempt.
func (a *attempt) finish(err *result.Error) {
	a.answer.Close()
	if a.recordOutcome != nil {
		a.recordOutcome(err)
	}
	if err == nil {
		a.release(owner.EndWhole)
		return
	}
	a.release(ownerEnd(err))
}
