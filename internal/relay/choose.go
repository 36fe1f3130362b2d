package relay

import (
	"context"
	"net/netip"
	"time"

	"github.com/bellgap/bellgap/internal/choice"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/grant"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

const (
	// acceptWaitShare is the part of the objective up to which an expected wait is accepted at once. If no wait is that
	// short, all candidates are compared.
	acceptWaitShare = 0.5
	// inTimeShare is the part of the objective up to which an expected first token counts as in time. The rest is a
	// margin for wrong estimates.
	inTimeShare = choice.InTimeShare
	// copyGainShare is the part of the objective that loading another copy of an adapter must save if an engine that has
	// the adapter locally can also start the request in time.
	copyGainShare = 0.5
	// positionShare is the part of the objective that one position in the candidate order is worth. Without it,
	// differences between estimates would scatter an adapter's requests over all engines, and each engine would load the
	// adapter from the weight store.
	positionShare = 0.125
	// ownerSearchShare is the part of the objective for which a request looks for an owner. It looks again every
	// ownerSearchInterval.
	ownerSearchShare    = 0.5
	ownerSearchInterval = 60 * time.Millisecond
	// othersTooSlowAfter is how many engines are asked before OthersTooSlow may be set for the next ones: none of the
	// engines asked so far can start the request in time. With fewer candidates, it may be set for the last one.
	othersTooSlowAfter = 3
	// urgencyBase converts ranks to urgencies: the urgency is urgencyBase minus the rank. Rank 0 goes first, and so does
	// the highest urgency.
	urgencyBase = 10
)

// chosenEngine is an engine to which a request may be sent now.
type chosenEngine struct {
	name    string
	address netip.AddrPort
	started int64
	// softwareVersion is the version of the engine's software.
	softwareVersion string
	// reportFirstToken notifies the owner that the first token has arrived. release notifies the owner that the request
	// has ended.
	reportFirstToken func()
	release          func(owner.End)
	// recordGap tells the owner the longest gap of the stream. It is called before release.
	recordGap func(time.Duration)
}

// destination returns the endpoint that the request is sent to.
func (c *chosenEngine) destination() destination {
	return destination{c.name, c.address, c.started, c.softwareVersion}
}

// chooseEngine finds an engine for a request. While no owner can be asked, for example right after a start or during
// a change of ownership, it tries again for a limited time. So it does if half of the asked engines or more have no owner
// and the others cannot start the request in its time. If the chosen engine cannot take the request after all,
// chooseEngine adds it to avoid and tries the next candidates.
func (r *Relay) chooseEngine(ctx context.Context, q *request, ref resource.Ref, avoid map[string]bool) (*chosenEngine, *result.Error) {
	giveUpAt := q.ownerSearchEnd()
	for {
		avoidedBefore := len(avoid)
		c, rerr, ownersMissing := r.chooseEngineOnce(ctx, q, ref, avoid)
		if rerr != nil && len(avoid) > avoidedBefore && q.rateLimitedAsks < maxCandidatesCrowded && ctx.Err() == nil {
			continue
		}
		isOwnerAwaited := rerr != nil && (isOwnerUnavailable(rerr) || (ownersMissing && rerr.Code == result.DeadlineUnmet))
		if !isOwnerAwaited || !clock.Now().Add(ownerSearchInterval).Before(giveUpAt) {
			return c, r.spreadRetry(q, rerr)
		}
		select {
		case <-time.After(ownerSearchInterval):
		case <-ctx.Done():
			return nil, result.New(result.CallerGone, "%v", context.Cause(ctx))
		}
	}
}

// isOwnerUnavailable reports whether an error means that no owner could be asked.
func isOwnerUnavailable(rerr *result.Error) bool {
	switch rerr.Code {
	case result.NotOwner, result.NoEngine, result.OwnerSilent:
		return true
	default:
		return false
	}
}

// isOfferWithdrawn reports whether an owner refused a request that it had offered to take a moment before.
func isOfferWithdrawn(rerr *result.Error) bool {
	switch rerr.Code {
	case result.LoadFailed, result.TryNext, result.QueueFull, result.RateLimited:
		return true
	default:
		return false
	}
}

// chooseEngineOnce asks the owners of the candidates for a grant. It takes the first engine that has the adapter
// version locally and can start the request soon. Otherwise it takes the best offer. Without any offer, for example
// because no owner answers, it takes an engine that is listed as holding the version.
//
// More than maxCandidates engines are asked only while all engines that have the version locally are too busy to
// start the request in time, or if no engine asked so far can start it in time and further ones have free slots by report.
//
// ownersMissing reports whether half of the asked engines or more have no owner that can be asked.
func (r *Relay) chooseEngineOnce(ctx context.Context, q *request, ref resource.Ref, avoid map[string]bool) (engine *chosenEngine, rerr *result.Error, ownersMissing bool) {
	candidates := r.candidates(q, ref, avoid)
	if len(candidates) == 0 {
		if rerr := r.refuseIfNoneAvailable(q); rerr != nil {
			return nil, rerr, false
		}
	}
	req := r.newGrantRequest(q, ref)
	req.MaxWait, req.LocalOnly = shareOf(q.route.Objective, acceptWaitShare), r.cfg.Policy.IsEnabled(policy.CopyLimit)
	offers := r.newOffers(q)
	lastErr := result.New(result.NoEngine, "%s of %s", q.head.Model, q.service)
	asked, ownerless := 0, 0
	for i := range candidates {
		c := &candidates[i]
		if !r.shouldAsk(c, &offers, asked) {
			continue
		}
		req.OthersTooSlow = offers.noneInTime() && i >= min(othersTooSlowAfter, len(candidates)-1)
		askedAt := clock.Now()
		engine, rerr := r.acquireGrant(ctx, q, c, req)
		if rerr == nil {
			r.recordSend(q, ref, c, askedAt)
			return engine, nil, false
		}
		if rerr.Code == result.CallerGone || rerr.Code == result.TimedOut {
			return nil, rerr, false
		}
		if rerr.Code == result.RateLimited {
			// An engine that is skipped for its rate does not count towards maxCandidates.
			c.rateExhausted, avoid[c.name] = true, true
			q.addRateLimited(rerr)
			if c.holdsVersion || req.OthersTooSlow {
				// Otherwise the refusal may be due to an adapter that would have to be loaded, which does not affect other
				// requests.
				r.markRateExhausted(q, c.name)
			}
			continue
		}
		asked++
		if isOwnerUnavailable(rerr) {
			ownerless++
		}
		lastErr = rerr
		if isReferral(rerr) && rerr.RetryAfter > 0 {
			position := min(i, maxCandidates)
			if c.further && offers.noneInTime() {
				// The position counts only between engines that can start the request in time.
				position = 0
			}
			offers.add(c, rerr, r.positionWeight(q)*time.Duration(position))
		}
	}
	if offers.isCrowded() {
		r.crowdedRefs.Add(ref, clock.Now())
	}
	if best := offers.best(); best != nil {
		askedAt := clock.Now()
		engine, rerr := r.acceptOffer(ctx, q, best, req)
		if rerr == nil {
			r.recordSend(q, ref, best.candidate, askedAt)
		}
		if rerr != nil && isOfferWithdrawn(rerr) {
			avoid[best.candidate.name] = true
		}
		if rerr != nil && rerr.Code == result.RateLimited {
			q.addRateLimited(rerr)
		}
		return engine, rerr, 2*ownerless >= asked
	}
	if q.needsGrant {
		return nil, lastErr, false
	}
	if engine := r.chooseWithoutOwner(candidates, ref); engine != nil {
		q.recordTry(engine.name, "without owner")
		r.recordSend(q, ref, &candidate{name: engine.name, started: engine.started, holdsVersion: true}, clock.Now())
		return engine, nil, false
	}
	if q.rateLimited.count > 0 && (asked == 0 || (lastErr.RetryDelay() == 0 && !isOwnerUnavailable(lastErr))) {
		// The other owners have not reported when they could take the request.
		lastErr = result.New(result.RateLimited, "%s of %s", q.head.Model, q.service)
	}
	return nil, lastErr, false
}

// shouldAsk reports whether the owner of a candidate is asked, after asked others.
func (r *Relay) shouldAsk(c *candidate, offers *offers, asked int) bool {
	switch {
	case offers.isCrowded() && r.cfg.Policy.IsEnabled(policy.CrowdDetection):
		return true
	case c.further:
		return offers.noneInTime()
	default:
		return asked < maxCandidates
	}
}

// acceptOffer waits for the grant of the engine with the best offer. It refuses the request at once if the engine is
// not expected to start the request in its time.
func (r *Relay) acceptOffer(ctx context.Context, q *request, best *offer, req grant.Request) (*chosenEngine, *result.Error) {
	if req.StartIn < best.wait && r.cfg.Policy.IsEnabled(policy.Admission) {
		unmet := result.New(result.DeadlineUnmet, "the earliest start is in %s", best.wait.Round(time.Millisecond))
		unmet.RetryAfter = best.wait
		return nil, unmet
	}
	req.MaxWait, req.LocalOnly, req.Last, req.OthersTooSlow = 0, false, true, false
	return r.acquireGrant(ctx, q, best.candidate, req)
}

// newOffers returns an empty collection of offers for a request.
func (r *Relay) newOffers(q *request) offers {
	return offers{
		limitCopies: r.cfg.Policy.IsEnabled(policy.CopyLimit), minGain: shareOf(q.route.Objective, copyGainShare),
		inTime: q.inTimeWithin(),
	}
}

// positionWeight returns the time that one position in the candidate order is worth for a request.
func (r *Relay) positionWeight(q *request) time.Duration {
	if !r.cfg.Policy.IsEnabled(policy.PreferenceOrder) {
		return 0
	}
	return shareOf(q.route.Objective, positionShare)
}

// shareOf returns the given fraction of an objective.
func shareOf(objective resource.Duration, share float64) time.Duration {
	return time.Duration(share * float64(objective))
}

// isReferral reports whether an owner referred a request to other engines.
func isReferral(rerr *result.Error) bool {
	return rerr.Code == result.TryNext || rerr.Code == result.Crowded
}

// newGrantRequest returns what the owner of an engine needs to decide about a request.
func (r *Relay) newGrantRequest(q *request, ref resource.Ref) grant.Request {
	a := grant.Request{
		Urgency: q.urgency(), Customer: q.customerName(), Hold: q.timeLeft() + grantSlack, Prompt: q.head.Prompt, Output: q.head.expectedOutput(), Parts: q.head.Parts,
		StartIn: r.startIn(q), GapObjective: q.gapObjective(),
	}
	if !ref.IsBase() {
		a.Ref, a.Weights = ref.String(), ref.String()
	}
	return a
}

// acquireGrant asks the owner of a candidate for a grant and records the outcome.
func (r *Relay) acquireGrant(ctx context.Context, q *request, c *candidate, req grant.Request) (*chosenEngine, *result.Error) {
	engine, rerr := r.askOwner(ctx, c, req)
	outcome := "granted"
	if rerr != nil {
		outcome = rerr.Code.String()
		if rerr.RetryAfter > 0 {
			outcome += ":" + rerr.RetryAfter.Round(time.Millisecond).String()
		}
	}
	if c.byReports {
		outcome += ",expected:" + c.expectedStart.Round(time.Millisecond).String()
	}
	q.recordTry(c.owner.Box+"/"+c.name, outcome)
	return engine, rerr
}

// askOwner asks the owner of a candidate, on this box or on another one, for a grant.
func (r *Relay) askOwner(ctx context.Context, c *candidate, req grant.Request) (*chosenEngine, *result.Error) {
	req.Engine, req.Rate = c.name, r.cfg.Rates.LatestReport(clock.Now(), c.name, c.started)
	if runner, ok := r.cfg.Owners.Get(c.name); ok {
		return r.acquireLocal(ctx, runner, c, req)
	}
	if c.owner.Box == "" || c.owner.Box == r.cfg.Box {
		return nil, result.New(result.NotOwner, "%s has no owner at present", c.name)
	}
	if r.unresponsiveBoxes.Has(c.owner.Box, clock.Now()) {
		return nil, result.New(result.OwnerSilent, "%s recently did not answer", c.owner.Box)
	}
	g, err := r.cfg.Grants.Acquire(ctx, c.owner.Peer, req)
	if err != nil {
		rerr := result.From(err, result.OwnerSilent)
		if rerr.Code == result.OwnerSilent {
			r.unresponsiveBoxes.Add(c.owner.Box, clock.Now())
		}
		return nil, rerr
	}
	return &chosenEngine{name: c.name, address: c.address, started: c.started, softwareVersion: c.softwareVersion, reportFirstToken: g.ReportFirstToken, release: g.End, recordGap: g.RecordGap}, nil
}

// acquireLocal asks for a grant for an engine that this box owns.
func (r *Relay) acquireLocal(ctx context.Context, runner *owner.Runner, c *candidate, req grant.Request) (*chosenEngine, *result.Error) {
	ownerRequest, rerr := req.OwnerRequest(clock.Now())
	if rerr != nil {
		return nil, rerr
	}
	g, err := runner.Acquire(ctx, ownerRequest)
	if err != nil {
		return nil, result.From(err, result.QueueFull)
	}
	return &chosenEngine{name: c.name, address: c.address, started: c.started, softwareVersion: c.softwareVersion, reportFirstToken: g.RecordFirstToken, release: g.Release, recordGap: g.RecordGap}, nil
}

// chooseWithoutOwner picks an engine that is listed as holding the adapter version, if no owner has granted or offered
// one. Sending a request needs no authority, and an engine that does not hold the version refuses the request without
// running it.
func (r *Relay) chooseWithoutOwner(candidates []candidate, ref resource.Ref) *chosenEngine {
	if !r.cfg.Policy.IsEnabled(policy.SendWithoutOwner) {
		return nil
	}
	now := clock.Now()
	var best *candidate
	leastLoad := 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.rateExhausted || (!c.holdsVersion && !ref.IsBase()) || r.isBrittle(c.name, c.started) {
			continue
		}
		inFlight, failures := r.health.load(c.name, now)
		// A recent failure outweighs several requests in flight.
		if load := float64(inFlight) + urgencyBase*failures; best == nil || load < leastLoad {
			best, leastLoad = c, load
		}
	}
	if best == nil {
		return nil
	}
	if _, ok := r.cfg.Rates.TakeOwnShare(now, best.name, best.started); !ok {
		best.rateExhausted = true
		return r.chooseWithoutOwner(candidates, ref)
	}
	r.cfg.Scope.Counter("sent_without_owner").Inc(1)
	return &chosenEngine{name: best.name, address: best.address, started: best.started, softwareVersion: best.softwareVersion, reportFirstToken: func() {}, release: func(owner.End) {}, recordGap: func(time.Duration) {}}
}
