package demand_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/demand"
)

var start = time.Unix(1000, 0)

// sumDivider returns a share with the number of requests of each service.
type sumDivider struct{}

func (sumDivider) Divide(sums []demand.ServiceSum, _ time.Duration) []demand.Share {
	var shares []demand.Share
	for _, s := range sums {
		shares = append(shares, demand.Share{Service: s.Service, Asked: s.Total().Asked, Admit: 1})
	}
	return shares
}

func newExchange() *demand.Exchange {
	return demand.NewExchange(demand.ExchangeConfig{NewDivider: func() demand.Divider { return sumDivider{} }, Scope: tally.NoopScope})
}

// TestCounterIsBounded checks that many customers take a bounded number of rows, and that nothing that was asked is lost.
func TestCounterIsBounded(t *testing.T) {
	c := qt.New(t)
	counter := demand.NewCounter()
	for i := range 20000 {
		counter.Add(demand.Row{Service: "s", Urgency: i % 3, Customer: fmt.Sprint("customer-", i), Asked: 1, OverCustomer: 1})
	}
	rows, asked, over := counter.Take(), 0, 0
	for _, r := range rows {
		asked, over = asked+r.Asked, over+r.OverCustomer
	}
	c.Check(len(rows) < 1100, qt.IsTrue)
	c.Check(asked, qt.Equals, 20000)
	c.Check(over, qt.Equals, 20000)
}

func TestCollectResetsCounts(t *testing.T) {
	c := qt.New(t)
	e := newExchange()
	for _, outcome := range []demand.Outcome{demand.Served, demand.Unserved, demand.OverUrgency, demand.OverCustomer} {
		e.Record(start, demand.Request{Service: "s", Urgency: 10, Customer: "c", Tokens: 100, Outcome: outcome})
	}
	c.Check(e.Collect(start), qt.DeepEquals, []demand.Row{{
		Service: "s", Urgency: 10, Customer: "c", Asked: 4, Served: 1, AskedTokens: 400, ServedTokens: 100,
		OverUrgency: 1, OverCustomer: 1, OverUrgencyTokens: 100, OverCustomerTokens: 100,
	}})
	c.Check(e.Collect(start), qt.HasLen, 0)
}

// TestWindow checks that rows count for Window only.
func TestWindow(t *testing.T) {
	c := qt.New(t)
	totals := demand.NewTotals(tally.NoopScope)
	for i := range 40 {
		totals.Merge(start.Add(time.Duration(i)*250*time.Millisecond), "a", []demand.Row{{Service: "s", Asked: 1, AskedTokens: 1}})
	}
	end := start.Add(39 * 250 * time.Millisecond)
	c.Check(totals.Sums(end)[0].Total().Asked, qt.Equals, 9.0)
	c.Check(totals.Sums(end)[0].Settled, qt.IsTrue)
	c.Check(totals.Sums(end.Add(3*time.Second)), qt.HasLen, 0)
}

// TestImpossibleRows checks that rows which no box can have counted are dropped or scaled down.
func TestImpossibleRows(t *testing.T) {
	for _, test := range []struct {
		name string
		row  demand.Row
		most float64
	}{
		{"more served than asked", demand.Row{Service: "s", Asked: 1, AskedTokens: 1, Served: 2}, 0},
		{"negative", demand.Row{Service: "s", Asked: 1, AskedTokens: 1, Served: -1}, 0},
		{"too many tokens for a request", demand.Row{Service: "s", Asked: 1, AskedTokens: 1 << 30}, 0},
		{"no service", demand.Row{Asked: 1, AskedTokens: 1}, 0},
		{"a flood", demand.Row{Service: "s", Asked: 1e9, AskedTokens: 1e9}, 20000},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			scope := tally.NewTestScope("", nil)
			totals := demand.NewTotals(scope)
			for range 3 {
				totals.Merge(start, "a", []demand.Row{test.row})
			}
			asked := 0.0
			for _, s := range totals.Sums(start) {
				asked += s.Total().Asked
			}
			c.Check(asked <= test.most, qt.IsTrue, qt.Commentf("%v", asked))
			c.Check(scope.Snapshot().Counters(), qt.HasLen, 1)
		})
	}
}

// TestSharesInForce checks which shares a box uses while replies come, after they stop, and what a new coordinator returns.
func TestSharesInForce(t *testing.T) {
	c := qt.New(t)
	coordinator, b := newExchange(), newExchange()
	row := []demand.Row{{Service: "s", Urgency: 10, Asked: 7, AskedTokens: 7}}
	b.Record(start, demand.Request{Service: "s", Urgency: 10})
	coordinator.Merge(start, "b", row)
	c.Check(coordinator.Shares(start), qt.HasLen, 0, qt.Commentf("a new coordinator does not know the last 2 s"))
	at := start
	for at.Before(start.Add(2 * time.Second)) {
		at = at.Add(400 * time.Millisecond)
		coordinator.Merge(at, "b", row)
	}
	b.Apply(at, at, coordinator.Shares(at))
	c.Check(b.View(at.Add(time.Second)).FromFleet, qt.IsTrue)
	c.Check(b.Shares(at.Add(time.Second)), qt.HasLen, 1, qt.Commentf("an aggregator returns what it has applied"))
	b.Record(at.Add(2*time.Second), demand.Request{Service: "s", Urgency: 10})
	own := b.View(at.Add(2100 * time.Millisecond))
	c.Check(own.FromFleet, qt.IsFalse)
	c.Check(own.All()[0].Asked, qt.Equals, 1.0)
	c.Check(b.Shares(at.Add(3*time.Second)), qt.HasLen, 0, qt.Commentf("own rows are not passed on"))
	b.Apply(at.Add(3*time.Second), at.Add(-time.Second), nil)
	c.Check(b.View(at.Add(3*time.Second)).FromFleet, qt.IsFalse, qt.Commentf("a reply without shares is no knowledge"))
}
