package relay

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/origin"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/softwareversion"
)

// storedHistory is a version history whose stored state differs from the known one.
type storedHistory struct {
	known  func() softwareversion.Histories
	stored softwareversion.Histories
	err    error
}

func (h storedHistory) Known() softwareversion.Histories { return h.known() }

func (h storedHistory) Read(context.Context) (softwareversion.Histories, error) {
	return h.stored, h.err
}

// oneOrigin knows one stream.
type oneOrigin struct {
	record origin.Record
	ok     bool
}

func (oneOrigin) Record(origin.Record) {}

func (oneOrigin) Begin(origin.Record) {}

func (o oneOrigin) Find(context.Context, string) (origin.Record, bool) { return o.record, o.ok }

// routesHistory returns the history of a cell in which each service has one version and the route leads or has led to the given services.
func routesHistory(services ...string) *softwareversion.History {
	h := &softwareversion.History{Complete: true, RoutesComplete: true, Services: []softwareversion.Service{
		{Service: "A", Versions: []string{"v1"}}, {Service: "B", Versions: []string{"v2"}},
	}}
	if len(services) > 0 {
		h.Routes = []softwareversion.Route{{Host: "h", Prefix: "/", Services: services}}
	}
	return h
}

// movedRelay returns a relay of a catalog in which the route of host h leads to service B.
func movedRelay(c *qt.C, history storedHistory) *Relay {
	all := catalog.New()
	putObject(c, all, 1, string(resource.KindRouting), catalog.RoutingName, &resource.Routing{Version: 1, Routes: []resource.Route{{
		Name: "r", Host: "H", Prefix: "/", Kind: resource.RouteStream, Resumable: true, Attempts: 2, Timeout: resource.Duration(5 * time.Second),
		Targets: []resource.Target{{Service: "B", Weight: 1}},
	}}})
	putObject(c, all, 2, string(resource.KindEndpoint), "b", &resource.Endpoint{Service: "B", Address: netip.MustParseAddrPort("127.0.0.1:9"), SoftwareVersion: "v2"})
	if history.known == nil {
		history.known = func() softwareversion.Histories { return all.Topology().SoftwareVersions }
	}
	return &Relay{cfg: Config{Catalog: all, Scope: tally.NoopScope, VersionHistory: history}, serviceVersions: newServiceVersions(time.Minute)}
}

// newStream returns a request that begins a stream, or resumes one, on the only route.
func newStream(r *Relay, lastEvent string) *request {
	rt, _ := r.cfg.Catalog.Topology().Routes.Lookup("h", "/x")
	now := clock.Now()
	return &request{
		incoming: httptest.NewRequest(http.MethodPost, "http://h/x", nil), route: rt, service: "B", head: Head{ID: "id", Resumes: "first", LastEvent: lastEvent},
		receivedAt: now, deadline: now.Add(5 * time.Second),
	}
}

// TestResumptionOnMovedRoute guards against a stream that goes on at a service to which its route did not lead when it began.
func TestResumptionOnMovedRoute(t *testing.T) {
	type histories = softwareversion.Histories
	of := routesHistory
	incomplete := of("B")
	incomplete.RoutesComplete = false
	for _, tt := range []struct {
		name          string
		known, stored histories
		err           error
		origin        oneOrigin
		// want is the result code, zero if the stream goes on at version v2.
		want result.Code
	}{
		{name: "has not moved", known: histories{of("B")}, stored: histories{of("B")}},
		{name: "has moved", known: histories{of("A", "B")}, stored: histories{of("A", "B")}, want: result.StreamVersionUnknown},
		{name: "has moved, this box does not know yet", known: histories{of("B")}, stored: histories{of("A", "B")}, want: result.StreamVersionUnknown},
		{name: "has moved, the present service is not listed yet", known: histories{of("A")}, stored: histories{of("A")}, want: result.StreamVersionUnknown},
		{name: "one of two cells lists the move", known: histories{of("B"), of("B")}, stored: histories{of("A", "B"), of("B")}, want: result.StreamVersionUnknown},
		{name: "the route is not listed", known: histories{of()}, stored: histories{of()}, want: result.StreamVersionUnknown},
		{name: "routes may be missing", known: histories{incomplete}, stored: histories{incomplete}, want: result.StreamVersionUnknown},
		{name: "the coordinator is of an earlier build", known: histories{nil}, stored: histories{nil}, want: result.StreamVersionUnknown},
		{name: "the store does not answer", known: histories{of("B")}, err: errors.New("no answer"), want: result.StreamVersionUnknown},
		{
			name: "recorded at the former service", known: histories{of("A", "B")}, stored: histories{of("A", "B")},
			origin: oneOrigin{record: origin.Record{Attempt: "first", Service: "A", Version: "v1"}, ok: true}, want: result.StreamVersionGone,
		},
		{
			name: "recorded at the present service", known: histories{of("A", "B")}, stored: histories{of("A", "B")},
			origin: oneOrigin{record: origin.Record{Attempt: "first", Service: "B", Version: "v2"}, ok: true},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := movedRelay(c, storedHistory{known: func() softwareversion.Histories { return tt.known }, stored: tt.stored, err: tt.err})
			r.cfg.Origins = tt.origin
			q := newStream(r, "3")
			rerr := r.bindVersion(context.Background(), q)
			if tt.want != 0 {
				c.Assert(rerr != nil, qt.IsTrue)
				c.Check(rerr.Code, qt.Equals, tt.want)
				c.Check(rerr.Code.Info().Ran, qt.Equals, result.RanNo)
				return
			}
			c.Assert(rerr == nil, qt.IsTrue)
			c.Check(q.binding, qt.Equals, versionBinding{bound: true, version: "v2"})
		})
	}
}

// TestStreamBeginsAtListedServiceOfRoute guards against a stream that begins at a service which the stored history lacks for a moved route,
// and against routes that have not moved waiting for the history.
func TestStreamBeginsAtListedServiceOfRoute(t *testing.T) {
	incomplete := routesHistory("A")
	incomplete.RoutesComplete = false
	for _, tt := range []struct {
		name    string
		history *softwareversion.History
		// listedAfter is when the map lists the pair, zero if it never does.
		listedAfter time.Duration
		wantWait    time.Duration
		refused     bool
	}{
		{name: "has not moved", history: routesHistory("B")},
		{name: "new route", history: routesHistory()},
		{name: "moved and listed", history: routesHistory("A", "B")},
		{name: "routes may be missing", history: incomplete},
		{name: "listed later", history: routesHistory("A"), listedAfter: 400 * time.Millisecond, wantWait: 400 * time.Millisecond},
		{name: "never listed", history: routesHistory("A"), wantWait: maxRouteWait, refused: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				r := movedRelay(c, storedHistory{})
				putObject(c, r.cfg.Catalog, 3, coordinator.MapKind, "c", coordinator.Map{Cell: "c", Generation: 1, SoftwareVersions: tt.history})
				if tt.listedAfter > 0 {
					time.AfterFunc(tt.listedAfter, func() {
						putObject(c, r.cfg.Catalog, 4, coordinator.MapKind, "c", coordinator.Map{Cell: "c", Generation: 2, SoftwareVersions: routesHistory("A", "B")})
					})
				}
				began := time.Now()
				rerr := r.bindVersion(context.Background(), newStream(r, ""))
				c.Check(time.Since(began), qt.Equals, tt.wantWait)
				c.Assert(rerr != nil, qt.Equals, tt.refused)
				if tt.refused {
					c.Check(rerr.Code.Info().Ran, qt.Equals, result.RanNo)
				}
			})
		})
	}
}
