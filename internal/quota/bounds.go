package quota

import (
	"time"

	"github.com/bellgap/bellgap/internal/customer"
)

const (
	// savedBurstShare and savedToleranceShare are the shares of a quota's burst and of the tolerance that a bucket can save up.
	// The rest increases its rate. Requests arrive in bursts: a customer that usually sends one request of 1,500 tokens per
	// second, with a quota of 1.8 times that, had 29% of its usual requests refused when the bucket saved up the burst alone.
	savedBurstShare     = 0.6
	savedToleranceShare = 0.35
	// initialBurstShare and initialToleranceShare are the shares that a bucket contains when its box becomes accountable. They
	// are small, because the previous accountable box may have granted all that a window allows, and the window has room for one
	// change of the accountable box.
	initialBurstShare     = 0.2
	initialToleranceShare = 0.15
	// grantableShare is the share of the allowed use in a window that is granted. The rest is reserved for use that boxes have
	// not reported to each other yet.
	grantableShare = 0.96
	// toleranceRateShare limits the share of the tolerance that is added to the rate over a window.
	toleranceRateShare = 0.35
)

// Bounds limit by how much a customer may exceed its quota. In any window, a customer may use at most its rate times the window
// plus its burst, increased by the excess and the tolerance. Without a window, buckets use the rate and burst of the quota
// unchanged.
type Bounds struct {
	Window time.Duration
	// Excess is a fraction of the quota. Tolerance is a number of units, independent of the size of the quota.
	Excess    float64
	Tolerance float64
}

// bucketFor returns the rate and the size of the bucket that enforces a quota, and the units that it contains initially. The
// bucket has a higher rate than the declared one: with a burst of one second, a window of 8 s allows 9.9 seconds of the rate, but
// with the declared rate and burst, a customer above its quota would get only 8 of them.
func (b Bounds) bucketFor(q customer.Quota) (effective customer.Quota, initialUnits float64) {
	effective = q
	if b.Window <= 0 {
		return effective, initialBurstShare * q.Burst
	}
	window := b.Window.Seconds()
	initialUnits = initialBurstShare*q.Burst + initialToleranceShare*b.Tolerance
	effective.Burst = savedBurstShare*q.Burst + savedToleranceShare*b.Tolerance
	allowed := grantableShare * ((1+b.Excess)*(q.Rate*window+q.Burst) + b.Tolerance)
	maxRate := (1+b.Excess)*q.Rate + toleranceRateShare*b.Tolerance/window
	effective.Rate = min(maxRate, (allowed-effective.Burst-initialUnits)/(window+advanceTime.Seconds()))
	effective.Rate = max(effective.Rate, q.Rate)
	return effective, initialUnits
}
