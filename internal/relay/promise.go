package relay

import "net/http"

// ground is what a promise to a caller rests on. A promise is a status that callers understand to mean that the request did not run and never
// will.
type ground string

const (
	// groundNone: the answer is no promise.
	groundNone ground = ""
	// groundUnsent: no endpoint received the request.
	groundUnsent ground = "unsent"
	// groundRejected: each endpoint that received the request rejected it.
	groundRejected ground = "rejected"
	// groundForwarded: an endpoint answered with the status itself. No answer should have this ground.
	groundForwarded ground = "forwarded"
)

// promiseGround returns what an answer to the caller with the given status rests on.
func (q *request) promiseGround(status int, isForwarded bool) ground {
	switch {
	case !impliesNotRun(status):
		return groundNone
	case isForwarded:
		return groundForwarded
	case q.arrivals > 0:
		return groundRejected
	default:
		return groundUnsent
	}
}

// recordStatus records the status of the answer to the caller and, if it is a promise, counts it by its ground.
func (r *Relay) recordStatus(q *request, status int, isForwarded bool) {
	q.status, q.ground = status, q.promiseGround(status, isForwarded)
	if q.ground != groundNone {
		r.cfg.Scope.Tagged(map[string]string{"ground": string(q.ground)}).Counter("promises").Inc(1)
	}
}

// impliesNotRun reports whether callers understand a status to mean that the request did not run and never will.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
