package relay

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/grant"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/resource"
)

// TestLatestStart checks the latest start of a request that arrived 0.3 s ago, with an objective of 1 s.
func TestLatestStart(t *testing.T) {
	c := qt.New(t)
	w := startTwoEngines(c, func(*twoEngines, http.ResponseWriter, *grant.Request) {}, func(string) {})
	off, err := policy.New([]policy.Mechanism{policy.InTimeStarts})
	c.Assert(err, qt.IsNil)
	const scarce, plentiful = 4, 3
	for _, tt := range []struct {
		name        string
		scarceSlots int
		policy      policy.Policy
		change      func(q *request)
		want        time.Duration
	}{
		{name: "scarce", scarceSlots: scarce, want: 700 * time.Millisecond},
		{name: "not scarce", scarceSlots: plentiful, want: 1200 * time.Millisecond},
		{name: "switched off", scarceSlots: scarce, policy: off, want: 1200 * time.Millisecond},
		{name: "deadline before the objective", scarceSlots: scarce, change: func(q *request) { q.deadline = q.receivedAt.Add(400 * time.Millisecond) }, want: 100 * time.Millisecond},
		{name: "sent before without a run", scarceSlots: scarce, change: func(q *request) { q.arrivals = 1 }, want: 700 * time.Millisecond},
		{name: "continuation", scarceSlots: scarce, change: func(q *request) { q.possibleRuns, q.continueBy = 1, q.receivedAt.Add(2*time.Second) }, want: 1700 * time.Millisecond},
		{name: "continuation without a limit of its own", scarceSlots: scarce, change: func(q *request) { q.possibleRuns = 1 }, want: 1200 * time.Millisecond},
		{name: "prompt of half an objective", scarceSlots: scarce, change: func(q *request) { q.head.Prompt = 500 }, want: 700 * time.Millisecond},
		{name: "prompt of over half an objective", scarceSlots: scarce, change: func(q *request) { q.head.Prompt = 501 }, want: 1200 * time.Millisecond},
		{name: "search for a continuation", scarceSlots: scarce, change: func(q *request) { q.needsGrant = true }, want: 1200 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w.catalog.SetScarceSlots(tt.scarceSlots)
			w.relay.cfg.Policy, w.relay.cfg.PrefillRate = tt.policy, 1000
			synctest.Test(t, func(*testing.T) {
				q := &request{
					service: "s", receivedAt: clock.Now().Add(-300 * time.Millisecond), deadline: clock.Now().Add(5 * time.Second),
					route: &resource.Route{Kind: resource.RouteStream, Objective: resource.Duration(time.Second)},
				}
				if tt.change != nil {
					tt.change(q)
				}
				c.Check(w.relay.newGrantRequest(q, resource.Ref{}).StartIn, qt.Equals, tt.want)
			})
		})
	}
}
