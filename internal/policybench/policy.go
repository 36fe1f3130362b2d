package policybench

// Routing is the method by which a policy selects the engine for a request.
type Routing int

// The routing methods.
const (
	// RouteCandidates tries the daemon's candidate engines in the daemon's order.
	RouteCandidates Routing = iota
	// RouteFirstCandidate tries only the first of the daemon's candidates.
	RouteFirstCandidate
	// RouteRandom selects a random engine of the base model.
	RouteRandom
	// RouteLeastLoaded selects the engine with the fewest requests in the last report. Reports are made once per second.
	RouteLeastLoaded
)

// Eviction is the method by which a policy selects the adapter to unload.
type Eviction int

// The eviction methods.
const (
	// EvictLowestRate uses the daemon's own rating of adapters.
	EvictLowestRate Eviction = iota
	// EvictLRU unloads the least recently used adapter.
	EvictLRU
	// EvictLFU unloads the least frequently used adapter.
	EvictLFU
	// EvictFarthestNextUse unloads the adapter whose next request is farthest in the future.
	EvictFarthestNextUse
)

// Policy is a set of rules for routing, eviction and loads.
type Policy struct {
	Name     string
	Routing  Routing
	Eviction Eviction
	// Uncoordinated lets each engine load adapters immediately. A load that starts while the loads exceed the budget takes longer.
	Uncoordinated bool
	// Pooled treats all engines of a base model as one large engine. The clairvoyant bound uses it.
	Pooled bool
}

// Policies returns the daemon's policy, the baselines and the clairvoyant bound, in this order.
func Policies() []Policy {
	return []Policy{
		{Name: "bellgap"},
		{Name: "home only", Routing: RouteFirstCandidate},
		{Name: "LRU", Eviction: EvictLRU},
		{Name: "LFU", Eviction: EvictLFU},
		{Name: "uncoordinated loads", Uncoordinated: true},
		{Name: "least loaded", Routing: RouteLeastLoaded, Eviction: EvictLRU},
		{Name: "random", Routing: RouteRandom, Eviction: EvictLRU},
		{Name: "clairvoyant bound", Routing: RouteFirstCandidate, Eviction: EvictFarthestNextUse, Pooled: true},
	}
}
