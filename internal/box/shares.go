package box

import (
	mathrand "math/rand/v2"

	"github.com/bellgap/bellgap/internal/demand"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/share"
)

// undeclaredWeight is the weight of each customer if not all declare a rate in the same unit.
const undeclaredWeight = 1

// buildShares builds the count of the demand on scarce services and the gate that restricts requests by their shares.
func (b *Routed) buildShares() {
	p := b.cfg.Settings.Policy.Build()
	b.demand = demand.NewExchange(demand.ExchangeConfig{
		NewDivider: func() demand.Divider {
			return share.NewDivider(share.DividerConfig{Weight: b.customerWeight, ByCustomer: p.IsEnabled(policy.CustomerShares)})
		}, Scope: b.metrics.Scope,
	})
	b.gate = share.NewGate(share.GateConfig{
		View: b.demand.View, ByUrgency: p.IsEnabled(policy.UrgencyShares), ByCustomer: p.IsEnabled(policy.CustomerShares),
		Random: mathrand.Float64, Scope: b.metrics.Scope,
	})
}

// customerWeight returns the rate that the quota of a customer declares, if all customers declare one in the same unit. Rates in different units cannot be
// compared, nor rates with their absence.
func (b *Routed) customerWeight(name string) (weight float64, ok bool) {
	t := b.catalog.Topology().Routes
	if t == nil {
		return 0, false
	}
	customers := t.Customers()
	c, ok := customers.ByName(name)
	if !ok {
		return 0, false
	}
	if customers.HasComparableRates() {
		return c.Quota.Rate, true
	}
	return undeclaredWeight, true
}
