package relay

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/choice"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/engineload"
	"github.com/bellgap/bellgap/internal/grant"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/placement"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// fakeLoads holds reports that are all true at the same time.
type fakeLoads struct {
	reports map[string]engineload.Report
	trueAt  time.Time
}

// Get implements EngineLoads.
func (f *fakeLoads) Get(now time.Time, engine string, started int64) (engineload.Report, time.Duration, bool) {
	report, ok := f.reports[engine]
	return report, now.Sub(f.trueAt), ok && report.Started == started
}

// TestCandidatesByLoad guards against asking a busy engine first, and against a changed order where reports must not be used. Both
// engines hold the adapter version. The first one of the hash order has a backlog of 400 ms.
func TestCandidatesByLoad(t *testing.T) {
	order := placement.Rank("base.a@1", []string{"e0", "e1"})
	for _, tt := range []struct {
		name string
		// scarceSlots selects scarce engines. These have four slots.
		scarceSlots int
		off         []policy.Mechanism
		age         time.Duration
		started     int64
		missing     bool
		wantFirst   string
		wantCounted string
	}{
		{name: "scarce", scarceSlots: 4, wantFirst: order[1], wantCounted: "reports"},
		{name: "without weights by speed", scarceSlots: 4, off: []policy.Mechanism{policy.SpeedWeight}, wantFirst: order[1], wantCounted: "reports"},
		{name: "not scarce", scarceSlots: 3, wantFirst: order[0]},
		{name: "switched off", scarceSlots: 4, off: []policy.Mechanism{policy.EngineLoads}, wantFirst: order[0]},
		{name: "reports 5 s old", scarceSlots: 4, age: 5 * time.Second, wantFirst: order[0], wantCounted: "hash"},
		{name: "both engines have restarted since", scarceSlots: 4, started: 7, wantFirst: order[0], wantCounted: "hash"},
		{name: "no reports", scarceSlots: 4, missing: true, wantFirst: order[0], wantCounted: "hash"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := startTwoEngines(c, func(*twoEngines, http.ResponseWriter, *grant.Request) {}, func(string) {})
			w.catalog.SetScarceSlots(tt.scarceSlots)
			scope := tally.NewTestScope("", nil)
			loads := &fakeLoads{trueAt: clock.Now().Add(-tt.age), reports: map[string]engineload.Report{}}
			if !tt.missing {
				loads.reports[order[0]] = engineload.Report{PrefillRate: 10000, Backlog: 4000, FreeSlots: 1, Started: tt.started}
				loads.reports[order[1]] = engineload.Report{PrefillRate: 10000, FreeSlots: 1, Started: tt.started}
			}
			w.relay.cfg.Loads, w.relay.cfg.Scope = loads, scope
			var err error
			w.relay.cfg.Policy, err = policy.New(tt.off)
			c.Assert(err, qt.IsNil)
			q, ref := newAdapterRequest()
			for _, name := range order {
				w.relay.holdings.add(ref, name, q.receivedAt)
			}
			got := w.relay.candidates(q, ref, nil)
			c.Assert(got, qt.HasLen, 2)
			c.Check(got[0].name, qt.Equals, tt.wantFirst)
			c.Check(got[0].byReports, qt.Equals, tt.wantCounted == "reports")
			counters := scope.Snapshot().Counters()
			if tt.wantCounted == "" {
				c.Check(counters, qt.HasLen, 0)
				return
			}
			c.Check(counters["engine_choices+by="+tt.wantCounted].Value(), qt.Equals, int64(1))
		})
	}
}

// newAdapterRequest returns a request of 1,000 prompt tokens for an adapter of the engines of startTwoEngines.
func newAdapterRequest() (*request, resource.Ref) {
	q := &request{
		service: "s", receivedAt: clock.Now(), deadline: clock.Now().Add(time.Second), head: Head{Model: "base", Adapter: "a", Prompt: 1000, Output: 10},
		route: &resource.Route{Objective: resource.Duration(time.Second)},
	}
	return q, resource.Ref{Adapter: "base.a", Version: "1"}
}

// TestOwnerDecidesAndSendIsCounted guards against overriding an owner's answer by its report, and against requests of this box that do
// not count until the next report. The engine that should start first refuses the request.
func TestOwnerDecidesAndSendIsCounted(t *testing.T) {
	c := qt.New(t)
	w := startTwoEngines(c, func(_ *twoEngines, rw http.ResponseWriter, req *grant.Request) {
		if req.Engine == "e1" {
			httpx.WriteJSON(rw, http.StatusOK, map[string]any{"id": 1})
			return
		}
		offer := result.New(result.Crowded, "")
		offer.RetryAfter = 700 * time.Millisecond
		offer.Write(rw, "")
	}, func(string) {})
	w.catalog.SetScarceSlots(4)
	loads := &fakeLoads{trueAt: clock.Now(), reports: map[string]engineload.Report{
		"e0": {PrefillRate: 10000, FreeSlots: 1, LoadTime: time.Second}, "e1": {PrefillRate: 10000, Backlog: 2000, FreeSlots: 1, LoadTime: time.Second},
	}}
	w.relay.cfg.Loads = loads
	q, ref := newAdapterRequest()
	w.relay.holdings.add(ref, "e0", q.receivedAt)
	engine, rerr := w.relay.chooseEngine(t.Context(), q, ref, map[string]bool{})
	c.Assert(rerr == nil, qt.IsTrue, qt.Commentf("%v", rerr))
	c.Check(engine.name, qt.Equals, "e1")
	tries := strings.Join(q.tries, " ")
	c.Check(tries, qt.Matches, `far/e0=crowded:700ms,expected:1\d\dms far/e1=granted,expected:1.1s`)
	c.Check(w.relay.sends.since("e1", 0, loads.trueAt), qt.Equals, choice.Sent{Tokens: 1000, Loads: 1})
	c.Check(w.relay.sends.since("e1", 0, clock.Now()), qt.Equals, choice.Sent{}, qt.Commentf("a newer report includes the request"))
	c.Check(w.relay.sends.since("e1", 9, loads.trueAt), qt.Equals, choice.Sent{}, qt.Commentf("the engine has restarted since"))
	c.Check(w.relay.holdings.has(ref, "e1", clock.Now()), qt.IsTrue)
}

// TestFurtherEnginesAreAskedLast guards against loading another copy on a further engine while an engine before it can start the request
// in time, and against refusing a request while a further engine has room.
func TestFurtherEnginesAreAskedLast(t *testing.T) {
	far := candidate{further: true}
	near := candidate{}
	late, inTime := offer{wait: time.Second}, offer{wait: 100 * time.Millisecond}
	for _, tt := range []struct {
		name      string
		candidate *candidate
		offers    offers
		asked     int
		want      bool
	}{
		{"first engines are late", &far, offers{download: &late}, maxCandidates, true},
		{"a first engine is in time", &far, offers{download: &inTime}, maxCandidates, false},
		{"first engines skipped, one is in time", &far, offers{download: &inTime}, 1, false},
		{"another one after the first engines", &near, offers{download: &late}, maxCandidates, false},
		{"one of the first engines", &near, offers{download: &inTime}, maxCandidates - 1, true},
		{"all copies are late", &near, offers{local: &late}, maxCandidates, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			tt.offers.inTime = 500 * time.Millisecond
			c.Check((&Relay{}).shouldAsk(tt.candidate, &tt.offers, tt.asked), qt.Equals, tt.want)
		})
	}
}

// TestWeightsUseUndisturbedRate guards against moving the adapters of a busy engine to others: its mean prefill rate falls.
func TestWeightsUseUndisturbedRate(t *testing.T) {
	c := qt.New(t)
	loads := &fakeLoads{trueAt: clock.Now(), reports: map[string]engineload.Report{
		"busy": {PrefillRate: 5000, UndisturbedRate: 20000}, "idle": {PrefillRate: 20000, UndisturbedRate: 20000}, "slow": {PrefillRate: 10000, UndisturbedRate: 10000},
	}}
	endpoints := []catalog.EndpointView{{Name: "busy", Spec: &resource.Endpoint{}}, {Name: "idle", Spec: &resource.Endpoint{}}, {Name: "slow", Spec: &resource.Endpoint{}}}
	weights := newSpeeds().weights(clock.Now(), "s", endpoints, loads)
	c.Check(weights.of("busy"), qt.Equals, weights.of("idle"))
	c.Check(weights.of("slow") < weights.of("idle"), qt.IsTrue)
}
