package quota

import (
	"math"
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/customer"
)

const (
	// advanceTime is the time for which a box takes units in advance of its requests, and how long it may use them. It is short,
	// because units that are used later than granted add to the use in a window. A quarter of a second at the rate is a thirtieth
	// of what a window of eight seconds allows.
	advanceTime = 250 * time.Millisecond
	// demandHalfLife is the half-life of the decayed demand of a box.
	demandHalfLife = time.Second
	// maxLocalRefusal limits how long a box refuses requests without a call after the accountable box has refused one. Otherwise,
	// a customer at many times its quota would make every box call the accountable box for every request.
	maxLocalRefusal = 200 * time.Millisecond
	// fallbackBurstShare is the share of the burst that the fallback buckets of all boxes can save up together. In addition, they
	// save up fallbackSavedTime at the rate. With the whole burst and one second, a window in which the accountable box was lost
	// for 2.4 s exceeded the allowed use by 0.4%.
	fallbackBurstShare = 0.5
	fallbackSavedTime  = 300 * time.Millisecond
)

// allowance contains the units that one box may use for one customer. It does no I/O.
type allowance struct {
	mu sync.Mutex
	// granted is the number of units that may still be used until grantedUntil.
	granted      float64
	grantedUntil time.Time
	// owed is the number of units to report with the next request: units used without a grant, less units granted but not used.
	owed float64
	// demand is the decayed sum of the units of requests, as of demandAt.
	demand   float64
	demandAt time.Time
	// refusedUntil is the time until which this box refuses requests without a call to the accountable box.
	refusedUntil time.Time
	// fallback is the bucket for this box's share of the quota, used while no accountable box answers.
	fallback *bucket
}

// takeGranted takes units that were granted in advance. If there are not enough, it returns either the request to send to the
// accountable box, or how long the caller has to wait.
func (a *allowance) takeGranted(now time.Time, name string, units float64) (req TakeRequest, wait time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.addDemand(now, units)
	if !now.Before(a.grantedUntil) {
		a.owed -= a.granted
		a.granted = 0
	}
	if a.granted >= units {
		a.granted -= units
		return TakeRequest{}, 0, true
	}
	if wait := a.refusedUntil.Sub(now); wait > 0 {
		return TakeRequest{}, wait, false
	}
	req = TakeRequest{Customer: name, Need: units, Owed: a.owed}
	if expected := a.demandRate(now) * advanceTime.Seconds(); expected >= units {
		req.Ahead = expected
	}
	a.owed = 0
	return req, 0, false
}

// applyReply applies a reply of the accountable box. It reports whether the request may run.
func (a *allowance) applyReply(now time.Time, req TakeRequest, reply TakeReply) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if reply.Granted < req.Need {
		a.refusedUntil = now.Add(min(reply.Wait, maxLocalRefusal))
		return false
	}
	if advance := reply.Granted - req.Need; advance > 0 {
		a.granted, a.grantedUntil = a.granted+advance, now.Add(advanceTime)
	}
	return true
}

// takeFallback takes units from this box's share of the quota after a request to the accountable box failed; boxes is the number
// of shares. The units that the failed request reported as owed are reported again.
func (a *allowance) takeFallback(now time.Time, q customer.Quota, req TakeRequest, boxes int) (wait time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.owed += req.Owed
	q = fallbackQuota(q, boxes)
	if a.fallback == nil {
		a.fallback = &bucket{level: capacity(q), updatedAt: now}
	}
	if wait, ok = a.fallback.take(now, q, req.Need); ok {
		a.owed += req.Need
	}
	return wait, ok
}

// fallbackQuota returns the share of a quota that a box may use on its own. All shares together are at most the quota, however
// many boxes cannot reach the accountable box.
func fallbackQuota(q customer.Quota, boxes int) customer.Quota {
	q.Burst = (fallbackBurstShare*q.Burst + q.Rate*fallbackSavedTime.Seconds()) / float64(boxes)
	q.Rate /= float64(boxes)
	return q
}

// giveBack returns the units of a request that was not run.
func (a *allowance) giveBack(units float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.owed -= units
}

// addDemand adds the units of a request to the demand of this box.
func (a *allowance) addDemand(now time.Time, units float64) {
	a.demand = a.currentDemand(now) + units
	a.demandAt = now
}

// currentDemand returns the demand, decayed to now.
func (a *allowance) currentDemand(now time.Time) float64 {
	return a.demand * math.Exp2(-now.Sub(a.demandAt).Seconds()/demandHalfLife.Seconds())
}

// demandRate returns the units per second that requests of this box need.
func (a *allowance) demandRate(now time.Time) float64 {
	return a.currentDemand(now) * math.Ln2 / demandHalfLife.Seconds()
}
