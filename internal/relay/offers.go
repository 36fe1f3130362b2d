package relay

import (
	"time"

	"github.com/bellgap/bellgap/internal/result"
)

// offer is the estimate of an engine's owner for a request that the owner did not accept at once.
type offer struct {
	candidate *candidate
	// wait is the expected time until the first token. weight is wait plus the weight of the engine's position in the
	// order.
	wait   time.Duration
	weight time.Duration
}

// offers holds the best offers of owners for one request.
type offers struct {
	// inTime is the longest wait with which the request can be answered within its objective.
	inTime time.Duration
	// limitCopies makes loading another copy depend on whether the copy is worth its load. Otherwise the engine with the
	// earliest start is the best one.
	limitCopies bool
	// minGain is how much earlier another copy must start the request than the engines that have the version locally.
	minGain time.Duration
	// local is the best offer of an engine that has the adapter version locally, download the best one of an engine that
	// would load the version from the weight store.
	local    *offer
	download *offer
}

// add records the answer of an owner. positionBias is the weight of the engine's position in the order.
func (o *offers) add(c *candidate, rerr *result.Error, positionBias time.Duration) {
	bestSoFar := &o.download
	if rerr.Code == result.Crowded {
		bestSoFar, positionBias = &o.local, 0
	}
	if weight := rerr.RetryAfter + positionBias; *bestSoFar == nil || weight < (*bestSoFar).weight {
		*bestSoFar = &offer{candidate: c, wait: rerr.RetryAfter, weight: weight}
	}
}

// isCrowded reports whether some engines have the version locally but none of them can start the request in time.
func (o *offers) isCrowded() bool { return o.local != nil && o.local.wait > o.inTime }

// noneInTime reports whether no owner asked so far can start the request in time.
func (o *offers) noneInTime() bool {
	return (o.local == nil || o.local.wait > o.inTime) && (o.download == nil || o.download.wait > o.inTime)
}

// best returns the best offer, nil if there is none.
//
// All engines share the bandwidth of the weight store. Another copy is therefore loaded only if it serves the request
// in time, and the engines that have the version locally either do not or would make it wait much longer. A large
// difference is required because the estimates for busy engines are often too short.
func (o *offers) best() *offer {
	switch {
	case o.local == nil:
		return o.download
	case !o.limitCopies && o.download != nil && o.download.weight < o.local.weight:
		return o.download
	case o.download == nil || o.download.wait > o.inTime:
		return o.local
	case o.isCrowded() || o.local.wait > o.download.wait+o.minGain:
		return o.download
	default:
		return o.local
	}
}
