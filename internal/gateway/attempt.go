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

// maxFurther bounds the engines that are asked in place of those that are left out for their rates.
const maxFurther = 8

// localTries is how often a request is offered to the same engine when it turns out not to hold the adapter.
const localTries = 2

// attempt is a request that an engine is answering.
type attempt struct {
	answer *engine.Answer
	engine string
	box    string
	// stalled is how long the request waited for its adapter.
	stalled time.Duration
	// end frees what the attempt holds.
	end func(owner.End)
	// settle takes in how the answer ended for the engine; nil where another box sees to that.
	settle func(*result.Error)
}

// Engines change hands within a heartbeat or two; a request that finds no owner looks again for that long.
const (
	handOverWait = 2 * time.Second
	handOverLook = 50 * time.Millisecond
)

// place runs a job on one of the candidate engines.
func (g *Gateway) place(ctx context.Context, j *job) (*attempt, *result.Error) {
	g.retries.earn()
	giveUp := clock.Now().Add(handOverWait)
	for {
		a, err := g.tryCandidates(ctx, j)
		if err == nil || !ownerless(err) {
			return a, err
		}
		now := clock.Now()
		if now.After(giveUp) || !now.Add(handOverLook).Before(j.startBy) {
			return nil, result.New(result.NoEngine, "base model %s: %s", j.baseModel, err)
		}
		g.cfg.Scope.Tagged(map[string]string{"reason": "hand_over"}).Counter("retries").Inc(1)
		select {
		case <-time.After(handOverLook):
		case <-ctx.Done():
			return nil, result.New(result.CallerGone, "%v", context.Cause(ctx))
		}
	}
}

func ownerless(err *result.Error) bool {
	return err.Code == result.NotOwner || err.Code == result.NoEngine || err.Code == result.TryNext
}

// tryCandidates offers a job to the candidate engines in turn until one answers.
func (g *Gateway) tryCandidates(ctx context.Context, j *job) (*attempt, *result.Error) {
	last := result.New(result.NoEngine, "base model %s", j.baseModel)
	mayHaveRun := false
	candidates := g.candidates(j.ref, j.baseModel)
	var limited []string
	var sum wanted
	for i := 0; i < len(candidates); i++ {
		e := candidates[i]
		if rerr := g.cfg.Quarantine.Refusal(j.suspect.Fingerprint); rerr != nil {
			return nil, rerr.After(mayHaveRun)
		}
		// Being sent on by an engine that would be slower is routing, not a retry.
		if i > 0 && last.Code != result.TryNext && !leftOut(last) && !g.retries.spend() {
			g.cfg.Scope.Counter("retries_over_budget").Inc(1)
			break
		}
		j.last = i == len(candidates)-1
		a, err := g.try(ctx, j, e)
		if err == nil {
			j.told.Tried(record.Try{Engine: e.Name, Box: e.Owner.Box, Result: result.OK.String()})
			return a, nil
		}
		j.told.Tried(record.Try{Engine: e.Name, Box: e.Owner.Box, Result: err.Code.String(), Detail: err.Detail})
		mayHaveRun = mayHaveRun || err.Code.Info().Ran != result.RanNo
		last = err.After(mayHaveRun)
		sum.add(err)
		if err.Code == result.RateLimited {
			limited = append(limited, e.Name)
		}
		if leftOut(err) {
			// One that is left out for what it says of itself is not one of the few that are asked.
			if more, ok := g.next(j.ref, j.baseModel, len(candidates)); ok && sum.leftOut <= maxFurther {
				candidates = append(candidates, more)
			}
		}
		if !tryElsewhere(err, j.repeatable) || !clock.Now().Before(j.startBy) {
			break
		}
		g.cfg.Scope.Tagged(map[string]string{"reason": err.Code.String()}).Counter("retries").Inc(1)
	}
	if last.Code == result.RateLimited {
		last.RetryAfter = g.cfg.Rates.ComeBack(clock.Now(), j.baseModel, func() []string { return limited }, last.RetryAfter)
	}
	return nil, sum.last(last)
}

// tryElsewhere says whether another engine may be asked after err.
func tryElsewhere(err *result.Error, repeatable bool) bool {
	switch err.Code {
	case result.NotOwner, result.TryNext, result.QueueFull, result.RateLimited, result.EndpointResting, result.EndpointLeaving, result.LoadFailed, result.LoadBudget, result.Leaving,
		result.BackendRefused, result.BackendUnreachable, result.NotReady:
		return true
	case result.AnswerLost, result.StreamCut, result.WrongAnswer:
		return repeatable
	default:
		return false
	}
}

func (g *Gateway) try(ctx context.Context, j *job, e catalog.EngineView) (*attempt, *result.Error) {
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
	if rerr := g.restOf(engine); rerr != nil {
		return nil, rerr
	}
	var last *result.Error
	for range localTries {
		grant, err := r.Acquire(ctx, j.ask())
		if err != nil {
			return nil, result.From(err, result.QueueFull)
		}
		a, rerr := g.runGranted(ctx, j, grant)
		if rerr == nil {
			return a, nil
		}
		last = rerr
		if rerr.Code != result.BackendRefused {
			break
		}
	}
	return nil, last
}

// ask returns what the owner of an engine needs to know of the job.
func (j *job) ask() owner.Request {
	return owner.Request{Ref: j.ref, Weights: j.weights, Urgency: j.urgency, StartBy: j.startBy, Last: j.last, Customer: j.cooperative, Rate: j.rate}
}

// runGranted sends the job to the engine that the grant is for.
func (g *Gateway) runGranted(ctx context.Context, j *job, grant *owner.Grant) (*attempt, *result.Error) {
	// What was held while the request waited goes no further.
	if rerr := g.cfg.Quarantine.Refusal(j.suspect.Fingerprint); rerr != nil {
		grant.Release(owner.EndWhole)
		return nil, rerr
	}
	if rerr := g.unwanted(grant); rerr != nil {
		grant.Release(owner.EndWhole)
		return nil, rerr
	}
	settle := func(rerr *result.Error) {
		g.cfg.Quarantine.Settle(ctx, j.suspect, quarantine.Endpoint{Name: grant.Name, Address: grant.Engine.Address, Started: grant.Engine.Started}, rerr)
	}
	answer, err := g.cfg.Engines.Run(ctx, engine.Call{
		Address: grant.Engine.Address, Path: j.path, Ref: j.ref, RunID: j.runID, Urgency: strconv.Itoa(j.urgency), Body: j.body,
		Notice: func(w notice.Word) { g.hear(grant, w) },
	})
	if err != nil {
		rerr := result.From(err, result.AnswerLost)
		settle(rerr)
		grant.Release(endOf(rerr))
		return nil, rerr
	}
	return &attempt{answer: answer, engine: grant.Name, box: g.cfg.Box, stalled: grant.Stalled, end: grant.Release, settle: settle}, nil
}

// endOf says what an error means for the engine's adapter.
func endOf(err *result.Error) owner.End {
	switch {
	case err.Code == result.BackendRefused:
		return owner.EndNotLoaded
	case err.Code.Info().Ran == result.RanNo:
		return owner.EndWhole
	default:
		return owner.EndBroken
	}
}

// finish closes the answer and frees what the attempt holds.
func (a *attempt) finish(err *result.Error) {
	a.answer.Close()
	if a.settle != nil {
		a.settle(err)
	}
	if err == nil {
		a.end(owner.EndWhole)
		return
	}
	a.end(endOf(err))
}
