package relay

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/customer"
	"github.com/bellgap/bellgap/internal/demand"
	"github.com/bellgap/bellgap/internal/grant"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/quota"
	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/share"
)

// setShare makes the relay admit a fraction of the requests for service s.
func setShare(r *Relay, admit float64) {
	r.cfg.Demand = demand.NewExchange(demand.ExchangeConfig{
		Scope: tally.NoopScope, NewDivider: func() demand.Divider { return share.NewDivider(share.DividerConfig{}) },
	})
	r.cfg.Demand.Apply(clock.Now(), clock.Now(), []demand.Share{{Service: "s", Urgency: urgencyBase, Asked: 100, Served: 0.5, Admit: admit}})
	r.cfg.Gate = share.NewGate(share.GateConfig{
		View: r.cfg.Demand.View, ByUrgency: true, ByCustomer: true, Random: func() float64 { return 0.5 }, Scope: tally.NoopScope,
	})
}

// TestOverShareIsRefusedBeforeOwnersAreAsked checks what the caller gets, that no owner is asked, and how the request is counted.
func TestOverShareIsRefusedBeforeOwnersAreAsked(t *testing.T) {
	for _, test := range []struct {
		name        string
		scarceSlots int
		admit       float64
		status      int
		rows        []demand.Row
	}{
		{"over its share", 4, 0.1, http.StatusServiceUnavailable, []demand.Row{{Service: "s", Urgency: urgencyBase, Asked: 1, AskedTokens: 20, OverUrgency: 1, OverUrgencyTokens: 20}}},
		{"within its share", 4, 0.9, http.StatusOK, []demand.Row{{Service: "s", Urgency: urgencyBase, Asked: 1, AskedTokens: 20, Served: 1, ServedTokens: 20}}},
		{"engines are not scarce", 3, 0.1, http.StatusOK, []demand.Row{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var asked atomic.Int64
			w := startTwoEngines(c, func(_ *twoEngines, rw http.ResponseWriter, _ *grant.Request) {
				asked.Add(1)
				httpx.WriteJSON(rw, http.StatusOK, map[string]any{"id": 1})
			}, func(string) {})
			w.catalog.SetScarceSlots(test.scarceSlots)
			setShare(w.relay, test.admit)
			answer := w.sendRequest()
			c.Check(answer.Code, qt.Equals, test.status)
			c.Check(w.relay.cfg.Demand.Collect(clock.Now()), qt.DeepEquals, test.rows)
			if test.status != http.StatusOK {
				c.Check(asked.Load(), qt.Equals, int64(0))
				rerr, ok := result.Decode(answer.Body.Bytes())
				c.Assert(ok, qt.IsTrue)
				c.Check(rerr.Code, qt.Equals, result.OverShare)
				c.Check(answer.Header().Get(result.HeaderRan), qt.Equals, "no")
				c.Check(rerr.RetryAfter >= 500*time.Millisecond && rerr.RetryAfter <= 6*time.Second, qt.IsTrue)
			}
		})
	}
}

// TestOverShareReturnsUnits guards against refusals over a share that use up the quota of the customer. The quota starts with a third of its burst, which
// is less than what the requests cost.
func TestOverShareReturnsUnits(t *testing.T) {
	c := qt.New(t)
	w := startTwoEngines(c, nil, func(string) {})
	w.catalog.SetScarceSlots(4)
	setShare(w.relay, 0)
	w.relay.cfg.Gate = share.NewGate(share.GateConfig{View: w.relay.cfg.Demand.View, ByUrgency: true, Random: func() float64 { return 0.5 }, Scope: tally.NoopScope})
	w.relay.cfg.Quotas = quota.NewClient(quota.ClientConfig{Accountable: soleBoxCell{}, Ledger: quota.NewLedger(quota.LedgerConfig{}), Scope: tally.NoopScope})
	mill := &customer.Customer{Name: "mill", Quota: customer.Quota{Unit: customer.UnitRequests, Rate: 0.001, Burst: 10}}
	in, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/x", nil)
	c.Assert(err, qt.IsNil)
	rt, _ := w.catalog.Topology().Routes.Lookup("h", "/x")
	for range 20 {
		q := &request{incoming: in, route: rt, service: "s", customer: mill, receivedAt: clock.Now()}
		c.Assert(w.relay.chargeUnits(q) == nil, qt.IsTrue)
		rerr := w.relay.checkShare(q)
		c.Assert(rerr, qt.IsNotNil)
		c.Check(rerr.Code, qt.Equals, result.OverShare)
	}
}

// TestEndsThatAreNotDemand checks which requests do not count as asked.
func TestEndsThatAreNotDemand(t *testing.T) {
	for _, info := range result.All() {
		notAsked := info.Code == result.CallerGone || info.Code == result.Quarantined || info.Code == result.Unauthorized || info.Code == result.ConfigOld
		qt.Check(t, countsAsAsked(info.Code), qt.Equals, !notAsked, qt.Commentf("%s", info.Name))
	}
}
