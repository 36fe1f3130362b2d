package softwareversion

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxRouteServices limits the pairs of a route and a service in a history.
const maxRouteServices = 256

// Route lists the services to which a route whose streams may be resumed leads or has led lately. A route is known by what callers
// address, as its name may change.
type Route struct {
	// Host is in lower case.
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Services is sorted.
	Services []string `json:"services"`
}

// covers reports whether the requests for a path, or all those with a longer prefix, match the route.
func (r Route) covers(host, path string) bool {
	return r.Host == host && strings.HasPrefix(path, r.Prefix)
}

// longestCover returns the route with the longest prefix that covers a path.
func longestCover(routes []Route, host, path string) (best Route, ok bool) {
	for _, r := range routes {
		if r.covers(host, path) && (!ok || len(r.Prefix) > len(best.Prefix)) {
			best, ok = r, true
		}
	}
	return best, ok
}

// RouteServices returns the services that requests for a path have been sent to lately, nil if the history lists none. The host is in
// lower case.
func (h *History) RouteServices(host, path string) []string {
	r, _ := longestCover(h.Routes, host, path)
	return r.Services
}

// trackedRoute is a route of which a tracker knows.
type trackedRoute struct {
	// configuredAt is when the route was last in the configuration.
	configuredAt time.Time
	seenAt       map[string]time.Time
}

// routeKey identifies a route.
type routeKey struct{ host, prefix string }

// routeTracker follows the services of routes.
type routeTracker struct {
	retention time.Duration
	routes    map[routeKey]*trackedRoute
	// completeAt is when no service is missing, zero if none was inherited.
	completeAt time.Time
}

func newRouteTracker(retention time.Duration) *routeTracker {
	return &routeTracker{retention: retention, routes: map[routeKey]*trackedRoute{}}
}

// inherit continues from the routes of the last map.
func (t *routeTracker) inherit(now time.Time, routes []Route, isComplete bool) {
	for _, r := range routes {
		t.add(now, r)
	}
	t.completeAt = now
	if !isComplete {
		t.completeAt = now.Add(t.retention)
	}
}

// observe adds the services of the present routes. A path may move between routes of different prefixes: a new route gets the services of
// the one that covered its paths before, and a removed one those of the one that covers them now.
func (t *routeTracker) observe(now time.Time, present []Route) {
	before, isPresent := t.listed(), map[routeKey]bool{}
	for _, r := range present {
		key := routeKey{r.Host, r.Prefix}
		isPresent[key] = true
		if t.routes[key] == nil {
			t.addCovering(r, before)
		}
	}
	for _, r := range present {
		t.add(now, r)
	}
	for key, tracked := range t.routes {
		if !isPresent[key] {
			r, _ := longestCover(present, key.host, key.prefix)
			tracked.see(now, r.Services)
		}
	}
}

// add adds a route and its services. A name that is too long makes the list incomplete for the retention time.
func (t *routeTracker) add(now time.Time, r Route) {
	isTooLong := func(s string) bool { return len(s) > maxTextBytes }
	if isTooLong(r.Host) || isTooLong(r.Prefix) || slices.ContainsFunc(r.Services, isTooLong) {
		t.completeAt = now.Add(t.retention)
		return
	}
	key := routeKey{r.Host, r.Prefix}
	if t.routes[key] == nil {
		t.routes[key] = &trackedRoute{seenAt: map[string]time.Time{}}
	}
	t.routes[key].configuredAt = now
	t.routes[key].see(now, r.Services)
}

// addCovering adds a new route with the services of the route that covered its paths before.
func (t *routeTracker) addCovering(r Route, before []Route) {
	from, ok := longestCover(before, r.Host, r.Prefix)
	if !ok || len(r.Prefix) > maxTextBytes {
		return
	}
	t.routes[routeKey{r.Host, r.Prefix}] = &trackedRoute{seenAt: maps.Clone(t.routes[routeKey{from.Host, from.Prefix}].seenAt)}
}

// see records that requests are sent to the services now.
func (r *trackedRoute) see(now time.Time, services []string) {
	for _, s := range services {
		r.seenAt[s] = now
	}
}

// isNew reports whether a service of the present routes is not known yet.
func (t *routeTracker) isNew(present []Route) bool {
	return slices.ContainsFunc(present, func(r Route) bool {
		tracked := t.routes[routeKey{r.Host, r.Prefix}]
		return tracked == nil || slices.ContainsFunc(r.Services, func(s string) bool { return tracked.seenAt[s].IsZero() })
	})
}

// history returns the routes, and whether no service is missing. If there are too many, it returns none.
func (t *routeTracker) history(now time.Time) (routes []Route, isComplete bool) {
	maps.DeleteFunc(t.routes, func(_ routeKey, r *trackedRoute) bool {
		maps.DeleteFunc(r.seenAt, func(_ string, at time.Time) bool { return now.Sub(at) > t.retention })
		return now.Sub(r.configuredAt) > t.retention
	})
	routes = t.listed()
	pairs := 0
	for _, r := range routes {
		pairs += len(r.Services)
	}
	if pairs > maxRouteServices {
		t.completeAt = now.Add(t.retention)
		return nil, false
	}
	return routes, !t.completeAt.IsZero() && !now.Before(t.completeAt)
}

// listed returns the tracked routes, sorted.
func (t *routeTracker) listed() []Route {
	routes := make([]Route, 0, len(t.routes))
	for key, r := range t.routes {
		routes = append(routes, Route{Host: key.host, Prefix: key.prefix, Services: slices.Sorted(maps.Keys(r.seenAt))})
	}
	slices.SortFunc(routes, func(a, b Route) int {
		return cmp.Or(strings.Compare(a.Host, b.Host), strings.Compare(a.Prefix, b.Prefix))
	})
	return routes
}
