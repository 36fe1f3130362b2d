package route_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/route"
)

func newTable() *route.Table {
	targetsOf := func(s string) []resource.Target { return []resource.Target{{Service: s, Weight: 1}} }
	return route.New(&resource.Routing{Version: 3, Routes: []resource.Route{
		{Name: "all", Host: "a.example", Prefix: "/", Targets: targetsOf("s1")},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/", Targets: targetsOf("s2")},
		{Name: "x", Host: "a.example", Prefix: "/x/", Targets: targetsOf("s3")},
		{Name: "other", Host: "b.example", Prefix: "/x/", Targets: targetsOf("s4")},
	}})
}

func TestLookup(t *testing.T) {
	for _, tt := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example", "/x/yy", "x"},
		{"A.Example:8080", "/x/", "x"},
		{"a.example", "/", "all"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/y", ""},
		{"c.example", "/x/1", ""},
	} {
		t.Run(tt.host+tt.path, func(t *testing.T) {
			c := qt.New(t)
			r, ok := newTable().Lookup(tt.host, tt.path)
			c.Assert(ok, qt.Equals, tt.want != "")
			if ok {
				c.Check(r.Name, qt.Equals, tt.want)
			}
		})
	}
}

func TestPickFollowsWeights(t *testing.T) {
	c := qt.New(t)
	r := &resource.Route{Targets: []resource.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := map[string]int{}
	for i := range 10000 {
		counts[route.PickService(r, fmt.Sprint("request-", i))]++
	}
	c.Check(counts["a"] > 8800 && counts["a"] < 9200, qt.IsTrue, qt.Commentf("%v", counts))
	c.Check(counts["c"], qt.Equals, 0)
	c.Check(route.PickService(r, "x"), qt.Equals, route.PickService(r, "x"))
}
