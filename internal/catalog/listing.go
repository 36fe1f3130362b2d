package catalog

import (
	"encoding/json"

	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/objects"
)

// Listing takes a full list in, page by page, so that a list of any length costs the memory of a page.
type Listing struct {
	catalog  *Catalog
	revision objects.Position
	// Behind says that the list is older than what the catalog was complete to, or of a later era: a stale read or a platform restored from an
	// older copy. Nothing is dropped or taken back then; Unstored says what the platform lost.
	Behind bool
}

// BeginList starts a list that is complete up to revision.
func (c *Catalog) BeginList(revision objects.Position) *Listing {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listings++
	l := &Listing{catalog: c, revision: revision, Behind: revision < c.revision || c.revision != 0 && revision.Era() > c.revision.Era()}
	if l.Behind {
		c.forgetVersions()
	}
	return l
}

// forgetVersions makes every version the platform names from now on count as later than those it named before.
func (c *Catalog) forgetVersions() {
	c.revision, c.floor = 0, 0
	for kind, byName := range c.entries {
		for name, e := range byName {
			e.version = 0
			c.entries[kind][name] = e
		}
	}
	for k, t := range c.deleted {
		t.version = 0
		c.deleted[k] = t
	}
}

// Page takes a part of the list in.
func (l *Listing) Page(changed []objects.Object) {
	l.catalog.mu.Lock()
	defer l.catalog.mu.Unlock()
	for _, o := range changed {
		l.catalog.apply(o)
	}
}

// End drops what no page held, unless it is newer than the list or the list is behind.
func (l *Listing) End() {
	c := l.catalog
	c.mu.Lock()
	defer c.mu.Unlock()
	for kind, byName := range c.entries {
		for name, e := range byName {
			if !l.Behind && e.listing != c.listings && e.version > 0 && e.version <= l.revision {
				c.remove(key{kind, name}, l.revision)
			}
		}
	}
	c.recent, c.recentFrom = nil, l.revision
	c.advance(l.revision, true)
}

// Merge takes in what another box holds and the platform has lost.
func (c *Catalog) Merge(changed []objects.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range changed {
		c.merge(o)
	}
	c.advance(c.revision, len(changed) > 0)
}

func (c *Catalog) merge(o objects.Object) {
	k := key{o.Kind, o.Name}
	have := max(c.entries[k.kind][k.name].generation, c.deleted[k].generation)
	if o.Deleted {
		if generation := GenerationOf(o); generation >= have {
			c.remove(k, 0)
			c.deleted[k] = tombstone{generation: generation, returned: true}
		}
		return
	}
	v, generation, err := decode(o)
	if err != nil || generation <= have {
		return
	}
	c.remove(k, 0)
	delete(c.deleted, k)
	c.add(k, entry{generation: generation, listing: c.listings, size: sizeOf(o), value: v})
}

// GenerationOf returns the generation of a stored object, zero if it has none.
func GenerationOf(o objects.Object) int64 {
	var v struct {
		Generation int64 `json:"generation"`
	}
	// An object that cannot be read counts as the oldest.
	_ = json.Unmarshal(o.Value, &v)
	return v.Generation
}

// Generation returns the generation of an object, deleted ones included.
func (c *Catalog) Generation(kind, name string) int64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return max(c.entries[kind][name].generation, c.deleted[key{kind, name}].generation)
}

// Unstored returns up to limit declared objects that the platform has lost, or has again though they were deleted.
func (c *Catalog) Unstored(limit int) []objects.Object {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var lost []objects.Object
	for kind, byName := range c.entries {
		if kind == coordinator.MapKind {
			continue
		}
		for name, e := range byName {
			if e.version == 0 && len(lost) < limit {
				lost = append(lost, encode(key{kind, name}, e))
			}
		}
	}
	for k, t := range c.deleted {
		if t.returned && len(lost) < limit {
			value, _ := json.Marshal(struct {
				Generation int64 `json:"generation"`
			}{t.generation})
			lost = append(lost, objects.Object{Kind: k.kind, Name: k.name, Deleted: true, Value: value})
		}
	}
	return lost
}

// KindSince returns the objects of a kind whose values changed after revision from, deletions included, and whether that is all
// that changed: deletions that are no longer remembered make it a full list instead.
func (c *Catalog) KindSince(kind string, from objects.Position) (changed []objects.Object, complete bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	complete = from > 0 && from >= c.floor
	for name, e := range c.entries[kind] {
		if !complete || e.changed > from {
			changed = append(changed, encode(key{kind, name}, e))
		}
	}
	for k, t := range c.deleted {
		if complete && k.kind == kind && t.version > from {
			changed = append(changed, objects.Object{Kind: kind, Name: k.name, Version: t.version, Deleted: true})
		}
	}
	return changed, complete
}

// objectFrame is about how many bytes an object takes in a message besides its name and value.
const objectFrame = 64

func sizeOf(o objects.Object) int { return objectFrame + len(o.Kind) + len(o.Name) + len(o.Value) }

// KindSize returns about how many bytes what KindSince returns takes in a message, without encoding it.
func (c *Catalog) KindSize(kind string, from objects.Position) int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	complete, size := from > 0 && from >= c.floor, 0
	for _, e := range c.entries[kind] {
		if !complete || e.changed > from {
			size += e.size
		}
	}
	for k, t := range c.deleted {
		if complete && k.kind == kind && t.version > from {
			size += objectFrame + len(kind) + len(k.name)
		}
	}
	return size
}
