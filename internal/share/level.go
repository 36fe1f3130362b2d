// Package share decides which requests are restricted to room that no other request needs while a service is asked for more than its engines serve. It is pure: the time, the sums of the demand
// and the source of randomness are passed in.
package share

import (
	"cmp"
	"math"
	"slices"

	"github.com/bellgap/bellgap/internal/demand"
)

const (
	// calmShare is the share taken by engines from which a service is not short.
	calmShare = 0.95
	// minAsked is the fewest requests in demand.Window from which a service is judged. With fewer, one refusal would make it short.
	minAsked = 10
	// presumedServed is added to what was asked and served of a class before it limits others, so that a few refused requests of a rare class do not limit a
	// frequent one.
	presumedServed = 4
	// urgentAhead is how far a class is restricted below the most unlucky more urgent one. It makes up for the time until a restriction takes effect,
	// in which engines favor the classes with long objectives.
	urgentAhead = 0.03
	// minShareOfMean is the part of the mean share served that every class may have.
	minShareOfMean = 0.25
	// minClassRatio is the least part of a class that is unrestricted. It bounds what a box can do that reports wrong rows.
	minClassRatio = 0.1
)

// IsShort reports whether engines take notably less than what is asked. The rest was refused for lack of capacity, as nothing else is counted.
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

// CustomerRatios returns the fraction of each claim that is unrestricted, so that no customer gets more than its weighted max-min share of the capacity.
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

// UrgencyRatios returns the fraction of each class that is not restricted, the most urgent first. A class is restricted to slightly
// below the share of the most unlucky of the more urgent ones, but not below minShareOfMean of the mean share. The share that a ratio leads to is at least the ratio times
// the fraction that engines take of the requests that are not refused as restricted, so a limit does not remove its own cause. Requests refused by
// the shares of customers are left out, since otherwise a greedy customer in an urgent class would limit the other classes.
func UrgencyRatios(classes []demand.ClassSum) []float64 {
	mean, lowest := meanShare(classes), 1.0
	ratios := make([]float64, len(classes))
	for i, c := range classes {
		ratios[i] = 1
		passed := c.Asked - c.OverCustomer
		if success := c.Served / max(passed-c.OverUrgency, 1); passed > c.OverUrgency && lowest < success {
			ratios[i] = min(1, max(minClassRatio, max(lowest-urgentAhead, minShareOfMean*mean)/success))
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
