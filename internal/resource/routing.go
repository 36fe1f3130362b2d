package resource

import (
	"fmt"
	"strings"
	"time"

	"github.com/bellgap/bellgap/internal/customer"
)

// Bounds of a routing configuration.
const (
	maxRoutes   = 20000
	maxWeight   = 1000000
	maxAttempts = 16
	maxPriority = 9
)

// RouteKind says how often a request on a route may run.
type RouteKind string

// The kinds of routes.
const (
	// RouteRepeatable requests may run more than once.
	RouteRepeatable RouteKind = "repeatable"
	// RouteOnce requests run at most once for each request id.
	RouteOnce RouteKind = "once"
	// RouteStream answers are series of events; unless Resumable they run at most once.
	RouteStream RouteKind = "stream"
)

// Routing is the whole routing configuration; one version of it is in force at a time.
type Routing struct {
	// Version is the operator's number of this configuration.
	Version  int64          `json:"version"`
	Routes   []Route        `json:"routes"`
	Services []RouteService `json:"services"`
	Limits   CallerLimits   `json:"limits"`
	// Keyed says that requests carry the key of a customer, but for those on open routes.
	Keyed     bool                `json:"keyed,omitempty"`
	Customers []customer.Customer `json:"customers,omitempty"`
}

// Check implements Spec.
func (r *Routing) Check(string) error {
	if len(r.Routes) > maxRoutes {
		return fmt.Errorf("routes has %d entries; at most %d are taken", len(r.Routes), maxRoutes)
	}
	for i := range r.Routes {
		if err := r.Routes[i].check(); err != nil {
			return fmt.Errorf("routes[%d] %q: %w", i, r.Routes[i].Name, err)
		}
	}
	return customer.Check(r.Customers)
}

func (*Routing) kind() Kind { return KindRouting }

// Route sends the requests of a host whose path starts with a prefix to services.
type Route struct {
	Name   string    `json:"name"`
	Host   string    `json:"host"`
	Prefix string    `json:"prefix"`
	Kind   RouteKind `json:"kind"`
	// Resumable streams may be taken up at another engine after their last event.
	Resumable bool `json:"resumable,omitempty"`
	// Timeout bounds how long a request is held, Objective is when an answer is due.
	Timeout   Duration `json:"timeout"`
	Objective Duration `json:"objective"`
	// Attempts is the largest number of endpoints that one request may be sent to.
	Attempts int `json:"attempts"`
	// Priority is the rank of the requests; 0 goes first.
	Priority int      `json:"priority"`
	Targets  []Target `json:"targets"`
	// Open says that requests on the route need no customer's key.
	Open bool `json:"open,omitempty"`
}

// Idempotent reports whether a request on the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == RouteRepeatable || (r.Kind == RouteStream && r.Resumable)
}

func (r *Route) check() error {
	switch r.Kind {
	case RouteRepeatable, RouteOnce, RouteStream:
	default:
		return fmt.Errorf("kind %q is not known", r.Kind)
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		return fmt.Errorf("prefix %q must start with /", r.Prefix)
	}
	if time.Duration(r.Timeout) <= 0 {
		return fmt.Errorf("timeout must be positive")
	}
	if len(r.Targets) == 0 {
		return fmt.Errorf("targets must not be empty")
	}
	for _, t := range r.Targets {
		if err := needRange("weight", t.Weight, 0, maxWeight); err != nil {
			return err
		}
	}
	if err := needRange("priority", r.Priority, 0, maxPriority); err != nil {
		return err
	}
	return needRange("attempts", r.Attempts, 1, maxAttempts)
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// RouteService describes a service whose endpoints are found by discovery.
type RouteService struct {
	Name string `json:"name"`
	// MaxConns bounds the connections that one endpoint takes from all boxes together.
	MaxConns int `json:"max_conns"`
	// Engine is set for services of model engines.
	Engine *EngineClass `json:"engine,omitempty"`
}

// EngineClass describes the engines of a service.
type EngineClass struct {
	// Batch is how many requests an engine runs at once, KVTokens how many tokens its cache holds.
	Batch    int `json:"batch"`
	KVTokens int `json:"kv_tokens"`
	// AdapterSlots bounds the adapters, and WeightsMB all weights, that an engine holds.
	AdapterSlots int     `json:"adapter_slots"`
	WeightsMB    float64 `json:"weights_mb"`
	// LoadsPerSecond is what the weight store allows for base models over all engines.
	LoadsPerSecond float64     `json:"loads_per_second"`
	Models         []BaseModel `json:"models"`
}

// Slots returns how many adapters an engine with the model has room for.
func (e *EngineClass) Slots(model string) int {
	for _, m := range e.Models {
		if m.Name != model || m.AdapterMB <= 0 {
			continue
		}
		return max(0, min(e.AdapterSlots, int((e.WeightsMB-m.WeightsMB)/m.AdapterMB)))
	}
	return e.AdapterSlots
}

// BaseModel is a base model that engines of a class may serve.
type BaseModel struct {
	Name      string  `json:"name"`
	WeightsMB float64 `json:"weights_mb"`
	AdapterMB float64 `json:"adapter_mb"`
	Adapters  int     `json:"adapters"`
}

// CallerLimits bound what callers may send and how long a connection may rest.
type CallerLimits struct {
	HeaderBytes int      `json:"header_bytes"`
	BodyBytes   int64    `json:"body_bytes"`
	HeaderTime  Duration `json:"header_time"`
	IdleTime    Duration `json:"idle_time"`
}
