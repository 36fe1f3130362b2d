// Package route finds the route of a request in the routing configuration.
package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bellgap/bellgap/internal/customer"
	"github.com/bellgap/bellgap/internal/resource"
)

// Table answers look-ups in one version of the routing configuration. It is never changed.
type Table struct {
	version  int64
	byHost   map[string][]*resource.Route
	services map[string]*resource.RouteService
	limits   resource.CallerLimits
	// keyed and customers are those of the configuration.
	keyed     bool
	customers *customer.Table
}

// New returns the Table of a configuration.
func New(r *resource.Routing) *Table {
	t := &Table{
		version: r.Version, byHost: map[string][]*resource.Route{}, services: map[string]*resource.RouteService{}, limits: r.Limits,
		keyed: r.Keyed, customers: customer.NewTable(r.Customers),
	}
	for i := range r.Routes {
		rt := &r.Routes[i]
		host := strings.ToLower(rt.Host)
		t.byHost[host] = append(t.byHost[host], rt)
	}
	for _, routes := range t.byHost {
		slices.SortFunc(routes, func(a, b *resource.Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix))
		})
	}
	for i := range r.Services {
		t.services[r.Services[i].Name] = &r.Services[i]
	}
	return t
}

// Version returns the operator's number of the configuration.
func (t *Table) Version() int64 { return t.version }

// Limits returns what callers may send.
func (t *Table) Limits() resource.CallerLimits { return t.limits }

// Keyed reports whether requests carry the key of a customer, but for those on open routes.
func (t *Table) Keyed() bool { return t.keyed }

// Customers returns the customers of the configuration.
func (t *Table) Customers() *customer.Table { return t.customers }

// Service returns a service of the configuration.
func (t *Table) Service(name string) (*resource.RouteService, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services by name.
func (t *Table) Services() map[string]*resource.RouteService { return t.services }

// Lookup returns the route of the host with the longest prefix that begins the path.
func (t *Table) Lookup(host, path string) (*resource.Route, bool) {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostName returns the host of a Host header, without a port and in lower case.
func hostName(host string) string {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	return strings.ToLower(host)
}

// Pick returns the service for a request: the same id always goes to the same one, and shares follow the weights.
func Pick(r *resource.Route, id string) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total == 0 {
		return r.Targets[0].Service
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
