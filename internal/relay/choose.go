package relay

import (
	"context"
	"net/netip"
	"time"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/grant"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

const (
	// acceptShare is the part of the objective up to which an expected wait is accepted at once; beyond it all candidates
	// are compared.
	acceptShare = 0.5
	// inTimeShare is the part of the objective up to which an expected first token counts as in time; the rest is for what was
	// expected wrongly.
	inTimeShare = 0.85
	// copyShare is the part of the objective by which a copy of an adapter has to be sooner where an engine that has it near may
	// start the request in time as well.
	copyShare = 0.5
	// orderShare is the part of the objective that a place in the order is worth: without it, differences between guesses would
	// scatter an adapter's requests over all engines, each of which would bring it from the weight store.
	orderShare = 0.125
	// ownerlessShare is the part of the objective for which a request looks for an owner, every ownerlessLook.
	ownerlessShare = 0.5
	ownerlessLook  = 60 * time.Millisecond
	// pressedFrom is after how many engines asked in vain a request counts as pressed.
	pressedFrom = 3
	// urgencies turns a rank, 0 first, into an urgency, higher first.
	urgencies = 10
)

// chosen is an engine that a request may be sent to now.
type chosen struct {
	name    string
	address netip.AddrPort
	started int64
	// read tells the owner that the first token has come, end that the request is over.
	read func()
	end  func(owner.End)
}

// destination returns where the request is sent.
func (c *chosen) destination() destination { return destination{c.name, c.address, c.started} }

// choose finds an engine for a request. While no owner can be asked, as right after a start or between two owners, it looks again.
// If the engine chosen cannot take the request after all, it goes on to the next ones; avoid then holds the engine.
func (r *Relay) choose(ctx context.Context, q *request, ref resource.Ref, avoid map[string]bool) (*chosen, *result.Error) {
	giveUp := q.came.Add(shareOf(q.route.Objective, ownerlessShare))
	for {
		tried := len(avoid)
		c, rerr := r.chooseNow(ctx, q, ref, avoid)
		if rerr != nil && len(avoid) > tried && q.limitedAsks < maxAsked && ctx.Err() == nil {
			continue
		}
		if rerr == nil || !ownerless(rerr) || !clock.Now().Add(ownerlessLook).Before(giveUp) {
			return c, r.spreadReturn(q, rerr)
		}
		select {
		case <-time.After(ownerlessLook):
		case <-ctx.Done():
			return nil, result.New(result.CallerGone, "%v", context.Cause(ctx))
		}
	}
}

// ownerless reports whether a failure means that no owner could be asked.
func ownerless(rerr *result.Error) bool {
	switch rerr.Code {
	case result.NotOwner, result.NoEngine, result.OwnerSilent:
		return true
	default:
		return false
	}
}

// cannotTake reports whether an owner said that its engine cannot take a request that it would have taken a moment before.
func cannotTake(rerr *result.Error) bool {
	switch rerr.Code {
	case result.LoadFailed, result.TryNext, result.QueueFull, result.RateLimited:
		return true
	default:
		return false
	}
}

// chooseNow asks the candidates whether the adapter version is near enough to start the request soon, and takes the first that
// says so, else the best of what they said. Where no owner answers, one that is listed as holding the version is taken.
// More than the first few are only asked while all that have it near are too busy to start the request in time.
func (r *Relay) chooseNow(ctx context.Context, q *request, ref resource.Ref, avoid map[string]bool) (*chosen, *result.Error) {
	candidates := r.candidates(q, ref, avoid)
	if len(candidates) == 0 {
		if rerr := r.nobodyWants(q); rerr != nil {
			return nil, rerr
		}
	}
	ask := r.ask(q, ref)
	ask.Accept, ask.Near = shareOf(q.route.Objective, acceptShare), r.cfg.Policy.On(policy.Copies)
	offers := r.newOffers(q)
	last := result.New(result.NoEngine, "%s of %s", q.head.Model, q.service)
	asked := 0
	for i := range candidates {
		wider := offers.crowded() && r.cfg.Policy.On(policy.Crowds)
		if asked >= maxCandidates && !wider {
			break
		}
		c := &candidates[i]
		ask.Pressed = offers.pressed() && i >= min(pressedFrom, len(candidates)-1)
		got, rerr := r.acquire(ctx, q, c, ask)
		if rerr == nil {
			return got, nil
		}
		if rerr.Code == result.CallerGone || rerr.Code == result.TimedOut {
			return nil, rerr
		}
		if rerr.Code == result.RateLimited {
			// One that is left out for its rate is not one of the first few.
			c.usedUp, avoid[c.name] = true, true
			q.leftOut(rerr)
			if c.holds || ask.Pressed {
				// Else it may have been refused for an adapter that would have to be brought, which says nothing of other requests.
				r.noteUsedUp(q, c.name)
			}
			continue
		}
		asked++
		last = rerr
		if sentOn(rerr) && rerr.RetryAfter > 0 {
			offers.add(c, rerr, r.placeWeight(q)*time.Duration(min(i, maxCandidates)))
		}
	}
	if offers.crowded() {
		r.crowds.Add(ref, clock.Now())
	}
	if best := offers.best(); best != nil {
		got, rerr := r.takeOffer(ctx, q, best, ask)
		if rerr != nil && cannotTake(rerr) {
			avoid[best.candidate.name] = true
		}
		if rerr != nil && rerr.Code == result.RateLimited {
			q.leftOut(rerr)
		}
		return got, rerr
	}
	if got := r.withoutOwner(candidates, ref); got != nil {
		q.tried(got.name, "without owner")
		return got, nil
	}
	if q.limited.count > 0 && (asked == 0 || (last.Wait() == 0 && !ownerless(last))) {
		// The others have not said when they could take it.
		last = result.New(result.RateLimited, "%s of %s", q.head.Model, q.service)
	}
	return nil, last
}

// takeOffer waits for the grant of the best engine, unless that is not expected in the request's time.
func (r *Relay) takeOffer(ctx context.Context, q *request, best *offer, ask grant.Ask) (*chosen, *result.Error) {
	if ask.StartIn < best.wait && r.cfg.Policy.On(policy.Admission) {
		late := result.New(result.DeadlineUnmet, "the soonest start is in %s", best.wait.Round(time.Millisecond))
		late.RetryAfter = best.wait
		return nil, late
	}
	ask.Accept, ask.Near, ask.Last, ask.Pressed = 0, false, true, false
	return r.acquire(ctx, q, best.candidate, ask)
}

// newOffers returns no offers yet for a request.
func (r *Relay) newOffers(q *request) offers {
	return offers{
		copies: r.cfg.Policy.On(policy.Copies), price: shareOf(q.route.Objective, copyShare),
		inTime: shareOf(q.route.Objective, inTimeShare) - clock.Since(q.came),
	}
}

// placeWeight returns what a place in the order of engines weighs for a request.
func (r *Relay) placeWeight(q *request) time.Duration {
	if !r.cfg.Policy.On(policy.Order) {
		return 0
	}
	return shareOf(q.route.Objective, orderShare)
}

// shareOf returns a part of a request's objective.
func shareOf(objective resource.Duration, share float64) time.Duration {
	return time.Duration(share * float64(objective))
}

// sentOn reports whether an owner sent a request on to other engines.
func sentOn(rerr *result.Error) bool {
	return rerr.Code == result.TryNext || rerr.Code == result.Crowded
}

func (r *Relay) ask(q *request, ref resource.Ref) grant.Ask {
	a := grant.Ask{
		Urgency: q.urgency(), Customer: q.customerName(), Hold: q.left() + holdSlack, Prompt: q.head.Prompt, Output: q.head.expectedOutput(), Parts: q.head.Parts,
		StartIn: min(q.left(), time.Duration(startWithin*float64(q.route.Objective))-clock.Since(q.came)),
	}
	if !ref.IsBase() {
		a.Ref, a.Weights = ref.String(), ref.String()
	}
	return a
}

// acquire asks a candidate's owner and notes the answer.
func (r *Relay) acquire(ctx context.Context, q *request, c *candidate, a grant.Ask) (*chosen, *result.Error) {
	got, rerr := r.askOwner(ctx, c, a)
	switch {
	case rerr == nil:
		q.tried(c.owner.Box+"/"+c.name, "granted")
	case rerr.RetryAfter > 0:
		q.tried(c.owner.Box+"/"+c.name, rerr.Code.String()+":"+rerr.RetryAfter.Round(time.Millisecond).String())
	default:
		q.tried(c.owner.Box+"/"+c.name, rerr.Code.String())
	}
	return got, rerr
}

func (r *Relay) askOwner(ctx context.Context, c *candidate, a grant.Ask) (*chosen, *result.Error) {
	a.Engine, a.Rate = c.name, r.cfg.Rates.Word(clock.Now(), c.name, c.started)
	if runner, ok := r.cfg.Owners.Get(c.name); ok {
		return r.acquireHere(ctx, runner, c, a)
	}
	if c.owner.Box == "" || c.owner.Box == r.cfg.Box {
		return nil, result.New(result.NotOwner, "%s has no owner now", c.name)
	}
	if r.suspects.Has(c.owner.Box, clock.Now()) {
		return nil, result.New(result.OwnerSilent, "%s did not answer lately", c.owner.Box)
	}
	g, err := r.cfg.Grants.Acquire(ctx, c.owner.Peer, a)
	if err != nil {
		rerr := result.From(err, result.OwnerSilent)
		if rerr.Code == result.OwnerSilent {
			r.suspects.Add(c.owner.Box, clock.Now())
		}
		return nil, rerr
	}
	return &chosen{name: c.name, address: c.address, started: c.started, read: g.Read, end: g.End}, nil
}

func (r *Relay) acquireHere(ctx context.Context, runner *owner.Runner, c *candidate, a grant.Ask) (*chosen, *result.Error) {
	q, rerr := a.Request(clock.Now())
	if rerr != nil {
		return nil, rerr
	}
	g, err := runner.Acquire(ctx, q)
	if err != nil {
		return nil, result.From(err, result.QueueFull)
	}
	return &chosen{name: c.name, address: c.address, started: c.started, read: g.Read, end: g.Release}, nil
}

// withoutOwner picks an engine that is listed as holding the adapter version, for requests that no owner can be asked about:
// sending needs no authority, and an engine that does not hold the version says so without running the request.
func (r *Relay) withoutOwner(candidates []candidate, ref resource.Ref) *chosen {
	if !r.cfg.Policy.On(policy.Ownerless) {
		return nil
	}
	now := clock.Now()
	var best *candidate
	least := 0.0
	for i := range candidates {
		c := &candidates[i]
		if c.usedUp || (!c.holds && !ref.IsBase()) {
			continue
		}
		inFlight, failures := r.health.load(c.name, now)
		if load := float64(inFlight) + urgencies*failures; best == nil || load < least {
			best, least = c, load
		}
	}
	if best == nil {
		return nil
	}
	if _, ok := r.cfg.Rates.TakeLone(now, best.name, best.started); !ok {
		best.usedUp = true
		return r.withoutOwner(candidates, ref)
	}
	r.cfg.Scope.Counter("sent_without_owner").Inc(1)
	return &chosen{name: best.name, address: best.address, started: best.started, read: func() {}, end: func(owner.End) {}}
}
