// Package route looks up the route of a request in the routing configuration.
package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bellgap/bellgap/internal/customer"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/softwareversion"
)

// Table is an immutable index of one version of the routing configuration.
type Table struct {
	// split holds the services of resumable routes that lead to several services.
	split map[string]bool
	// resumable lists the routes whose streams may be resumed.
	resumable    []softwareversion.Route
	version      int64
	routesByHost map[string][]*resource.Route
	services     map[string]*resource.RouteService
	limits       resource.CallerLimits
	// keyed reports whether requests need the API key of a customer; open routes need none.
	keyed     bool
	customers *customer.Table
}

// New builds the Table of a routing configuration.
func New(r *resource.Routing) *Table {
	t := &Table{
		version: r.Version, routesByHost: map[string][]*resource.Route{}, services: map[string]*resource.RouteService{}, limits: r.Limits,
		split: map[string]bool{}, keyed: r.RequiresKey, customers: customer.NewTable(r.Customers),
	}
	for i := range r.Routes {
		rt := &r.Routes[i]
		t.addResumable(rt)
		host := strings.ToLower(rt.Host)
		t.routesByHost[host] = append(t.routesByHost[host], rt)
	}
	for _, routes := range t.routesByHost {
		slices.SortFunc(routes, func(a, b *resource.Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix))
		})
	}
	for i := range r.Services {
		t.services[r.Services[i].Name] = &r.Services[i]
	}
	return t
}

// addResumable adds a route if its streams may be resumed, and its services if streams may move to another one of them then.
func (t *Table) addResumable(r *resource.Route) {
	if r.Kind != resource.RouteStream || !r.Idempotent() {
		return
	}
	var services []string
	for _, target := range r.Targets {
		services = append(services, target.Service)
		if len(r.Targets) > 1 {
			t.split[target.Service] = true
		}
	}
	t.resumable = append(t.resumable, softwareversion.Route{Host: strings.ToLower(r.Host), Prefix: r.Prefix, Services: services})
}

// IsSplit reports whether a service is one of several to which a resumable route leads. With an empty name it reports whether any is.
func (t *Table) IsSplit(service string) bool {
	return t.split[service] || service == "" && len(t.split) > 0
}

// Resumable returns the routes whose streams may be resumed.
func (t *Table) Resumable() []softwareversion.Route { return t.resumable }

// Version returns the version number that the operator gave the configuration.
func (t *Table) Version() int64 { return t.version }

// CallerLimits returns the limits for the requests and connections of callers.
func (t *Table) CallerLimits() resource.CallerLimits { return t.limits }

// RequiresKey reports whether requests must carry the API key of a customer. Open routes need no key.
func (t *Table) RequiresKey() bool { return t.keyed }

// Customers returns the customers of the configuration.
func (t *Table) Customers() *customer.Table { return t.customers }

// Service returns the service with a name, if the configuration has one.
func (t *Table) Service(name string) (*resource.RouteService, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services by name.
func (t *Table) Services() map[string]*resource.RouteService { return t.services }

// Lookup returns the route for a host and path. If several prefixes match the path, the longest wins.
func (t *Table) Lookup(host, path string) (*resource.Route, bool) {
	for _, r := range t.routesByHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// normalizeHost returns the value of a Host header in lower case and without the port.
func normalizeHost(host string) string {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	return strings.ToLower(host)
}

// PickService returns the target service for a request ID. The choice is deterministic: the same ID always gets the same service. Over many
// IDs, each service gets a share in proportion to its weight.
func PickService(r *resource.Route, id string) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total == 0 {
		return r.Targets[0].Service
	}
	remaining := int(xxhash.Sum64String(id) % uint64(total))
	for _, t := range r.Targets {
		if remaining < t.Weight {
			return t.Service
		}
		remaining -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
