package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bellgap/bellgap/internal/demand"
)

const (
	// settleTime is the time constant with which ratios follow what the sums ask for. It is about the age of the sums, whose window is 2 s; faster changes
	// would react to the effect of earlier ones that the sums do not show yet.
	settleTime = time.Second
	// maxCustomerShares bounds the customers in a reply for each service. Those that ask most are kept.
	maxCustomerShares = 64
	// roundTo is the precision of fractions in messages.
	roundTo = 1000
	// limitedBelow is the ratio below which a customer counts as limited and is part of the reply.
	limitedBelow = 0.999
)

// DividerConfig configures a Divider.
type DividerConfig struct {
	// Weight returns the weight of a customer. ok is false if the configuration has no such customer; such rows are not limited by customer and do not take
	// a part of the others.
	Weight func(customer string) (weight float64, ok bool)
}

// Divider calculates shares from the sums of the demand.
type Divider struct {
	cfg DividerConfig
}

// NewDivider returns a Divider.
func NewDivider(cfg DividerConfig) *Divider { return &Divider{cfg: cfg} }

// Divide returns the shares of each settled service by urgency and, while it is short, of the customers that are limited. previous are the shares that it returned the
// given time before. It implements demand.Divide.
func (d *Divider) Divide(sums []demand.ServiceSum, previous []demand.Share, elapsed time.Duration) []demand.Share {
	var shares []demand.Share
	for _, s := range sums {
		if !s.Settled {
			continue
		}
		p := pace{service: s.Service, previous: previous, step: 1 - math.Exp(-elapsed.Seconds()/settleTime.Seconds())}
		short := IsShort(s)
		shares = append(shares, classShares(s, short, p)...)
		if short {
			shares = append(shares, d.customerShares(s, p)...)
		}
	}
	return shares
}

// pace limits how fast the ratios of a service change.
type pace struct {
	service  string
	previous []demand.Share
	step     float64
}

// toward returns the ratio of a share after one step from its previous ratio towards a target.
func (p pace) toward(urgency int, customer string, target float64) float64 {
	from := 1.0
	for _, s := range p.previous {
		if s.Service == p.service && s.Customer == customer && (customer != "" || s.Urgency == urgency) {
			from = s.Admit
		}
	}
	return from + p.step*(target-from)
}

func classShares(s demand.ServiceSum, short bool, p pace) []demand.Share {
	ratios := UrgencyRatios(s.Classes)
	shares := make([]demand.Share, 0, len(s.Classes))
	for i, c := range s.Classes {
		sh := newShare(s.Service, c.Sum)
		sh.Urgency, sh.Admit = c.Urgency, 1
		if short {
			sh.Admit = round(p.toward(c.Urgency, "", ratios[i]))
		}
		shares = append(shares, sh)
	}
	return shares
}

// customerShares returns the shares of the customers that are limited, those that ask most first.
func (d *Divider) customerShares(s demand.ServiceSum, p pace) []demand.Share {
	var named []demand.CustomerSum
	var claims []Claim
	var total demand.Sum
	for _, c := range s.Customers {
		weight, ok := d.cfg.Weight(c.Customer)
		if c.Customer == "" || !ok || c.AskedTokens <= 0 {
			continue
		}
		named, claims = append(named, c), append(claims, Claim{Asked: c.AskedTokens, Weight: weight})
		total.Add(c.Sum)
	}
	var shares []demand.Share
	for i, ratio := range CustomerRatios(claims, Capacity(total)) {
		sh := newShare(s.Service, named[i].Sum)
		sh.Customer = named[i].Customer
		if sh.Admit = round(p.toward(0, sh.Customer, ratio)); sh.Admit < limitedBelow {
			shares = append(shares, sh)
		}
	}
	slices.SortFunc(shares, func(a, b demand.Share) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Customer, b.Customer))
	})
	return shares[:min(len(shares), maxCustomerShares)]
}

func newShare(service string, sum demand.Sum) demand.Share {
	return demand.Share{Service: service, Asked: round(sum.Asked / demand.Window.Seconds()), Served: round(sum.Served / max(sum.Asked, 1))}
}

func round(v float64) float64 { return math.Round(v*roundTo) / roundTo }
