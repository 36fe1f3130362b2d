package relay

import (
	"context"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// chooseSpare finds an engine for a restricted request, which may only take room that no other request needs now. It asks as many engines as for
// an unrestricted request. If none of them takes the request, it returns OverShare. If none lacked capacity, for example because no owner answers, it chooses as for
// an unrestricted request.
func (r *Relay) chooseSpare(ctx context.Context, q *request, ref resource.Ref, avoid map[string]bool) (*chosenEngine, *result.Error) {
	candidates := r.candidates(q, ref, avoid)
	req := r.newGrantRequest(q, ref)
	req.Spare = true
	if q.route.Objective > 0 {
		// Zero would accept any wait.
		req.MaxWait = max(1, shareOf(q.route.Objective, 1)-clock.Since(q.receivedAt))
	}
	isFull := false
	for i := range candidates[:min(len(candidates), maxCandidates)] {
		engine, rerr := r.acquireGrant(ctx, q, &candidates[i], req)
		if rerr == nil || rerr.Code == result.CallerGone || rerr.Code == result.TimedOut {
			return engine, rerr
		}
		isFull = isFull || isRefusalForCapacity(rerr)
	}
	if !isFull {
		return r.chooseEngine(ctx, q, ref, avoid)
	}
	return nil, r.refuseOverShare(q)
}

// isRefusalForCapacity reports whether an owner answered that its engine has no room for a request.
func isRefusalForCapacity(rerr *result.Error) bool {
	switch rerr.Code {
	case result.TryNext, result.QueueFull, result.Crowded, result.RateLimited:
		return true
	default:
		return false
	}
}

// refuseOverShare returns the error for a restricted request that no engine takes.
func (r *Relay) refuseOverShare(q *request) *result.Error {
	q.overShare = q.restriction.Reason
	r.cfg.Scope.Tagged(map[string]string{"reason": string(q.overShare)}).Counter("share_refused").Inc(1)
	rerr := result.New(result.OverShare, "%s", q.restriction)
	rerr.RetryAfter = q.restriction.RetryAfter
	return rerr
}
