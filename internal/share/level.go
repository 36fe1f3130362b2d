// Package share decides which requests are admitted while a service is asked for more than its engines serve. It is pure: the time, the sums of the demand
// and the source of randomness are passed in.
package share

import (
	"cmp"
	"math"
	"slices"

	"github.com/bellgap/bellgap/internal/demand"
)

const (
	// calmShare is the share served from which a service is not short.
	calmShare = 0.95
	// minAsked is the fewest requests in demand.Window from which a service is judged. With fewer, one refusal would make it short.
	minAsked = 10
	// presumedServed is added to what was asked and served of a class before it limits others, so that a few refused requests of a rare class do not limit a
	// frequent one.
	presumedServed = 4
	// While a class is served less often than a less urgent one, the less urgent one is moved to the mean share, further by catchUp of what the more urgent
	// class is away from the mean, and by belowMean so that small differences favor the more urgent, but at most maxBehind
	// below the lowest share of the more urgent ones. At the mean, all are served alike. The mean changes slowly, as it follows from the capacity. A target
	// that follows the lowest share alone made shares swing between 0 and 0.9 in a simulation, since that share changes faster than the window shows.
	catchUp   = 0.3
	belowMean = 0.05
	maxBehind = 0.1
	// minShareOfMean is the part of the mean share served that every class may have.
	minShareOfMean = 0.25
	// minClassRatio is the least part of a class that is admitted. It bounds what a box can do that reports wrong rows.
	minClassRatio = 0.1
	// Capacity is raised by fullHeadroom while the success is at least fullSuccess of the usual one, as engines then evidently have room. Otherwise it is
	// raised by headroomSlope x (success - wantedSuccess), or lowered, down to minHeadroom. A slope above 1 would answer a change of success by a larger
	// one. Wanted is slightly less than everything: engines whose queues are full refuse the requests with the shortest objectives first.
	fullSuccess   = 0.995
	fullHeadroom  = 1.15
	headroomSlope = 0.8
	wantedSuccess = 0.95
	minHeadroom   = 0.9
)

// IsShort reports whether the fleet serves notably less than what is asked.
func IsShort(s demand.ServiceSum) bool {
	total := s.Total()
	return total.Asked >= minAsked && total.Served < calmShare*total.Asked
}

// Claim is what one customer asks, in tokens, and the weight of the customer.
type Claim struct {
	Asked  float64
	Weight float64
}

// Level returns the largest level L at which the sum of min(asked, L x weight) is the capacity. It is infinite if the claims do not exceed the capacity.
func Level(claims []Claim, capacity float64) float64 {
	byNeed := slices.Clone(claims)
	slices.SortFunc(byNeed, func(a, b Claim) int { return cmp.Compare(a.Asked/a.Weight, b.Asked/b.Weight) })
	weight := 0.0
	for _, c := range byNeed {
		weight += c.Weight
	}
	left := max(capacity, 0)
	for _, c := range byNeed {
		if level := left / weight; c.Asked/c.Weight > level {
			return level
		}
		left -= c.Asked
		weight -= c.Weight
	}
	return math.Inf(1)
}

// CustomerRatios returns the fraction of each claim to admit so that no customer gets more than its weighted max-min share of the capacity.
func CustomerRatios(claims []Claim, capacity float64) []float64 {
	level := Level(claims, capacity)
	ratios := make([]float64, len(claims))
	for i, c := range claims {
		ratios[i] = 1
		if limit := level * c.Weight; c.Asked > limit {
			ratios[i] = limit / c.Asked
		}
	}
	return ratios
}

// Success returns the fraction of the admitted tokens that engines serve. ok is false if none were admitted.
func Success(s demand.Sum) (success float64, ok bool) {
	admitted := s.AskedTokens - s.OverCustomerTokens - s.OverUrgencyTokens
	if admitted <= 0 {
		return 0, false
	}
	return s.ServedTokens / admitted, true
}

// Capacity returns the tokens to admit by the shares of customers: those that were admitted, corrected by the success compared with the usual success. The
// usual success accounts for failures that do not depend on the load. Without it, a constant part of failures would lower the capacity again and again.
// Tokens refused by urgency do not reach the engines, so that more may pass the shares of customers.
func Capacity(s demand.Sum, usual float64) float64 {
	success, ok := Success(s)
	if !ok || usual <= 0 {
		return math.Inf(1)
	}
	relative := success / usual
	return (s.AskedTokens - s.OverCustomerTokens) * relative * headroom(relative)
}

// headroom returns the factor between the tokens that can be served and those to admit.
func headroom(relative float64) float64 {
	if relative >= fullSuccess {
		return fullHeadroom
	}
	return max(minHeadroom, 1+headroomSlope*(relative-wantedSuccess))
}

// UrgencyRatios returns the fraction of each class to admit, the most urgent first. A class is limited while its share served would be above the lowest share of
// the more urgent ones; all then approach the mean share, and no class is limited below minShareOfMean of it. The share that a ratio leads to is the ratio times the fraction
// of the admitted requests that engines serve. That fraction does not depend on the ratio in force, so a limit does not remove its own cause. Requests
// refused by the shares of customers are left out, since otherwise a greedy customer in an urgent class would limit the other classes.
func UrgencyRatios(classes []demand.ClassSum) []float64 {
	mean, lowest := meanShare(classes), 1.0
	ratios := make([]float64, len(classes))
	for i, c := range classes {
		ratios[i] = 1
		passed := c.Asked - c.OverCustomer
		admitted := passed - c.OverUrgency
		if success := c.Served / max(admitted, 1); admitted > 0 && lowest < success {
			target := max(mean+catchUp*(lowest-mean)-belowMean, lowest-maxBehind, minShareOfMean*mean)
			ratios[i] = min(1, max(minClassRatio, target/success))
		}
		if passed > 0 {
			lowest = min(lowest, (c.Served+presumedServed)/(passed+presumedServed))
		}
	}
	return ratios
}

// meanShare returns the share served of all classes together.
func meanShare(classes []demand.ClassSum) float64 {
	served, passed := 0.0, 0.0
	for _, c := range classes {
		served += c.Served
		passed += c.Asked - c.OverCustomer
	}
	if passed <= 0 {
		return 1
	}
	return served / passed
}
