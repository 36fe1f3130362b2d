package catalog

import (
	"slices"
	"strconv"
	"strings"

	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/resource"
)

func lookup[T any](c *Catalog, kind, name string) (*T, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	v, ok := c.entries[kind][name].value.(*T)
	return v, ok
}

// Names returns the names of the objects of a kind.
func (c *Catalog) Names(kind string) []string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	names := make([]string, 0, len(c.entries[kind]))
	for name := range c.entries[kind] {
		names = append(names, name)
	}
	return names
}

// Adapter returns a declared adapter.
func (c *Catalog) Adapter(name string) (*resource.Adapter, bool) {
	return lookup[resource.Adapter](c, string(resource.KindAdapter), name)
}

// Version returns a declared adapter version.
func (c *Catalog) Version(ref resource.Ref) (*resource.AdapterVersion, bool) {
	return lookup[resource.AdapterVersion](c, string(resource.KindAdapterVersion), ref.String())
}

// Versions returns the versions of an adapter.
func (c *Catalog) Versions(adapter string) []string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return slices.Clone(c.versions[adapter])
}

// LatestVersion returns the highest version number of an adapter. It ignores versions that are not numbers.
func (c *Catalog) LatestVersion(adapter string) (int64, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	latest, found := int64(0), false
	for _, v := range c.versions[adapter] {
		if n, err := strconv.ParseInt(v, 10, 64); err == nil && (!found || n > latest) {
			latest, found = n, true
		}
	}
	return latest, found
}

// Priority returns a declared priority.
func (c *Catalog) Priority(name string) (*resource.Priority, bool) {
	return lookup[resource.Priority](c, string(resource.KindPriority), name)
}

// Cooperative returns a declared cooperative, that is, a customer.
func (c *Catalog) Cooperative(name string) (*resource.Cooperative, bool) {
	return lookup[resource.Cooperative](c, string(resource.KindCooperative), name)
}

// Service returns a declared service.
func (c *Catalog) Service(name string) (*resource.Service, bool) {
	return lookup[resource.Service](c, string(resource.KindService), name)
}

// Engine returns a declared engine.
func (c *Catalog) Engine(name string) (*resource.Engine, bool) {
	return lookup[resource.Engine](c, string(resource.KindEngine), name)
}

// Map returns the map of a cell and the version of the map's object.
func (c *Catalog) Map(cell string) (coordinator.Map, objects.Position, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	e := c.entries[coordinator.MapKind][cell]
	m, ok := e.value.(*coordinator.Map)
	if !ok {
		return coordinator.Map{}, 0, false
	}
	return *m, e.version, true
}

// Item is a held resource with its version.
type Item struct {
	Resource resource.Resource `json:"resource"`
	Version  objects.Position  `json:"version"`
}

// Resource returns the held resource with the given kind and name.
func (c *Catalog) Resource(kind resource.Kind, name string) (Item, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	e := c.entries[string(kind)][name]
	s, ok := e.value.(resource.Spec)
	return Item{resource.Resource{Kind: kind, Name: name, Spec: s}, e.version}, ok
}

// Resources returns the resources of a kind whose names start with prefix, sorted by name.
func (c *Catalog) Resources(kind resource.Kind, prefix string) []Item {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.resources(kind, prefix)
}

func (c *Catalog) resources(kind resource.Kind, prefix string) []Item {
	var items []Item
	for name, e := range c.entries[string(kind)] {
		if s, ok := e.value.(resource.Spec); ok && strings.HasPrefix(name, prefix) {
			items = append(items, Item{resource.Resource{Kind: kind, Name: name, Spec: s}, e.version})
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Resource.Name, b.Resource.Name) })
	return items
}
