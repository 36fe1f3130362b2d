package catalog

import (
	"maps"
	"slices"

	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/lease"
	"github.com/bellgap/bellgap/internal/placement"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/route"
	"github.com/bellgap/bellgap/internal/softwareversion"
)

// EngineView is an engine with its owner, if it has one.
type EngineView struct {
	Name  string
	Spec  *resource.Engine
	Owner coordinator.Member
	Epoch uint64
	// Leaving is set if the engine or its box is leaving. The engine gets no new work.
	Leaving bool
}

// EndpointView is a running endpoint of a service.
type EndpointView struct {
	Name string
	Spec *resource.Endpoint
	// Holds lists the adapter versions that the endpoint holds according to discovery. It is nil if discovery does not report them.
	Holds []string
}

// RoutingName is the name of the one resource that holds the routing configuration.
const RoutingName = "main"

// Topology is the routing view of one state of the catalog. It is immutable.
type Topology struct {
	// Engines holds all engines by name, including endpoints of services that run models.
	Engines map[string]EngineView
	// ByModel lists, for each base model, the names of the engines whose owner is in a cell map and whose box is not leaving.
	ByModel map[string][]string
	// Boxes holds the members of all cell maps by name, including leaving and silent boxes.
	Boxes map[string]coordinator.Member
	// Unconfirmed holds the names of the boxes whose cell map the store has brought back from an older copy. No coordinator has written the map since,
	// and this box had none that was newer.
	Unconfirmed map[string]bool
	// Endpoints lists the endpoints of each service, sorted by name.
	Endpoints map[string][]EndpointView
	// Routes is the routing configuration in force. It is nil until one has been received.
	Routes *route.Table
	// Serving holds the serving configuration of each base model.
	Serving map[string]*resource.Serving
	// Schedulers holds, for each region, the box that schedules adapter loads: the coordinator of the region's first cell by name.
	Schedulers map[string]coordinator.Member
	// Quarantined lists the requests that, according to the cell maps, must not reach any endpoint.
	Quarantined []quarantine.Held
	// SoftwareVersions holds, for each cell map, the software versions that have served lately. It is nil for a map of an earlier build.
	SoftwareVersions softwareversion.Histories
	// MapEra is the latest era of the store in which a cell map was written.
	MapEra       int64
	leavingBoxes map[string]bool
	// scarceSlots is the largest number of adapter slots with which the engines of a service are scarce.
	scarceSlots int
	// allSlots is set if scarce engines have no spare slot.
	allSlots bool
}

// defaultMaxEngines is how many engines are tried for one request if the base model has no serving configuration.
const defaultMaxEngines = 3

// MaxEngines returns how many engines of a base model are tried for one request.
func (t *Topology) MaxEngines(baseModel string) int {
	if s := t.Serving[baseModel]; s != nil {
		return s.MaxEngines
	}
	return defaultMaxEngines
}

// IsScarce reports whether the engines of a service have so few adapter slots that they are scheduled as scarce.
func (t *Topology) IsScarce(service string) bool {
	if t.Routes == nil {
		return false
	}
	s, ok := t.Routes.Service(service)
	return ok && s.Engine != nil && s.Engine.AdapterSlots > 0 && s.Engine.AdapterSlots <= t.scarceSlots
}

// SetScarceSlots sets the largest number of adapter slots with which the engines of a service are scarce. Zero means that none are.
func (c *Catalog) SetScarceSlots(slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scarceSlots, c.topology = slots, nil
}

// SetAllSlots sets whether the owners of scarce engines use every adapter slot, so that none is kept free.
func (c *Catalog) SetAllSlots(enabled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allSlots, c.topology = enabled, nil
}

// Topology returns the routing view of the current state. It computes the view if a change has invalidated it.
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

// SetLeavingFunc sets the function that reports whether an endpoint itself has announced that it is leaving. The announcement is
// newer than the state in discovery, and final for the incarnation of the endpoint that began at started.
func (c *Catalog) SetLeavingFunc(isLeaving func(endpoint string, started int64) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isLeaving, c.topology = isLeaving, nil
}

// InvalidateTopology drops the routing view after an announcement of an endpoint. The next call of Topology computes it again.
func (c *Catalog) InvalidateTopology() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.topology = nil
}

// withReportedLeaving returns the endpoint. If the endpoint has announced that it is leaving, the result is a copy marked as leaving.
func (c *Catalog) withReportedLeaving(name string, e *resource.Endpoint) *resource.Endpoint {
	if e.Leaving || c.isLeaving == nil || !c.isLeaving(name, e.Started) {
		return e
	}
	leavingEndpoint := *e
	leavingEndpoint.Leaving = true
	return &leavingEndpoint
}

func (c *Catalog) computeTopology() *Topology {
	t := &Topology{
		Engines: map[string]EngineView{}, ByModel: map[string][]string{},
		Boxes: map[string]coordinator.Member{}, Unconfirmed: map[string]bool{}, Serving: map[string]*resource.Serving{}, Endpoints: map[string][]EndpointView{},
		Routes: c.routeTable(), scarceSlots: c.scarceSlots, allSlots: c.allSlots,
	}
	owners := map[string]coordinator.Ownership{}
	t.leavingBoxes, t.Schedulers = map[string]bool{}, map[string]coordinator.Member{}
	for _, cell := range slices.Sorted(maps.Keys(c.entries[coordinator.MapKind])) {
		t.addCellMap(c.entries[coordinator.MapKind][cell], owners)
	}
	for _, item := range c.resources(resource.KindEngine, "") {
		if e, ok := item.Resource.Spec.(*resource.Engine); ok {
			t.addEngine(item.Resource.Name, e, owners[item.Resource.Name])
		}
	}
	for _, item := range c.resources(resource.KindEndpoint, "") {
		if e, ok := item.Resource.Spec.(*resource.Endpoint); ok {
			t.addEndpoint(item.Resource.Name, c.withReportedLeaving(item.Resource.Name, e), c.heldVersions(item.Resource.Name),
				owners[item.Resource.Name])
		}
	}
	for _, item := range c.resources(resource.KindServing, "") {
		if s, ok := item.Resource.Spec.(*resource.Serving); ok && t.Serving[s.BaseModel] == nil {
			t.Serving[s.BaseModel] = s
		}
	}
	return t
}

func (c *Catalog) heldVersions(endpoint string) []string {
	h, ok := c.entries[string(resource.KindHolding)][endpoint].value.(*resource.Holding)
	if !ok {
		return nil
	}
	return h.Holds
}

// routeTable returns the table of the routing configuration. It builds a new table only if the configuration has changed.
func (c *Catalog) routeTable() *route.Table {
	r, ok := c.entries[string(resource.KindRouting)][RoutingName].value.(*resource.Routing)
	if ok && r != c.routing {
		c.routing, c.routes = r, route.New(r)
	}
	return c.routes
}

func (t *Topology) addCellMap(e entry, owners map[string]coordinator.Ownership) {
	m, ok := e.value.(*coordinator.Map)
	if !ok {
		return
	}
	for _, b := range m.Members {
		t.Boxes[b.Box] = b
		if e.fromRestore {
			t.Unconfirmed[b.Box] = true
		}
	}
	for _, o := range m.Owners {
		owners[o.Engine] = o
	}
	if b, ok := t.Boxes[m.Coordinator]; ok && t.Schedulers[m.Region].Box == "" {
		t.Schedulers[m.Region] = b
	}
	for _, box := range m.Leaving {
		t.leavingBoxes[box] = true
	}
	t.Quarantined = append(t.Quarantined, m.Quarantined...)
	t.MapEra = max(t.MapEra, lease.EraOf(m.Lease))
	versions := m.SoftwareVersions
	if versions != nil && e.fromRestore {
		// A later map, which is lost, may have listed more.
		versions = &softwareversion.History{Services: versions.Services, Routes: versions.Routes}
	}
	t.SoftwareVersions = append(t.SoftwareVersions, versions)
}

// EndpointVersions returns the software versions of the endpoints of each service, including those that are leaving.
func (t *Topology) EndpointVersions() map[string][]string {
	all := make(map[string][]string, len(t.Endpoints))
	for service, endpoints := range t.Endpoints {
		for _, e := range endpoints {
			if !slices.Contains(all[service], e.Spec.SoftwareVersion) {
				all[service] = append(all[service], e.Spec.SoftwareVersion)
			}
		}
	}
	return all
}

// ResumableRoutes returns the routes whose streams may be resumed.
func (t *Topology) ResumableRoutes() []softwareversion.Route {
	if t.Routes == nil {
		return nil
	}
	return t.Routes.Resumable()
}

// addEndpoint adds an endpoint. It also adds an endpoint as an engine if its service runs models.
func (t *Topology) addEndpoint(name string, e *resource.Endpoint, heldVersions []string, o coordinator.Ownership) {
	t.Endpoints[e.Service] = append(t.Endpoints[e.Service], EndpointView{name, e, heldVersions})
	if t.Routes == nil {
		return
	}
	s, ok := t.Routes.Service(e.Service)
	if !ok || s.Engine == nil {
		return
	}
	model := baseModel(name, e, s.Engine)
	t.addEngine(name, &resource.Engine{
		Address: e.Address, Zone: e.Zone, BaseModel: model, Slots: s.Engine.SlotsFor(model) - t.spareSlots(e.Service), Batch: s.Engine.Batch,
		Service: e.Service, DrainsBeforeUnload: true, KVTokens: int(kvFillLimit * float64(s.Engine.KVTokens)), Started: e.Started,
		Scarce: t.IsScarce(e.Service),
	}, o)
	if e.Leaving {
		t.markLeaving(name)
	}
}

// spareSlots returns how many adapter slots stay free on each engine of a service.
func (t *Topology) spareSlots(service string) int {
	if t.allSlots && t.IsScarce(service) {
		return 0
	}
	return spareSlots
}

const (
	// spareSlots is how many adapter slots stay free on a discovered engine, for an adapter whose load ended without an answer. Using this
	// slot as well gained nothing: with eight slots, the measured worth was 0.490 instead of 0.488.
	spareSlots = 1
	// kvFillLimit is the share of an engine's KV cache that running requests may fill according to their callers' estimates. The estimates
	// are often too low.
	kvFillLimit = 0.9
)

// baseModel returns the base model that an endpoint holds. If the endpoint holds none, it returns a model that is chosen by the
// endpoint's name, so that every box chooses the same model.
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

// markLeaving marks an engine as leaving, so that it gets no new work.
func (t *Topology) markLeaving(name string) {
	v := t.Engines[name]
	v.Leaving = true
	t.Engines[name] = v
}

func (t *Topology) addEngine(name string, e *resource.Engine, o coordinator.Ownership) {
	v := EngineView{Name: name, Spec: e, Epoch: o.Epoch, Leaving: e.Box != "" && t.leavingBoxes[e.Box]}
	if b, ok := t.Boxes[o.Owner]; ok {
		v.Owner = b
	}
	if v.Owner.Box != "" && !v.Leaving {
		t.ByModel[e.BaseModel] = append(t.ByModel[e.BaseModel], name)
	}
	t.Engines[name] = v
}
