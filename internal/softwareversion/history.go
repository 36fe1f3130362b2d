// Package softwareversion keeps the history of the software versions that have served each service. The history is a part of the cell
// map, so it outlives all boxes.
package softwareversion

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxVersions limits the versions of a history, over all services.
	maxVersions = 256
	// maxTextBytes limits the name of a service or version.
	maxTextBytes = 128
)

// History lists the software versions that have served lately. The zero value lists none and is not complete.
type History struct {
	// Complete means that no version is missing that has served within the retention time.
	Complete bool `json:"complete,omitempty"`
	// Services lists the services that have endpoints or had some lately, sorted by name.
	Services []Service `json:"services,omitempty"`
	// RoutesComplete means that no service is missing to which a route has led within the retention time. Earlier builds list no routes.
	RoutesComplete bool `json:"routes_complete,omitempty"`
	// Routes lists the routes whose streams may be resumed, sorted by host and prefix.
	Routes []Route `json:"routes,omitempty"`
}

// Service lists the versions of one service, sorted.
type Service struct {
	Service  string   `json:"service"`
	Versions []string `json:"versions"`
}

// Versions returns the versions of a service, nil if the history lists none.
func (h *History) Versions(service string) []string {
	i, found := slices.BinarySearchFunc(h.Services, service, func(s Service, name string) int { return strings.Compare(s.Service, name) })
	if !found {
		return nil
	}
	return h.Services[i].Versions
}

// Histories are the histories in the maps of all cells. A history is nil if its map lists none.
type Histories []*History

// Versions returns the versions of a service, and whether none is missing.
func (all Histories) Versions(service string) (versions []string, isComplete bool) {
	return all.merge(func(h *History) ([]string, bool) { return h.Versions(service), h.Complete })
}

// RouteServices returns the services that requests for a path have been sent to lately, and whether none is missing. The host is in lower
// case.
func (all Histories) RouteServices(host, path string) (services []string, isComplete bool) {
	return all.merge(func(h *History) ([]string, bool) { return h.RouteServices(host, path), h.RoutesComplete })
}

// merge returns what any of the histories lists, and whether all are complete.
func (all Histories) merge(list func(h *History) (names []string, isComplete bool)) (merged []string, isComplete bool) {
	isComplete = len(all) > 0
	for _, h := range all {
		if h == nil {
			isComplete = false
			continue
		}
		names, isWhole := list(h)
		isComplete = isComplete && isWhole
		for _, name := range names {
			if !slices.Contains(merged, name) {
				merged = append(merged, name)
			}
		}
	}
	return merged, isComplete
}

// Equal reports whether two histories, which may be nil, list the same.
func (h *History) Equal(other *History) bool {
	if h == nil || other == nil {
		return h == other
	}
	return h.Complete == other.Complete && h.RoutesComplete == other.RoutesComplete &&
		slices.EqualFunc(h.Services, other.Services, func(a, b Service) bool {
			return a.Service == b.Service && slices.Equal(a.Versions, b.Versions)
		}) &&
		slices.EqualFunc(h.Routes, other.Routes, func(a, b Route) bool {
			return a.Host == b.Host && a.Prefix == b.Prefix && slices.Equal(a.Services, b.Services)
		})
}

// Moved returns the routes that have led to several services lately.
func (h *History) Moved() []Route {
	return slices.DeleteFunc(slices.Clone(h.Routes), func(r Route) bool { return len(r.Services) < 2 })
}

// Size returns the approximate size of the encoded history in bytes.
func (h *History) Size() int {
	const overhead = 32
	if h == nil {
		return 0
	}
	size := overhead
	for _, s := range h.Services {
		size += overhead + len(s.Service)
		for _, v := range s.Versions {
			size += len(v) + len(`"",`)
		}
	}
	for _, r := range h.Routes {
		size += overhead + len(r.Host) + len(r.Prefix)
		for _, service := range r.Services {
			size += len(service) + len(`"",`)
		}
	}
	return size
}

// key is a version of a service.
type key struct{ service, version string }

// TrackerConfig configures a Tracker.
type TrackerConfig struct {
	// Retention is how long a version is listed after its last endpoint is gone, and a service of a route after the last configuration
	// that named it.
	Retention time.Duration
}

// Tracker follows the versions of all services and the services of routes, and returns their history. It is safe for concurrent use.
type Tracker struct {
	cfg TrackerConfig

	mu     sync.Mutex
	seenAt map[key]time.Time
	// completeAt is when the history is complete, zero if none was inherited.
	completeAt time.Time
	routes     *routeTracker
}

// NewTracker returns a Tracker that knows no version and no route.
func NewTracker(cfg TrackerConfig) *Tracker {
	return &Tracker{cfg: cfg, seenAt: map[key]time.Time{}, routes: newRouteTracker(cfg.Retention)}
}

// Inherit continues from the history in the last cell map, nil if the map has none. isTrusted is set if no map was written after it. If
// the inherited history is not complete, the own one is once this process has observed all versions for the retention time.
func (t *Tracker) Inherit(now time.Time, h *History, isTrusted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h != nil {
		for _, s := range h.Services {
			for _, v := range s.Versions {
				t.add(now, key{s.Service, v})
			}
		}
	}
	t.completeAt = now
	if !isTrusted || h == nil || !h.Complete {
		t.completeAt = now.Add(t.cfg.Retention)
	}
	if h == nil {
		h = &History{}
	}
	t.routes.inherit(now, h.Routes, isTrusted && h.RoutesComplete)
}

// Observe adds the versions of the present endpoints by service.
func (t *Tracker) Observe(now time.Time, present map[string][]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, versions := range present {
		for _, v := range versions {
			t.add(now, key{service, v})
		}
	}
}

// ObserveRoutes adds the services of the present routes.
func (t *Tracker) ObserveRoutes(now time.Time, present []Route) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routes.observe(now, present)
}

// IsNewRoute reports whether a service of the present routes has not been observed.
func (t *Tracker) IsNewRoute(present []Route) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.routes.isNew(present)
}

// History returns the present history.
func (t *Tracker) History(now time.Time) *History {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.seenAt, func(_ key, at time.Time) bool { return now.Sub(at) > t.cfg.Retention })
	h := &History{Complete: !t.completeAt.IsZero() && !now.Before(t.completeAt)}
	keys := slices.SortedFunc(maps.Keys(t.seenAt), func(a, b key) int {
		if c := strings.Compare(a.service, b.service); c != 0 {
			return c
		}
		return strings.Compare(a.version, b.version)
	})
	if len(keys) > maxVersions {
		h.Complete, keys = false, keys[:maxVersions]
	}
	for _, k := range keys {
		if n := len(h.Services); n == 0 || h.Services[n-1].Service != k.service {
			h.Services = append(h.Services, Service{Service: k.service})
		}
		last := &h.Services[len(h.Services)-1]
		last.Versions = append(last.Versions, k.version)
	}
	h.Routes, h.RoutesComplete = t.routes.history(now)
	return h
}

// add adds a version. The caller holds mu. A name that is too long makes the history incomplete for the retention time.
func (t *Tracker) add(now time.Time, k key) {
	if len(k.service) > maxTextBytes || len(k.version) > maxTextBytes {
		t.completeAt = now.Add(t.cfg.Retention)
		return
	}
	t.seenAt[k] = now
}
