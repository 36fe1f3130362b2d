package catalog

import (
	"maps"
	"slices"

	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/placement"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/route"
)

// EngineView is a declared engine with its owner, if it has one.
type EngineView struct {
	Name  string
	Spec  *resource.Engine
	Owner coordinator.Member
	Epoch uint64
	// Leaving says that the engine's box is leaving: it gets no new work.
	Leaving bool
}

// EndpointView is a running instance of a service.
type EndpointView struct {
	Name string
	Spec *resource.Endpoint
	// Holds lists the adapter versions that discovery shows there, nil if that is not followed.
	Holds []string
}

// RoutingName is the name of the one resource that holds the routing configuration.
const RoutingName = "main"

// Topology is the routing view of one catalog state. It is never changed.
type Topology struct {
	// Engines holds all declared engines by name.
	Engines map[string]EngineView
	// ByModel lists the names of the engines with a live owner, for each base model.
	ByModel map[string][]string
	// Boxes lists the live boxes of all cells by name.
	Boxes map[string]coordinator.Member
	// Endpoints lists the endpoints of each service, ordered by name.
	Endpoints map[string][]EndpointView
	// Routes is the routing configuration in force, nil while none is known.
	Routes *route.Table
	// Serving holds the serving configuration of each base model.
	Serving map[string]*resource.Serving
	// Schedulers names the box that schedules the loads of each region: the coordinator of its first cell.
	Schedulers map[string]coordinator.Member
	// Quarantined lists the requests that cell maps say reach no endpoint.
	Quarantined []quarantine.Held
	leaving     map[string]bool
}

// defaultMaxEngines is how many engines are tried for one request where the serving configuration names no other number.
const defaultMaxEngines = 3

// MaxEngines returns how many engines of a base model are tried for one request.
func (t *Topology) MaxEngines(baseModel string) int {
	if s := t.Serving[baseModel]; s != nil {
		return s.MaxEngines
	}
	return defaultMaxEngines
}

// Topology returns the routing view of the present state.
func (c *Catalog) Topology() *Topology {
	c.mu.RLock()
	t := c.topology
	c.mu.RUnlock()
	if t != nil {
		return t
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.topology == nil {
		c.topology = c.computeTopology()
	}
	return c.topology
}

// Overlay sets what tells which endpoints have said themselves that they leave. What they say is newer than what discovery has of it, and final for the
// life that began at started.
func (c *Catalog) Overlay(leaves func(endpoint string, started int64) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaves, c.topology = leaves, nil
}

// Refresh makes the routing view anew, as endpoints have said something.
func (c *Catalog) Refresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.topology = nil
}

// withLeaving returns an endpoint as leaving if it has said so.
func (c *Catalog) withLeaving(name string, e *resource.Endpoint) *resource.Endpoint {
	if e.Leaving || c.leaves == nil || !c.leaves(name, e.Started) {
		return e
	}
	left := *e
	left.Leaving = true
	return &left
}

func (c *Catalog) computeTopology() *Topology {
	t := &Topology{
		Engines: map[string]EngineView{}, ByModel: map[string][]string{},
		Boxes: map[string]coordinator.Member{}, Serving: map[string]*resource.Serving{}, Endpoints: map[string][]EndpointView{},
		Routes: c.routeTable(),
	}
	owners := map[string]coordinator.Ownership{}
	t.leaving, t.Schedulers = map[string]bool{}, map[string]coordinator.Member{}
	for _, cell := range slices.Sorted(maps.Keys(c.entries[coordinator.MapKind])) {
		t.addMap(c.entries[coordinator.MapKind][cell], owners)
	}
	for _, it := range c.resources(resource.KindEngine, "") {
		if e, ok := it.Resource.Spec.(*resource.Engine); ok {
			t.addEngine(it.Resource.Name, e, owners[it.Resource.Name])
		}
	}
	for _, it := range c.resources(resource.KindEndpoint, "") {
		if e, ok := it.Resource.Spec.(*resource.Endpoint); ok {
			t.addEndpoint(it.Resource.Name, c.withLeaving(it.Resource.Name, e), c.holds(it.Resource.Name), owners[it.Resource.Name])
		}
	}
	for _, it := range c.resources(resource.KindServing, "") {
		if s, ok := it.Resource.Spec.(*resource.Serving); ok && t.Serving[s.BaseModel] == nil {
			t.Serving[s.BaseModel] = s
		}
	}
	return t
}

func (c *Catalog) holds(endpoint string) []string {
	h, ok := c.entries[string(resource.KindHolding)][endpoint].value.(*resource.Holding)
	if !ok {
		return nil
	}
	return h.Holds
}

// routeTable returns the table of the routing configuration; it is made anew only when that has changed.
func (c *Catalog) routeTable() *route.Table {
	r, ok := c.entries[string(resource.KindRouting)][RoutingName].value.(*resource.Routing)
	if ok && r != c.routing {
		c.routing, c.routes = r, route.New(r)
	}
	return c.routes
}

func (t *Topology) addMap(e entry, owners map[string]coordinator.Ownership) {
	m, ok := e.value.(*coordinator.Map)
	if !ok {
		return
	}
	for _, b := range m.Members {
		t.Boxes[b.Box] = b
	}
	for _, o := range m.Owners {
		owners[o.Engine] = o
	}
	if b, ok := t.Boxes[m.Coordinator]; ok && t.Schedulers[m.Region].Box == "" {
		t.Schedulers[m.Region] = b
	}
	for _, box := range m.Leaving {
		t.leaving[box] = true
	}
	t.Quarantined = append(t.Quarantined, m.Quarantined...)
}

// addEndpoint takes an endpoint in; one of a service of engines is an engine too.
func (t *Topology) addEndpoint(name string, e *resource.Endpoint, holds []string, o coordinator.Ownership) {
	t.Endpoints[e.Service] = append(t.Endpoints[e.Service], EndpointView{name, e, holds})
	if t.Routes == nil {
		return
	}
	s, ok := t.Routes.Service(e.Service)
	if !ok || s.Engine == nil {
		return
	}
	model := baseModel(name, e, s.Engine)
	t.addEngine(name, &resource.Engine{
		Address: e.Address, Zone: e.Zone, BaseModel: model, Slots: s.Engine.Slots(model) - spareSlots, Batch: s.Engine.Batch,
		Service: e.Service, FinishesFirst: true, KVTokens: int(kvShare * float64(s.Engine.KVTokens)), Started: e.Started,
	}, o)
	if e.Leaving {
		t.close(name)
	}
}

const (
	// spareSlots is left free on a discovered engine, for an adapter whose load ended without an answer. Using it as well gained nothing (0.490
	// of worth in place of 0.488 where it is one of eight).
	spareSlots = 1
	// kvShare is the part of an engine's cache that running requests may fill by their callers' guesses, which are often low.
	kvShare = 0.9
)

// baseModel returns the base model that an endpoint holds or, if it holds none, the one that every box picks for it.
func baseModel(name string, e *resource.Endpoint, class *resource.EngineClass) string {
	if e.BaseModel != "" {
		return e.BaseModel
	}
	models := make([]string, 0, len(class.Models))
	for _, m := range class.Models {
		models = append(models, m.Name)
	}
	if len(models) == 0 {
		return ""
	}
	return placement.Top(name, models, 1)[0]
}

// close marks an engine as one that gets no new work.
func (t *Topology) close(name string) {
	v := t.Engines[name]
	v.Leaving = true
	t.Engines[name] = v
}

func (t *Topology) addEngine(name string, e *resource.Engine, o coordinator.Ownership) {
	v := EngineView{Name: name, Spec: e, Epoch: o.Epoch, Leaving: e.Box != "" && t.leaving[e.Box]}
	if b, ok := t.Boxes[o.Owner]; ok {
		v.Owner = b
	}
	if v.Owner.Box != "" && !v.Leaving {
		t.ByModel[e.BaseModel] = append(t.ByModel[e.BaseModel], name)
	}
	t.Engines[name] = v
}
