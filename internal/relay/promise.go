package relay

import (
	"net/http"
	"sync/atomic"
)

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

// Promises holds the numbers of promises to callers since the start of the process, by what they rest on.
type Promises struct {
	// Unsent is the number of promises about requests that no endpoint received.
	Unsent int64 `json:"unsent"`
	// Rejected is the number of promises about requests that each endpoint which received them rejected.
	Rejected int64 `json:"rejected"`
	// Forwarded is the number of promises that are the status of an endpoint's answer.
	Forwarded int64 `json:"forwarded"`
}

// promiseCounts counts promises by their grounds.
type promiseCounts struct{ unsent, rejected, forwarded atomic.Int64 }

func (c *promiseCounts) add(g ground) {
	switch g {
	case groundUnsent:
		c.unsent.Add(1)
	case groundRejected:
		c.rejected.Add(1)
	case groundForwarded:
		c.forwarded.Add(1)
	case groundNone:
	}
}

// Promises returns the numbers of promises to callers.
func (r *Relay) Promises() Promises {
	return Promises{Unsent: r.promises.unsent.Load(), Rejected: r.promises.rejected.Load(), Forwarded: r.promises.forwarded.Load()}
}

// recordStatus records the status of the answer to the caller and, if it is a promise, counts it by its ground.
func (r *Relay) recordStatus(q *request, status int, isForwarded bool) {
	q.status, q.ground = status, q.promiseGround(status, isForwarded)
	r.promises.add(q.ground)
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
