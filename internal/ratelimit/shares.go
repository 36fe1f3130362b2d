package ratelimit

import (
	"math"
	"time"
)

const (
	// usageHalfLife is the half-life of the recorded use of a customer.
	usageHalfLife = 4 * time.Second
	// demandPeriod is how long a customer counts as one of those that share a rate after its latest request.
	demandPeriod = 2 * time.Second
	// maxCustomers limits the customers that are tracked for one endpoint. When it is reached, the records of all customers are
	// discarded.
	maxCustomers = 128
	// overuseMargin is the number of requests by which a customer may exceed an equal share before others take precedence.
	overuseMargin = 0.5
)

// shares tracks how much of one endpoint's rate each customer has used.
type shares struct {
	customers map[string]*share
}

// share is the use of a rate by one customer.
type share struct {
	// used is the number of requests that were sent, with exponential decay up to usedAt.
	used        float64
	usedAt      time.Time
	requestedAt time.Time
}

// decayedUse returns the recorded use with its decay up to now.
func (s *share) decayedUse(now time.Time) float64 {
	return s.used * math.Exp2(-float64(now.Sub(s.usedAt))/float64(usageHalfLife))
}

// recordDemand records that a customer has requested a part of the rate.
func (s *shares) recordDemand(now time.Time, customer string) {
	if customer == "" {
		return
	}
	if c := s.customers[customer]; c != nil {
		c.requestedAt = now
		return
	}
	if s.customers == nil || len(s.customers) >= maxCustomers {
		s.customers = map[string]*share{}
	}
	s.customers[customer] = &share{requestedAt: now, usedAt: now}
}

// recordUse records that a request of a customer is sent.
func (s *shares) recordUse(now time.Time, customer string) {
	if c := s.customers[customer]; c != nil {
		c.used, c.usedAt = c.decayedUse(now)+1, now
	}
}

// isOverShare reports whether a customer has used more than its equal share by more than overuseMargin. The use by all customers
// with recent requests is divided into equal shares.
func (s *shares) isOverShare(now time.Time, customer string) bool {
	c := s.customers[customer]
	if c == nil {
		return false
	}
	sum, n := 0.0, 0
	for _, other := range s.customers {
		if now.Sub(other.requestedAt) <= demandPeriod {
			sum += other.decayedUse(now)
			n++
		}
	}
	return n > 1 && c.decayedUse(now) > sum/float64(n)+overuseMargin
}
