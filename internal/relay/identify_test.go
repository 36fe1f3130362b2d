package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/customer"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// keyed returns a routing configuration in which customers have keys.
func keyed(keys map[string]string) *resource.Routing {
	r := &resource.Routing{Version: 1, Keyed: true, Routes: []resource.Route{
		{Name: "r", Host: "h", Prefix: "/", Kind: resource.RouteOnce, Attempts: 1, Timeout: resource.Duration(time.Second), Targets: []resource.Target{{Service: "s", Weight: 1}}},
	}}
	for key, name := range keys {
		r.Customers = append(r.Customers, customer.Customer{Name: name, Keys: []customer.Digest{customer.DigestOf(key)}})
	}
	return r
}

// TestAgeOfTheConfiguration asks with a key that is known and one that is not, by words on the configuration of several ages.
func TestAgeOfTheConfiguration(t *testing.T) {
	const keysFor, unknownFor = 5 * time.Second, 3 * time.Second
	now := time.Now()
	for _, test := range []struct {
		name string
		// confirmed is how long before the request the word was confirmed, negative if after it.
		confirmed time.Duration
		never     bool
		key       string
		want      result.Code
	}{
		{name: "fresh", confirmed: time.Second, key: "k1", want: result.OK},
		{name: "as old as may be", confirmed: keysFor, key: "k1", want: result.OK},
		{name: "older", confirmed: keysFor + time.Millisecond, key: "k1", want: result.ConfigOld},
		{name: "newer word came while the request waited", confirmed: -time.Second, key: "k1", want: result.OK},
		{name: "no word", never: true, key: "k1", want: result.ConfigOld},
		{name: "unknown, fresh", confirmed: time.Second, key: "k2", want: result.Unauthorized},
		{name: "unknown, and it may have been added", confirmed: unknownFor + time.Millisecond, key: "k2", want: result.ConfigOld},
		{name: "unknown, no word", never: true, key: "k2", want: result.ConfigOld},
		{name: "no key", confirmed: time.Second, want: result.Unauthorized},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cat := catalog.New()
			put(c, cat, 1, string(resource.KindRouting), catalog.RoutingName, keyed(map[string]string{"k1": "mill"}))
			r := New(Config{Catalog: cat, Ages: AgesConfig{Keys: keysFor, Unknown: unknownFor, ConfirmedAt: func() time.Time {
				if test.never {
					return time.Time{}
				}
				return now.Add(-test.confirmed)
			}}})
			table := cat.Topology().Routes
			route, _ := table.Lookup("h", "/x")
			q := &request{came: now, route: route, head: Head{Key: test.key}}
			rerr := r.identify(q, table)
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

// TestKeyIsLookedAtAgain: while a request waits its key is taken away, moves to another customer, or stays.
func TestKeyIsLookedAtAgain(t *testing.T) {
	for _, test := range []struct {
		name string
		now  map[string]string
		who  string
	}{
		{"taken away", map[string]string{"k3": "mill"}, ""},
		{"moved", map[string]string{"k1": "yard"}, "yard"},
		{"stays", map[string]string{"k1": "mill", "k2": "yard"}, "mill"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			cat := catalog.New()
			put(c, cat, 1, string(resource.KindRouting), catalog.RoutingName, keyed(map[string]string{"k1": "mill"}))
			r := New(Config{Catalog: cat, Ages: AgesConfig{ConfirmedAt: time.Now}})
			table := cat.Topology().Routes
			route, _ := table.Lookup("h", "/x")
			q := &request{came: time.Now(), route: route, head: Head{Key: "k1"}}
			c.Assert(r.identify(q, table) == nil, qt.IsTrue)
			put(c, cat, 2, string(resource.KindRouting), catalog.RoutingName, keyed(test.now))
			rerr := r.stillAllowed(q)
			if test.who == "" {
				c.Assert(rerr, qt.IsNotNil)
				c.Check(rerr.Code, qt.Equals, result.Unauthorized)
				return
			}
			c.Assert(rerr == nil, qt.IsTrue, qt.Commentf("%v", rerr))
			c.Check(q.customerName(), qt.Equals, test.who)
		})
	}
}
