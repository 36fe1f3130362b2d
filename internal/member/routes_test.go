package member_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/resource"
)

// putRoute writes a configuration with one route whose streams may be resumed.
func (cl *cluster) putRoute(version int64, service string) {
	r := resource.Resource{Kind: resource.KindRouting, Name: catalog.RoutingName, Generation: version, Spec: &resource.Routing{
		Version: version, Routes: []resource.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: resource.RouteStream, Resumable: true, Timeout: resource.Duration(time.Second), Attempts: 1,
			Targets: []resource.Target{{Service: service, Weight: 1}},
		}},
	}}
	value, err := json.Marshal(r)
	cl.c.Assert(err, qt.IsNil)
	o, _ := cl.platform.Get(context.Background(), string(r.Kind), r.Name)
	_, err = cl.platform.Put(context.Background(), string(r.Kind), r.Name, o.Version, value)
	cl.c.Assert(err, qt.IsNil)
}

// isListed reports whether the stored map lists a service for the route.
func (cl *cluster) isListed(service string) bool {
	o, err := cl.platform.Get(context.Background(), coordinator.MapKind, cell)
	cl.c.Assert(err, qt.IsNil)
	var m coordinator.Map
	cl.c.Assert(json.Unmarshal(o.Value, &m), qt.IsNil)
	return m.SoftwareVersions != nil && slices.Contains(m.SoftwareVersions.RouteServices("h", "/x"), service)
}

// TestMovedRouteIsListedSoon guards against streams on a moved route that wait for up to a heartbeat because the coordinator lists the new
// service only with its next heartbeat, and against a coordinator that forgets the former service.
func TestMovedRouteIsListedSoon(t *testing.T) {
	const step, maxListing = 10 * time.Millisecond, 50 * time.Millisecond
	for seed := range 10 {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newTimedCluster(t, 0, 3, 4*time.Millisecond, routedTiming())
				cl.versionRetention = time.Minute
				defer cl.stopAll()
				for i := range 4 {
					cl.startBox(fmt.Sprintf("box-%03d", i), i)
				}
				cl.waitForOwners()
				cl.putRoute(1, "A")
				cl.advance(10*time.Second + time.Duration(seed)*37*time.Millisecond)
				cl.c.Assert(cl.isListed("A"), qt.IsTrue)
				cl.putRoute(2, "B")
				waited := time.Duration(0)
				for ; !cl.isListed("B") && waited < time.Second; waited += step {
					time.Sleep(step)
				}
				cl.c.Check(waited <= maxListing, qt.IsTrue, qt.Commentf("listed after %s", waited))
				cl.c.Check(cl.isListed("A"), qt.IsTrue)
			})
		})
	}
}
