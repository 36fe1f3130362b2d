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
	// minShareOfMean is the part of the mean share served that every class may have.
	minShareOfMean = 0.25
	// minClassRatio is the least part of a class that is admitted. It bounds what a box can do that reports wrong rows.
	minClassRatio = 0.1
	// fullSuccess is the part of the admitted tokens from which engines evidently have room for more, and fullHeadroom what is then admitted beyond what
	// they served.
	fullSuccess  = 0.99
	fullHeadroom = 1.5
	// Otherwise the headroom is 1 + headroomSlope x (success - headroomSuccess), at least minHeadroom. At the fixed point, engines refuse about 4% of what
	// is admitted. A slope above 1 would let the level oscillate, as it then answers a change of success by a larger one.
	headroomSlope   = 0.8
	headroomSuccess = 0.9
	minHeadroom     = 1.02
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

// Capacity returns the tokens to admit by the shares of customers. What is served is the base. The headroom over it lets the admitted tokens grow back
// after a drop, which they could not if exactly the served tokens were admitted. Tokens refused by urgency do not reach the engines, so that more may pass
// the shares of customers.
func Capacity(s demand.Sum) float64 {
	passed := s.AskedTokens - s.OverCustomerTokens
	admitted := passed - s.OverUrgencyTokens
	if admitted <= 0 {
		return math.Inf(1)
	}
	return s.ServedTokens * headroom(s.ServedTokens/admitted) * passed / admitted
}

// headroom returns the factor of the served tokens to admit, by the fraction of the admitted tokens that was served.
func headroom(success float64) float64 {
	if success >= fullSuccess {
		return fullHeadroom
	}
	return max(minHeadroom, 1+headroomSlope*(success-headroomSuccess))
}

// UrgencyRatios returns the fraction of each class to admit, the most urgent first. A class is admitted as far as its share served stays at or below the lowest
// share of the more urgent ones, but at least to minShareOfMean of the mean share. The share that a ratio leads to is the ratio times the fraction of the
// admitted requests that engines serve. That fraction does not depend on the ratio in force, so a limit does not remove its own cause. Requests refused by
// the shares of customers are left out, since otherwise a greedy customer in an urgent class would limit the other classes.
func UrgencyRatios(classes []demand.ClassSum) []float64 {
	mean, lowest := meanShare(classes), 1.0
	ratios := make([]float64, len(classes))
	for i, c := range classes {
		ratios[i] = 1
		passed := c.Asked - c.OverCustomer
		admitted := passed - c.OverUrgency
		if admitted > 0 && c.Served > 0 {
			target := max(lowest, minShareOfMean*mean)
			ratios[i] = min(1, max(minClassRatio, target/(c.Served/admitted)))
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
