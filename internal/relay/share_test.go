package relay

import (
	"net/http"
	"slices"
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
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/share"
)

// setShare makes the relay leave a fraction of the requests for service s unrestricted.
func setShare(r *Relay, admit float64) {
	r.cfg.Demand = demand.NewExchange(demand.ExchangeConfig{
		Scope: tally.NoopScope, NewDivider: func() demand.Divider { return share.NewDivider(share.DividerConfig{}) },
	})
	r.cfg.Demand.Apply(clock.Now(), clock.Now(), []demand.Share{{Service: "s", Urgency: urgencyBase, Asked: 100, Served: 0.5, Admit: admit}})
	r.cfg.Gate = share.NewGate(share.GateConfig{
		View: r.cfg.Demand.View, ByUrgency: true, ByCustomer: true, Random: func() float64 { return 0.5 }, Scope: tally.NoopScope,
	})
}

// TestOverShareTakesOnlySpareRoom guards against refusals while an engine has room, and against requests over their share that take other room. It also
// checks what the caller gets and how the request is counted.
func TestOverShareTakesOnlySpareRoom(t *testing.T) {
	for _, test := range []struct {
		name        string
		scarceSlots int
		admit       float64
		hasRoom     bool
		status      int
		spare       bool
		rows        []demand.Row
	}{
		{"over its share, no room", 4, 0.1, false, http.StatusServiceUnavailable, true, []demand.Row{{Service: "s", Urgency: urgencyBase, Asked: 1, AskedTokens: 20, OverUrgency: 1, OverUrgencyTokens: 20}}},
		{"over its share, room", 4, 0.1, true, http.StatusOK, true, []demand.Row{{Service: "s", Urgency: urgencyBase, Asked: 1, AskedTokens: 20, Served: 1, ServedTokens: 20}}},
		{"within its share", 4, 0.9, true, http.StatusOK, false, []demand.Row{{Service: "s", Urgency: urgencyBase, Asked: 1, AskedTokens: 20, Served: 1, ServedTokens: 20}}},
		{"engines are not scarce", 3, 0.1, true, http.StatusOK, false, []demand.Row{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var asked atomic.Int64
			w := startTwoEngines(c, func(_ *twoEngines, rw http.ResponseWriter, req *grant.Request) {
				asked.Add(1)
				c.Check(req.Spare, qt.Equals, test.spare)
				if !test.hasRoom {
					result.New(result.TryNext, "full").Write(rw, "")
					return
				}
				httpx.WriteJSON(rw, http.StatusOK, map[string]any{"id": 1})
			}, func(string) {})
			w.catalog.SetScarceSlots(test.scarceSlots)
			setShare(w.relay, test.admit)
			answer := w.sendRequest()
			c.Check(answer.Code, qt.Equals, test.status)
			c.Check(w.relay.cfg.Demand.Collect(clock.Now()), qt.DeepEquals, test.rows)
			if test.status != http.StatusOK {
				c.Check(asked.Load(), qt.Equals, int64(2))
				rerr, ok := result.Decode(answer.Body.Bytes())
				c.Assert(ok, qt.IsTrue)
				c.Check(rerr.Code, qt.Equals, result.OverShare)
				c.Check(answer.Header().Get(result.HeaderRan), qt.Equals, "no")
				c.Check(rerr.RetryAfter >= 500*time.Millisecond && rerr.RetryAfter <= 6*time.Second, qt.IsTrue)
			}
		})
	}
}

// TestOverShareWithoutAnswers guards against refusing a request as over its share, and counting it as a lack of capacity, although no engine's owner
// reported one.
func TestOverShareWithoutAnswers(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer result.Code
		avoid  map[string]bool
	}{
		{"no owner", result.NotOwner, nil},
		{"owners do not answer", result.OwnerSilent, nil},
		{"no candidates", result.TryNext, map[string]bool{"e0": true, "e1": true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := startTwoEngines(c, func(_ *twoEngines, rw http.ResponseWriter, _ *grant.Request) {
				result.New(test.answer, "").Write(rw, "")
			}, func(string) {})
			w.catalog.SetScarceSlots(4)
			setShare(w.relay, 0)
			rt, _ := w.catalog.Topology().Routes.Lookup("h", "/x")
			q := &request{route: rt, service: "s", head: Head{Model: "base"}, receivedAt: clock.Now(), deadline: clock.Now().Add(time.Second)}
			w.relay.restrict(q)
			c.Assert(q.restriction, qt.IsNotNil)
			_, rerr := w.relay.chooseSpare(t.Context(), q, resource.Ref{Adapter: "base.a", Version: "1"}, test.avoid)
			c.Assert(rerr, qt.IsNotNil)
			c.Check(isLackOfCapacity(rerr.Code), qt.IsFalse, qt.Commentf("%s", rerr.Code))
			w.relay.countUntaken(q, rerr.Code)
			c.Check(w.relay.cfg.Demand.Collect(clock.Now()), qt.DeepEquals, []demand.Row{})
		})
	}
}

// misdirectedWire is plainWire whose first answer says that the engine does not hold the adapter version.
type misdirectedWire struct {
	plainWire
	answers *atomic.Int64
}

func (w misdirectedWire) ReadAnswer(int, http.Header) AnswerHead {
	return AnswerHead{ID: "id", Signed: true, Misdirected: w.answers.Add(1) == 1}
}

// TestRestrictionOutlivesUntakenTry guards against a restricted request that takes any room after a try that its engine did not take.
func TestRestrictionOutlivesUntakenTry(t *testing.T) {
	c := qt.New(t)
	var asked, spare atomic.Int64
	w := startTwoEngines(c, func(_ *twoEngines, rw http.ResponseWriter, req *grant.Request) {
		asked.Add(1)
		if req.Spare {
			spare.Add(1)
		}
		httpx.WriteJSON(rw, http.StatusOK, map[string]any{"id": 1})
	}, func(string) {})
	w.relay.cfg.Wire = misdirectedWire{answers: &atomic.Int64{}}
	w.catalog.SetScarceSlots(4)
	setShare(w.relay, 0.1)
	c.Check(w.sendRequest().Code, qt.Equals, http.StatusOK)
	c.Check(asked.Load(), qt.Equals, int64(2))
	c.Check(spare.Load(), qt.Equals, int64(2))
	c.Check(w.relay.cfg.Demand.Collect(clock.Now()), qt.DeepEquals, []demand.Row{{Service: "s", Urgency: urgencyBase, Asked: 1, AskedTokens: 20, Served: 1, ServedTokens: 20}})
}

// TestOverShareReturnsUnits guards against refusals over a share that use up the quota of the customer. The quota starts with a third of its burst, which
// is less than what the requests cost.
func TestOverShareReturnsUnits(t *testing.T) {
	c := qt.New(t)
	w := startTwoEngines(c, func(_ *twoEngines, rw http.ResponseWriter, _ *grant.Request) {
		result.New(result.TryNext, "full").Write(rw, "")
	}, func(string) {})
	w.catalog.SetScarceSlots(4)
	setShare(w.relay, 0)
	w.relay.cfg.Quotas = quota.NewClient(quota.ClientConfig{Accountable: soleBoxCell{}, Ledger: quota.NewLedger(quota.LedgerConfig{}), Scope: tally.NoopScope})
	mill := &customer.Customer{Name: "mill", Quota: customer.Quota{Unit: customer.UnitRequests, Rate: 0.001, Burst: 10}}
	in, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/x", nil)
	c.Assert(err, qt.IsNil)
	rt, _ := w.catalog.Topology().Routes.Lookup("h", "/x")
	for range 20 {
		q := &request{incoming: in, route: rt, service: "s", head: Head{Model: "base"}, customer: mill, receivedAt: clock.Now(), deadline: clock.Now().Add(time.Second)}
		c.Assert(w.relay.chargeUnits(q) == nil, qt.IsTrue)
		w.relay.cfg.Gate = share.NewGate(share.GateConfig{View: w.relay.cfg.Demand.View, ByUrgency: true, Random: func() float64 { return 0.5 }, Scope: tally.NoopScope})
		w.relay.restrict(q)
		rerr := w.relay.tryEngines(t.Context(), &output{}, q)
		w.relay.refundUnits(q)
		c.Assert(rerr, qt.IsNotNil)
		c.Check(rerr.Code, qt.Equals, result.OverShare)
	}
}

// TestLackOfCapacity guards against failures for other reasons that make a service count as short.
func TestLackOfCapacity(t *testing.T) {
	want := []result.Code{result.QueueFull, result.DeadlineUnmet, result.RateLimited, result.OverShare, result.TryNext, result.Crowded}
	for _, info := range result.All() {
		qt.Check(t, isLackOfCapacity(info.Code), qt.Equals, slices.Contains(want, info.Code), qt.Commentf("%s", info.Name))
	}
}
