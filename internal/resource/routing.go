package resource

import (
	"fmt"
	"strings"
	"time"

	"github.com/bellgap/bellgap/internal/customer"
)

// Upper limits in a routing configuration.
const (
	maxRoutes   = 20000
	maxWeight   = 1000000
	maxAttempts = 16
	maxPriority = 9
)

// RouteKind determines how often a request on a route may run.
type RouteKind string

// The kinds of routes.
const (
	// RouteRepeatable requests may run more than once.
	RouteRepeatable RouteKind = "repeatable"
	// RouteOnce requests run at most once for each request id.
	RouteOnce RouteKind = "once"
	// RouteStream requests are answered with a stream of events. They run at most once, unless the route is Resumable.
	RouteStream RouteKind = "stream"
)

// Routing is the whole routing configuration. Only one version is in force at a time.
type Routing struct {
	// Version is the version number that the operator gives the configuration.
	Version  int64          `json:"version"`
	Routes   []Route        `json:"routes"`
	Services []RouteService `json:"services"`
	Limits   CallerLimits   `json:"limits"`
	// RequiresKey is set if requests must carry a customer's key, except on routes that are Open.
	RequiresKey bool                `json:"keyed,omitempty"`
	Customers   []customer.Customer `json:"customers,omitempty"`
}

// Check implements Spec.
func (r *Routing) Check(string) error {
	if len(r.Routes) > maxRoutes {
		return fmt.Errorf("routes has %d entries, at most %d are allowed", len(r.Routes), maxRoutes)
	}
	for i := range r.Routes {
		if err := r.Routes[i].check(); err != nil {
			return fmt.Errorf("routes[%d] %q: %w", i, r.Routes[i].Name, err)
		}
	}
	return customer.Check(r.Customers)
}

func (*Routing) kind() Kind { return KindRouting }

// Route sends the requests that match a host and a path prefix to services.
type Route struct {
	Name   string    `json:"name"`
	Host   string    `json:"host"`
	Prefix string    `json:"prefix"`
	Kind   RouteKind `json:"kind"`
	// Resumable is set if another engine may continue an interrupted stream after its last event.
	Resumable bool `json:"resumable,omitempty"`
	// Timeout is the longest time that a box keeps a request. Objective is the target time for the answer.
	Timeout   Duration `json:"timeout"`
	Objective Duration `json:"objective"`
	// GapObjective is the longest pause between two events of a stream that is answered in time, zero if there is no objective.
	GapObjective Duration `json:"gap_objective,omitempty"`
	// Attempts is the maximum number of endpoints that one request may be sent to.
	Attempts int `json:"attempts"`
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int      `json:"priority"`
	Targets  []Target `json:"targets"`
	// Open is set if requests on the route need no customer key.
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
		return fmt.Errorf("kind %q is unknown", r.Kind)
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
		if err := checkRange("weight", t.Weight, 0, maxWeight); err != nil {
			return err
		}
	}
	if err := checkRange("priority", r.Priority, 0, maxPriority); err != nil {
		return err
	}
	return checkRange("attempts", r.Attempts, 1, maxAttempts)
}

// Target is a service and its weight among the targets of a route.
type Target struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// RouteService describes a service whose endpoints are discovered.
type RouteService struct {
	Name string `json:"name"`
	// MaxConns is the maximum number of connections of all boxes together to one endpoint.
	MaxConns int `json:"max_conns"`
	// Engine describes the engines of a service of model engines. It is nil for other services.
	Engine *EngineClass `json:"engine,omitempty"`
}

// EngineClass describes the engines of a service.
type EngineClass struct {
	// Batch is the number of requests that an engine runs concurrently. KVTokens is the capacity of its KV cache, in tokens.
	Batch    int `json:"batch"`
	KVTokens int `json:"kv_tokens"`
	// AdapterSlots is the maximum number of adapters that an engine holds. WeightsMB is the memory for all weights, in MB.
	AdapterSlots int     `json:"adapter_slots"`
	WeightsMB    float64 `json:"weights_mb"`
	// LoadsPerSecond is the rate of base model loads that the weight store allows for all engines together.
	LoadsPerSecond float64     `json:"loads_per_second"`
	Models         []BaseModel `json:"models"`
}

// SlotsFor returns the number of adapters that fit in an engine that has loaded the base model.
func (e *EngineClass) SlotsFor(model string) int {
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

// CallerLimits holds the limits on what callers send, and on how long a connection may be idle.
type CallerLimits struct {
	HeaderBytes int      `json:"header_bytes"`
	BodyBytes   int64    `json:"body_bytes"`
	HeaderTime  Duration `json:"header_time"`
	IdleTime    Duration `json:"idle_time"`
}
