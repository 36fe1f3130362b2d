package quota

import (
	"time"

	"github.com/bellgap/bellgap/internal/customer"
)

const (
	// burstShare and slackShare are the parts of a quota's burst and of the tolerance that a bucket saves up; the rest goes into its rate. Requests come
	// in lumps: a customer of one request of 1,500 tokens a second, at 1.8 times that, had 29% of its usual refused with the burst alone.
	burstShare = 0.6
	slackShare = 0.35
	// openingBurst and openingSlack are the parts that a bucket holds when its box becomes accountable: the one before may have granted all that a
	// window allows, and the window has room for one change of box.
	openingBurst = 0.2
	openingSlack = 0.15
	// caution is the part of what a window allows that is given out. The rest is for what boxes do not know of each other.
	caution = 0.96
	// tolerancePart bounds how much of the tolerance goes into the rate, for a window.
	tolerancePart = 0.35
)

// Bounds say by what a quota is judged: in no window may a customer use more than its rate for that time and its burst, with an excess and a
// tolerance. Without a window buckets keep to the rate and the burst.
type Bounds struct {
	Window time.Duration
	// Excess is a part of the quota, Tolerance is in its units, whatever the quota.
	Excess    float64
	Tolerance float64
}

// bucketOf returns the rate and the size of the bucket by which a quota is kept, and what it holds at first. With the declared rate and burst alone
// a customer beyond its quota gets 8 of the 9.9 seconds of its rate that a window of 8 s allows where the burst is one second.
func (b Bounds) bucketOf(q customer.Quota) (kept customer.Quota, opening float64) {
	kept = q
	if b.Window <= 0 {
		return kept, openingBurst * q.Burst
	}
	window := b.Window.Seconds()
	opening = openingBurst*q.Burst + openingSlack*b.Tolerance
	kept.Burst = burstShare*q.Burst + slackShare*b.Tolerance
	allowed := caution * ((1+b.Excess)*(q.Rate*window+q.Burst) + b.Tolerance)
	most := (1+b.Excess)*q.Rate + tolerancePart*b.Tolerance/window
	kept.Rate = min(most, (allowed-kept.Burst-opening)/(window+aheadFor.Seconds()))
	kept.Rate = max(kept.Rate, q.Rate)
	return kept, opening
}
