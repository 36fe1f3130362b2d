package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bellgap/bellgap/internal/demand"
)

const (
	// settleTime is the time constant with which ratios follow what the sums ask for. With 0.3 s, a simulated
	// greedy customer took more of the others in the first seconds of its overload.
	settleTime = 100 * time.Millisecond
	// maxCustomerShares bounds the customers in a reply for each service. Those that ask most are kept.
	maxCustomerShares = 64
	// roundTo is the precision of fractions in messages.
	roundTo = 1000
	// limitedBelow is the ratio below which a customer counts as limited and is part of the reply.
	limitedBelow = 0.999
)

// DividerConfig configures a Divider.
type DividerConfig struct {
	// ByCustomer is set if customers are limited by their level. Those below it are then not limited by urgency.
	ByCustomer bool
	// Weight returns the weight of a customer. ok is false if the configuration has no such customer; such rows are not limited by customer and do not take
	// a part of the others.
	Weight func(customer string) (weight float64, ok bool)
}

// Divider calculates shares from the sums of the demand, and smooths how they change. It is not safe for concurrent use.
type Divider struct {
	cfg      DividerConfig
	services map[string]*state
}

// state is what a Divider keeps of a service between two calculations.
type state struct {
	classes   map[int]float64
	customers map[string]float64
}

// NewDivider returns a Divider.
func NewDivider(cfg DividerConfig) *Divider { return &Divider{cfg: cfg, services: map[string]*state{}} }

// Divide returns the shares of each settled service by urgency and, while it is short, of the customers that are limited. elapsed is the time since the last
// call.
func (d *Divider) Divide(sums []demand.ServiceSum, elapsed time.Duration) []demand.Share {
	var shares []demand.Share
	states := make(map[string]*state, len(sums))
	for _, s := range sums {
		if !s.Settled {
			continue
		}
		st := d.services[s.Service]
		if st == nil || !IsShort(s) {
			st = &state{}
		}
		states[s.Service] = st
		if !IsShort(s) {
			shares = append(shares, classShares(s, nil)...)
			continue
		}
		st.customers = stepToward(st.customers, d.customerTargets(s), elapsed)
		st.classes = stepToward(st.classes, urgencyTargets(s, d.limitedPart(s, st.customers)), elapsed)
		shares = append(shares, classShares(s, st.classes)...)
		shares = append(shares, customerShares(s, st.customers)...)
	}
	d.services = states
	return shares
}

// stepToward returns the ratios after a step from the previous ones towards the targets. Without a previous ratio, it starts at 1.
func stepToward[K comparable](previous, targets map[K]float64, elapsed time.Duration) map[K]float64 {
	step := stepOf(elapsed, settleTime)
	next := make(map[K]float64, len(targets))
	for k, target := range targets {
		from, ok := previous[k]
		if !ok {
			from = 1
		}
		next[k] = from + step*(target-from)
	}
	return next
}

// stepOf returns the part of a difference that is made up for in a time, with a time constant.
func stepOf(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/constant.Seconds())
}

// limitedPart returns the part of the requests to which the rule for urgencies applies: all but those of customers below their level.
func (d *Divider) limitedPart(s demand.ServiceSum, ratios map[string]float64) float64 {
	if !d.cfg.ByCustomer {
		return 1
	}
	limited, all := 0.0, 0.0
	for _, c := range s.Customers {
		passed := c.Asked - c.OverCustomer
		all += passed
		if ratio, ok := ratios[c.Customer]; c.Customer == "" || (ok && ratio < limitedBelow) {
			limited += passed
		}
	}
	if limited <= 0 {
		return 1
	}
	return limited / all
}

// urgencyTargets returns the ratios of the classes. The requests to which the rule applies are only a part of each class, so they are restricted by more.
// Even if all of them are restricted, no class has less unrestricted than its ratio.
func urgencyTargets(s demand.ServiceSum, limitedPart float64) map[int]float64 {
	targets := map[int]float64{}
	for i, ratio := range UrgencyRatios(s.Classes) {
		targets[s.Classes[i].Urgency] = max(0, 1-(1-ratio)/limitedPart)
	}
	return targets
}

// customerTargets returns the ratios of the customers that the configuration has. What engines took of them is what the fleet can serve: restricted
// requests fill any room that is left, so it grows with the room.
func (d *Divider) customerTargets(s demand.ServiceSum) map[string]float64 {
	var names []string
	var claims []Claim
	taken := 0.0
	for _, c := range s.Customers {
		weight, ok := d.cfg.Weight(c.Customer)
		if c.Customer == "" || !ok || c.AskedTokens <= 0 {
			continue
		}
		names, claims = append(names, c.Customer), append(claims, Claim{Asked: c.AskedTokens, Weight: weight})
		taken += c.ServedTokens
	}
	targets := make(map[string]float64, len(names))
	for i, ratio := range CustomerRatios(claims, taken) {
		targets[names[i]] = ratio
	}
	return targets
}

// classShares returns the shares by urgency. Without ratios, no requests are restricted.
func classShares(s demand.ServiceSum, ratios map[int]float64) []demand.Share {
	shares := make([]demand.Share, 0, len(s.Classes))
	for _, c := range s.Classes {
		sh := newShare(s.Service, c.Sum)
		sh.Urgency = c.Urgency
		if ratio, ok := ratios[c.Urgency]; ok {
			sh.Admit = round(ratio)
		}
		shares = append(shares, sh)
	}
	return shares
}

// customerShares returns the shares of the customers that are limited, those that ask most first.
func customerShares(s demand.ServiceSum, ratios map[string]float64) []demand.Share {
	var shares []demand.Share
	for _, c := range s.Customers {
		if ratio, ok := ratios[c.Customer]; ok && ratio < limitedBelow {
			sh := newShare(s.Service, c.Sum)
			sh.Customer, sh.Admit = c.Customer, round(ratio)
			shares = append(shares, sh)
		}
	}
	slices.SortFunc(shares, func(a, b demand.Share) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Customer, b.Customer))
	})
	return shares[:min(len(shares), maxCustomerShares)]
}

func newShare(service string, sum demand.Sum) demand.Share {
	return demand.Share{Service: service, Asked: round(sum.Asked / demand.Window.Seconds()), Served: round(sum.Served / max(sum.Asked, 1)), Admit: 1}
}

func round(v float64) float64 { return math.Round(v*roundTo) / roundTo }
