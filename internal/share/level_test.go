package share_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/demand"
	"github.com/bellgap/bellgap/internal/share"
)

func TestCustomerRatios(t *testing.T) {
	for _, test := range []struct {
		name     string
		claims   []share.Claim
		capacity float64
		level    float64
		ratios   []float64
	}{
		{"all fit", []share.Claim{{10, 1}, {20, 1}}, 30, math.Inf(1), []float64{1, 1}},
		{"one asks too much", []share.Claim{{10, 1}, {10, 1}, {100, 1}}, 60, 40, []float64{1, 1, 0.4}},
		{"the rest of small claims goes to the others", []share.Claim{{1, 1}, {20, 1}, {20, 1}}, 21, 10, []float64{1, 0.5, 0.5}},
		{"weights", []share.Claim{{100, 3}, {100, 1}}, 40, 10, []float64{0.3, 0.1}},
		{"nothing is served", []share.Claim{{10, 1}}, 0, 0, []float64{0}},
		{"no claims", nil, 10, math.Inf(1), []float64{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(share.Level(test.claims, test.capacity), qt.Equals, test.level)
			c.Check(share.CustomerRatios(test.claims, test.capacity), qt.DeepEquals, test.ratios)
		})
	}
}

func TestUrgencyRatios(t *testing.T) {
	class := func(asked, served, overUrgency float64) demand.ClassSum {
		return demand.ClassSum{Sum: demand.Sum{Asked: asked, Served: served, OverUrgency: overUrgency}}
	}
	for _, test := range []struct {
		name    string
		classes []demand.ClassSum
		low     float64
		high    float64
	}{
		{"the more urgent class is served better", []demand.ClassSum{class(1000, 900, 0), class(1000, 500, 0)}, 1, 1},
		{"the more urgent class is served worse", []demand.ClassSum{class(1000, 500, 0), class(1000, 900, 0)}, 0.5, 0.56},
		{"a limit does not lift itself", []demand.ClassSum{class(1000, 500, 0), class(1000, 600, 330)}, 0.5, 0.6},
		{"two restrictions of a rare class limit little", []demand.ClassSum{class(4, 2, 0), class(1000, 1000, 0)}, 0.7, 0.76},
		{"the least part is admitted whatever the others get", []demand.ClassSum{class(1e6, 0, 0), class(100, 100, 0)}, 0.1, 0.1},
	} {
		t.Run(test.name, func(t *testing.T) {
			ratios := share.UrgencyRatios(test.classes)
			qt.Check(t, ratios[0], qt.Equals, 1.0)
			qt.Check(t, ratios[1] >= test.low && ratios[1] <= test.high, qt.IsTrue, qt.Commentf("%.3f", ratios[1]))
		})
	}
}

func TestGate(t *testing.T) {
	now := time.Unix(1000, 0)
	shares := []demand.Share{
		{Service: service, Urgency: 10, Asked: 50, Served: 0.5, Admit: 1},
		{Service: service, Urgency: 8, Asked: 50, Served: 0.5, Admit: 0.5},
		{Service: service, Customer: "greedy", Asked: 50, Served: 0.2, Admit: 0.2},
	}
	for _, test := range []struct {
		name                  string
		urgency               int
		customer              string
		random                float64
		byUrgency, byCustomer bool
		want                  share.Reason
	}{
		{"most urgent", 10, "", 0.9, true, true, ""},
		{"less urgent", 8, "", 0.6, true, true, share.ReasonUrgency},
		{"less urgent, within the ratio", 8, "", 0.4, true, true, ""},
		{"less urgent, rule off", 8, "", 0.6, false, true, ""},
		{"greedy customer", 10, "greedy", 0.3, true, true, share.ReasonCustomer},
		{"greedy customer, rule off", 10, "greedy", 0.3, true, false, ""},
		{"customer below its level", 8, "small", 0.6, true, true, ""},
		{"unknown class", 5, "", 0.99, true, true, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			exchange := demand.NewExchange(demand.ExchangeConfig{Scope: tally.NoopScope, NewDivider: func() demand.Divider { return nil }})
			exchange.Apply(now, now, shares)
			gate := share.NewGate(share.GateConfig{
				View: exchange.View, ByUrgency: test.byUrgency, ByCustomer: test.byCustomer, Random: func() float64 { return test.random }, Scope: tally.NoopScope,
			})
			restriction := gate.Check(now, service, test.urgency, test.customer)
			if test.want == "" {
				c.Check(restriction, qt.IsNil)
				return
			}
			c.Assert(restriction, qt.IsNotNil)
			c.Check(restriction.Reason, qt.Equals, test.want)
			c.Check(gate.Shortages(now), qt.HasLen, 1)
		})
	}
}

// TestRoomIsSoonerForUrgentRequests checks the bounds and the order of retry times.
func TestRoomIsSoonerForUrgentRequests(t *testing.T) {
	c := qt.New(t)
	for _, ratio := range []float64{-1, 0, 0.3, 0.9, 1, 2} {
		urgent, other := share.Room(ratio, 0), share.Room(ratio, 1)
		c.Check(urgent >= 500*time.Millisecond && urgent <= other && other <= 3*time.Second, qt.IsTrue, qt.Commentf("%v: %s, %s", ratio, urgent, other))
	}
	c.Check(share.Room(0.1, 1) > share.Room(0.9, 1), qt.IsTrue)
}
