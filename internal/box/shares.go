package box

import (
	mathrand "math/rand/v2"

	"github.com/bellgap/bellgap/internal/demand"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/share"
)

// undeclaredWeight is the weight of a customer whose quota declares no rate.
const undeclaredWeight = 1

// buildShares builds the count of the demand on scarce services and the gate that admits requests by their shares.
func (b *Routed) buildShares() {
	p := b.cfg.Settings.Policy.Build()
	b.demand = demand.NewExchange(demand.ExchangeConfig{
		NewDivider: func() demand.Divider { return share.NewDivider(share.DividerConfig{Weight: b.customerWeight}) }, Scope: b.metrics.Scope,
	})
	b.gate = share.NewGate(share.GateConfig{
		View: b.demand.View, ByUrgency: p.IsEnabled(policy.UrgencyShares), ByCustomer: p.IsEnabled(policy.CustomerShares),
		Random: mathrand.Float64, Scope: b.metrics.Scope,
	})
}

// customerWeight returns the rate that the quota of a customer declares.
func (b *Routed) customerWeight(name string) (weight float64, ok bool) {
	t := b.catalog.Topology().Routes
	if t == nil {
		return 0, false
	}
	c, ok := t.Customers().ByName(name)
	if !ok {
		return 0, false
	}
	if c.Quota.IsLimited() {
		return c.Quota.Rate, true
	}
	return undeclaredWeight, true
}
