package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/customer"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// keyedRouting returns a routing configuration in which customers have keys. The map gives the customer of each key.
func keyedRouting(keys map[string]string) *resource.Routing {
	r := &resource.Routing{Version: 1, RequiresKey: true, Routes: []resource.Route{
		{Name: "r", Host: "h", Prefix: "/", Kind: resource.RouteOnce, Attempts: 1, Timeout: resource.Duration(time.Second), Targets: []resource.Target{{Service: "s", Weight: 1}}},
	}}
	for key, name := range keys {
		r.Customers = append(r.Customers, customer.Customer{Name: name, Keys: []customer.Digest{customer.NewDigest(key)}})
	}
	return r
}

// TestConfigurationAgeLimits sends known and unknown keys while the configuration has different ages.
func TestConfigurationAgeLimits(t *testing.T) {
	const maxAgeForKeys, maxAgeForUnknown = 5 * time.Second, 3 * time.Second
	now := time.Now()
	for _, test := range []struct {
		name string
		// confirmedBefore is how long before the request the configuration was confirmed, negative if after it.
		confirmedBefore time.Duration
		neverConfirmed  bool
		key             string
		want            result.Code
	}{
		{name: "fresh", confirmedBefore: time.Second, key: "k1", want: result.OK},
		{name: "as old as allowed", confirmedBefore: maxAgeForKeys, key: "k1", want: result.OK},
		{name: "older", confirmedBefore: maxAgeForKeys + time.Millisecond, key: "k1", want: result.ConfigOld},
		{name: "configuration confirmed while the request waited", confirmedBefore: -time.Second, key: "k1", want: result.OK},
		{name: "configuration never confirmed", neverConfirmed: true, key: "k1", want: result.ConfigOld},
		{name: "unknown key, fresh configuration", confirmedBefore: time.Second, key: "k2", want: result.Unauthorized},
		{name: "unknown key that may have been added since", confirmedBefore: maxAgeForUnknown + time.Millisecond, key: "k2", want: result.ConfigOld},
		{name: "unknown key, configuration never confirmed", neverConfirmed: true, key: "k2", want: result.ConfigOld},
		{name: "no key", confirmedBefore: time.Second, want: result.Unauthorized},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cat := catalog.New()
			putObject(c, cat, 1, string(resource.KindRouting), catalog.RoutingName, keyedRouting(map[string]string{"k1": "mill"}))
			r := New(Config{Catalog: cat, AgeLimits: ConfigAgeLimits{MaxForKeys: maxAgeForKeys, MaxForUnknown: maxAgeForUnknown, ConfirmedAt: func() time.Time {
				if test.neverConfirmed {
					return time.Time{}
				}
				return now.Add(-test.confirmedBefore)
			}}})
			current := r.currentRouting()
			route, _ := current.table.Lookup("h", "/x")
			q := &request{receivedAt: now, route: route, head: Head{Key: test.key}}
			rerr := r.identifyCustomer(q, current)
			if test.want == result.OK {
				c.Assert(rerr == nil, qt.IsTrue, qt.Commentf("%v", rerr))
				c.Check(q.customerName(), qt.Equals, "mill")
				return
			}
			c.Assert(rerr, qt.IsNotNil)
			c.Check(rerr.Code, qt.Equals, test.want)
			c.Check(rerr.Code.Info().Ran, qt.Equals, result.RanNo)
		})
	}
}

// TestKeyIsRecheckedBeforeSending guards against running a request for a customer that no longer has the key. While
// the request waits, its key is revoked, moves to another customer, or stays.
func TestKeyIsRecheckedBeforeSending(t *testing.T) {
	for _, test := range []struct {
		name          string
		keysAfter     map[string]string
		customerAfter string
	}{
		{"key revoked", map[string]string{"k3": "mill"}, ""},
		{"moved", map[string]string{"k1": "yard"}, "yard"},
		{"stays", map[string]string{"k1": "mill", "k2": "yard"}, "mill"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cat := catalog.New()
			putObject(c, cat, 1, string(resource.KindRouting), catalog.RoutingName, keyedRouting(map[string]string{"k1": "mill"}))
			r := New(Config{Catalog: cat, AgeLimits: ConfigAgeLimits{ConfirmedAt: time.Now}})
			current := r.currentRouting()
			route, _ := current.table.Lookup("h", "/x")
			q := &request{receivedAt: time.Now(), route: route, head: Head{Key: "k1"}}
			c.Assert(r.identifyCustomer(q, current) == nil, qt.IsTrue)
			putObject(c, cat, 2, string(resource.KindRouting), catalog.RoutingName, keyedRouting(test.keysAfter))
			rerr := r.recheckKey(q)
			if test.customerAfter == "" {
				c.Assert(rerr, qt.IsNotNil)
				c.Check(rerr.Code, qt.Equals, result.Unauthorized)
				return
			}
			c.Assert(rerr == nil, qt.IsTrue, qt.Commentf("%v", rerr))
			c.Check(q.customerName(), qt.Equals, test.customerAfter)
		})
	}
}

// delayedHeadWire reads the headers of a request after other work of the box.
type delayedHeadWire struct {
	plainWire
	before func()
}

// ReadHead implements Wire.
func (w delayedHeadWire) ReadHead(h http.Header) (Head, error) {
	w.before()
	head, err := w.plainWire.ReadHead(h)
	head.Key = h.Get("Key")
	return head, err
}

// TestUnknownRouteIsNotJudgedByLaterConfirmation guards against a 404 for a route that exists: a new configuration comes into force
// while a request is read, and its age is taken for that of the table in which the route was looked up.
func TestUnknownRouteIsNotJudgedByLaterConfirmation(t *testing.T) {
	c := qt.New(t)
	cat := catalog.New()
	putObject(c, cat, 1, string(resource.KindRouting), catalog.RoutingName, &resource.Routing{Version: 1})
	confirmedAt := time.Now().Add(-time.Minute)
	wire := delayedHeadWire{before: func() {
		putObject(c, cat, 2, string(resource.KindRouting), catalog.RoutingName, keyedRouting(nil))
		confirmedAt = time.Now()
	}}
	r := New(Config{Catalog: cat, Wire: wire, AgeLimits: ConfigAgeLimits{MaxForUnknown: 3 * time.Second, ConfirmedAt: func() time.Time { return confirmedAt }}})
	request := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
	_, rerr := r.readRequest(r.cfg.Callers.NewCaller(httptest.NewRecorder()), request)
	c.Assert(rerr, qt.IsNotNil)
	c.Check(rerr.Code, qt.Not(qt.Equals), result.NoRoute)
}

// TestRevokedKeyIsNotJudgedByLaterConfirmation guards against running a request with a revoked key: the key is found in an old
// configuration, whose age is then read after a newer one has come into force.
func TestRevokedKeyIsNotJudgedByLaterConfirmation(t *testing.T) {
	c := qt.New(t)
	cat := catalog.New()
	putObject(c, cat, 1, string(resource.KindRouting), catalog.RoutingName, keyedRouting(map[string]string{"k1": "mill"}))
	confirmedAt := time.Now().Add(-time.Minute)
	wire := delayedHeadWire{before: func() {
		putObject(c, cat, 2, string(resource.KindRouting), catalog.RoutingName, keyedRouting(nil))
		confirmedAt = time.Now()
	}}
	r := New(Config{Catalog: cat, Wire: wire, AgeLimits: ConfigAgeLimits{MaxForKeys: 5 * time.Second, MaxForUnknown: 3 * time.Second, ConfirmedAt: func() time.Time { return confirmedAt }}})
	request := httptest.NewRequest(http.MethodGet, "http://h/x", nil)
	request.Header.Set("Key", "k1")
	_, rerr := r.readRequest(r.cfg.Callers.NewCaller(httptest.NewRecorder()), request)
	c.Assert(rerr, qt.IsNotNil)
	c.Check(rerr.Code, qt.Equals, result.ConfigOld)
}
