package softwareversion_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/softwareversion"
)

const retention = time.Minute

func services(versions ...string) []softwareversion.Service {
	return []softwareversion.Service{{Service: "s", Versions: versions}}
}

// observation are the versions of the present endpoints at a time after the start.
type observation struct {
	at       time.Duration
	versions []string
}

// TestHistory guards against a history that forgets a version too early, or that calls itself complete although versions may be missing.
func TestHistory(t *testing.T) {
	complete := &softwareversion.History{Complete: true}
	for _, tt := range []struct {
		name      string
		inherited *softwareversion.History
		untrusted bool
		observed  []observation
		after     time.Duration
		want      *softwareversion.History
	}{
		{
			name: "first map", inherited: complete, observed: []observation{{0, []string{"v1"}}},
			want: &softwareversion.History{Complete: true, Services: services("v1")},
		},
		{
			name: "inherited version without an endpoint", inherited: &softwareversion.History{Complete: true, Services: services("v1")},
			observed: []observation{{0, []string{"v2"}}}, after: retention, want: &softwareversion.History{Complete: true, Services: services("v1", "v2")},
		},
		{
			name: "version gone for the retention time", inherited: &softwareversion.History{Complete: true, Services: services("v1")},
			observed: []observation{{0, []string{"v2"}}, {retention, []string{"v2"}}}, after: retention + 1, want: &softwareversion.History{Complete: true, Services: services("v2")},
		},
		{name: "map of an earlier build", observed: []observation{{0, []string{"v1"}}}, want: &softwareversion.History{Services: services("v1")}},
		{
			name: "map of an earlier build, long ago", observed: []observation{{retention, []string{"v1"}}}, after: retention,
			want: &softwareversion.History{Complete: true, Services: services("v1")},
		},
		{
			name: "restored map", inherited: &softwareversion.History{Complete: true, Services: services("v1")}, untrusted: true,
			observed: []observation{{0, []string{"v1"}}}, want: &softwareversion.History{Services: services("v1")},
		},
		{
			name: "incomplete history", inherited: &softwareversion.History{Services: services("v1")}, observed: []observation{{0, []string{"v1"}}},
			want: &softwareversion.History{Services: services("v1")},
		},
		{name: "endpoints without a version", inherited: complete, observed: []observation{{0, []string{""}}}, want: &softwareversion.History{Complete: true, Services: services("")}},
		{name: "version with a long name", inherited: complete, observed: []observation{{0, []string{fmt.Sprintf("%200d", 1)}}}, want: &softwareversion.History{}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			start := time.Unix(1000, 0)
			tracker := softwareversion.NewTracker(softwareversion.TrackerConfig{Retention: retention})
			tracker.Inherit(start, tt.inherited, !tt.untrusted)
			for _, o := range tt.observed {
				tracker.Observe(start.Add(o.at), map[string][]string{"s": o.versions})
			}
			got := tracker.History(start.Add(tt.after))
			// TestHistoryOfRoutes checks the routes.
			got.RoutesComplete = false
			c.Check(got.Equal(tt.want), qt.IsTrue, qt.Commentf("%+v", got))
		})
	}
}

// TestHistoryIsBounded guards against a history without bounds, and against one that leaves versions out and calls itself complete.
func TestHistoryIsBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tracker := softwareversion.NewTracker(softwareversion.TrackerConfig{Retention: retention})
	tracker.Inherit(now, &softwareversion.History{Complete: true}, true)
	for i := range 1000 {
		tracker.Observe(now, map[string][]string{fmt.Sprint("service-", i): {"v1"}})
	}
	h := tracker.History(now)
	c.Check(h.Complete, qt.IsFalse)
	c.Check(len(h.Services) <= 256, qt.IsTrue, qt.Commentf("%d services", len(h.Services)))
	c.Check(tracker.History(now.Add(retention+1)).Services, qt.HasLen, 0)
}
