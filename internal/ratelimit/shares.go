package ratelimit

import (
	"math"
	"time"
)

const (
	// shareHalf is the time in which what a customer used halves.
	shareHalf = 4 * time.Second
	// askedFor is for how long a customer that asked counts among those that share a rate.
	askedFor = 2 * time.Second
	// maxCustomers bounds the customers that are told apart at one endpoint.
	maxCustomers = 128
	// overBy is how much more than an equal part a customer may have used before others go first.
	overBy = 0.5
)

// shares is what customers used of one endpoint's rate.
type shares struct {
	customers map[string]*share
}

type share struct {
	// used is a decayed count as of at.
	used  float64
	at    time.Time
	asked time.Time
}

func (s *share) decayed(now time.Time) float64 {
	return s.used * math.Exp2(-float64(now.Sub(s.at))/float64(shareHalf))
}

// asked notes that a customer wants a part.
func (s *shares) asked(now time.Time, customer string) {
	if customer == "" {
		return
	}
	if c := s.customers[customer]; c != nil {
		c.asked = now
		return
	}
	if s.customers == nil || len(s.customers) >= maxCustomers {
		s.customers = map[string]*share{}
	}
	s.customers[customer] = &share{asked: now, at: now}
}

// used notes that a customer's request goes.
func (s *shares) used(now time.Time, customer string) {
	if c := s.customers[customer]; c != nil {
		c.used, c.at = c.decayed(now)+1, now
	}
}

// over reports whether a customer has used more than an equal part among those that want one.
func (s *shares) over(now time.Time, customer string) bool {
	c := s.customers[customer]
	if c == nil {
		return false
	}
	sum, n := 0.0, 0
	for _, other := range s.customers {
		if now.Sub(other.asked) <= askedFor {
			sum += other.decayed(now)
			n++
		}
	}
	return n > 1 && c.decayed(now) > sum/float64(n)+overBy
}
