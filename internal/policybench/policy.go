package policybench

// Route is how a policy chooses the engine of a request.
type Route int

// The routes.
const (
	// RouteHome takes the daemon's candidates in the daemon's order.
	RouteHome Route = iota
	// RouteHomeOnly takes only the first candidate.
	RouteHomeOnly
	// RouteRandom takes any engine of the base model.
	RouteRandom
	// RouteLeastLoaded takes the engine with the fewest requests in the last report, a second old.
	RouteLeastLoaded
)

// Evict is how a policy chooses what to unload.
type Evict int

// The evictions.
const (
	EvictRate Evict = iota
	EvictLRU
	EvictLFU
	EvictClairvoyant
)

// Policy is one way to decide.
type Policy struct {
	Name  string
	Route Route
	Evict Evict
	// Uncoordinated lets each engine load at once; loads above the budget slow all down.
	Uncoordinated bool
	// Pooled treats all engines of a base model as one, for the bound.
	Pooled bool
}

// Policies returns the daemon's policy first, then the baselines, then the bound.
func Policies() []Policy {
	return []Policy{
		{Name: "bellgap"},
		{Name: "home only", Route: RouteHomeOnly},
		{Name: "LRU", Evict: EvictLRU},
		{Name: "LFU", Evict: EvictLFU},
		{Name: "uncoordinated loads", Uncoordinated: true},
		{Name: "least loaded", Route: RouteLeastLoaded, Evict: EvictLRU},
		{Name: "random", Route: RouteRandom, Evict: EvictLRU},
		{Name: "clairvoyant bound", Route: RouteHomeOnly, Evict: EvictClairvoyant, Pooled: true},
	}
}
