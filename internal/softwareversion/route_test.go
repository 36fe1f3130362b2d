package softwareversion_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/softwareversion"
)

// at returns a route of host h.
func at(prefix string, services ...string) softwareversion.Route {
	return softwareversion.Route{Host: "h", Prefix: prefix, Services: services}
}

// configuration are the routes that are in force from a time after the start.
type configuration struct {
	at     time.Duration
	routes []softwareversion.Route
}

// TestHistoryOfRoutes guards against a history that forgets where the requests for a path were sent, or that calls itself complete although
// services may be missing.
func TestHistoryOfRoutes(t *testing.T) {
	complete := &softwareversion.History{RoutesComplete: true}
	inA := &softwareversion.History{RoutesComplete: true, Routes: []softwareversion.Route{at("/p/", "A")}}
	type routes = []softwareversion.Route
	for _, tt := range []struct {
		name         string
		inherited    *softwareversion.History
		untrusted    bool
		observed     []configuration
		after        time.Duration
		want         []string
		isIncomplete bool
	}{
		{name: "first map", inherited: complete, observed: []configuration{{0, routes{at("/p/", "A")}}}, want: []string{"A"}},
		{name: "split", inherited: complete, observed: []configuration{{0, routes{at("/p/", "B", "A")}}}, want: []string{"A", "B"}},
		{name: "moved", inherited: complete, observed: []configuration{{0, routes{at("/p/", "A")}}, {1, routes{at("/p/", "B")}}}, want: []string{"A", "B"}},
		{name: "inherited", inherited: inA, observed: []configuration{{0, routes{at("/p/", "B")}}}, after: retention, want: []string{"A", "B"}},
		{
			name: "moved long ago", inherited: inA, observed: []configuration{{0, routes{at("/p/", "B")}}, {retention, routes{at("/p/", "B")}}}, after: retention + 1,
			want: []string{"B"},
		},
		{
			name: "a longer prefix is new", inherited: complete, observed: []configuration{{0, routes{at("/", "A")}}, {1, routes{at("/", "A"), at("/p/", "B")}}},
			want: []string{"A", "B"},
		},
		{
			name: "a longer prefix is gone", inherited: complete, observed: []configuration{{0, routes{at("/", "A"), at("/p/", "B")}}, {1, routes{at("/", "A")}}},
			want: []string{"A", "B"},
		},
		{
			name: "a longer prefix was gone for a moment", inherited: complete,
			observed: []configuration{{0, routes{at("/", "A"), at("/p/", "B")}}, {1, routes{at("/", "A")}}, {2, routes{at("/", "C"), at("/p/", "B")}}},
			want:     []string{"A", "B"},
		},
		{
			name: "a route of another prefix in between", inherited: complete,
			observed: []configuration{{0, routes{at("/", "A"), at("/p/x/", "B")}}, {1, routes{at("/", "C"), at("/p/", "B")}}}, want: []string{"A", "B"},
		},
		{name: "other routes", inherited: complete, observed: []configuration{{0, routes{at("/", "A"), at("/p/", "B"), at("/p/longer/", "C")}}}, want: []string{"B"}},
		{name: "another host", inherited: complete, observed: []configuration{{0, routes{{Host: "other", Prefix: "/p/", Services: []string{"A"}}}}}},
		{name: "route gone long ago", inherited: inA, observed: []configuration{{0, nil}}, after: retention + 1},
		{name: "map of an earlier build", inherited: &softwareversion.History{Complete: true}, observed: []configuration{{0, routes{at("/p/", "A")}}}, want: []string{"A"}, isIncomplete: true},
		{name: "no history in the map", observed: []configuration{{0, routes{at("/p/", "A")}}}, want: []string{"A"}, isIncomplete: true},
		{name: "restored map", inherited: inA, untrusted: true, observed: []configuration{{0, routes{at("/p/", "A")}}}, want: []string{"A"}, isIncomplete: true},
		{name: "restored map, long ago", inherited: inA, untrusted: true, observed: []configuration{{retention, routes{at("/p/", "A")}}}, after: retention, want: []string{"A"}},
		{name: "long name", inherited: complete, observed: []configuration{{0, routes{at("/p/", strings.Repeat("A", 200))}}}, isIncomplete: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			start := time.Unix(1000, 0)
			tracker := softwareversion.NewTracker(softwareversion.TrackerConfig{Retention: retention})
			tracker.Inherit(start, tt.inherited, !tt.untrusted)
			for _, o := range tt.observed {
				tracker.ObserveRoutes(start.Add(o.at), o.routes)
			}
			h := tracker.History(start.Add(tt.after))
			c.Check(h.RouteServices("h", "/p/1"), qt.DeepEquals, tt.want)
			c.Check(h.RoutesComplete, qt.Equals, !tt.isIncomplete)
			last := tt.observed[len(tt.observed)-1].routes
			c.Check(tracker.IsNewRoute(append(last[:len(last):len(last)], at("/p/", "new"))), qt.IsTrue)
		})
	}
}

// TestHistoryOfRoutesIsBounded guards against a history without bounds, and against one that leaves routes out and calls itself complete.
func TestHistoryOfRoutesIsBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tracker := softwareversion.NewTracker(softwareversion.TrackerConfig{Retention: retention})
	tracker.Inherit(now, &softwareversion.History{Complete: true, RoutesComplete: true}, true)
	var routes []softwareversion.Route
	for i := range 1000 {
		routes = append(routes, at(fmt.Sprintf("/%d/", i), "A"))
	}
	tracker.ObserveRoutes(now, routes[:256])
	h := tracker.History(now)
	c.Check(h.RoutesComplete, qt.IsTrue)
	c.Check(h.Routes, qt.HasLen, 256)
	tracker.ObserveRoutes(now, routes)
	h = tracker.History(now)
	c.Check(h.RoutesComplete, qt.IsFalse)
	c.Check(h.Complete, qt.IsTrue)
	c.Check(len(h.Routes) <= 256, qt.IsTrue)
	c.Check(tracker.History(now.Add(retention+1)).Routes, qt.HasLen, 0)
}
