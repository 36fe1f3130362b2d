package relay

import (
	"time"

	"github.com/bellgap/bellgap/internal/result"
)

// offer is what an engine's owner expects of a request that it did not take in at once.
type offer struct {
	candidate *candidate
	// wait is the expected time until its first token, weight that with the engine's place in the order.
	wait   time.Duration
	weight time.Duration
}

// offers holds the best of what owners said about one request.
type offers struct {
	// inTime is the longest wait with which the request can be answered within its objective.
	inTime time.Duration
	// copies says that a copy has to be worth its load; else the soonest engine is best.
	copies bool
	// price is how much sooner a copy has to be than the engines that have the version near.
	price time.Duration
	// near is the best engine that has the adapter version near, fresh the best of those that would bring it from the weight store.
	near  *offer
	fresh *offer
}

// add takes an owner's answer in; bias is what the engine's place in the order weighs.
func (o *offers) add(c *candidate, rerr *result.Error, bias time.Duration) {
	to := &o.fresh
	if rerr.Code == result.Crowded {
		to, bias = &o.near, 0
	}
	if weight := rerr.RetryAfter + bias; *to == nil || weight < (*to).weight {
		*to = &offer{candidate: c, wait: rerr.RetryAfter, weight: weight}
	}
}

// crowded reports whether there are engines with the version near, none of which can start the request in time.
func (o *offers) crowded() bool { return o.near != nil && o.near.wait > o.inTime }

// pressed reports whether no owner so far can start the request in time.
func (o *offers) pressed() bool {
	return (o.near == nil || o.near.wait > o.inTime) && (o.fresh == nil || o.fresh.wait > o.inTime)
}

// best returns the engine to take, nil if none made an offer. A load from the weight store takes a part of what it can bring to all
// engines, so one more copy is loaded only where it serves the request in time, and no engine that has the version near does or
// all would make it wait much longer: what is expected of busy engines is often too short.
func (o *offers) best() *offer {
	switch {
	case o.near == nil:
		return o.fresh
	case !o.copies && o.fresh != nil && o.fresh.weight < o.near.weight:
		return o.fresh
	case o.fresh == nil || o.fresh.wait > o.inTime:
		return o.near
	case o.crowded() || o.near.wait > o.fresh.wait+o.price:
		return o.fresh
	default:
		return o.near
	}
}
