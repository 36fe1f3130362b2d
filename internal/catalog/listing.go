package catalog

import (
	"encoding/json"

	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/objects"
)

// Listing applies a full list of objects page by page, so that a list of any length needs the memory of one page only.
type Listing struct {
	catalog  *Catalog
	revision objects.Position
	// Stale is set if the list ends before the catalog's revision or is of a later era. The cause is a stale read, or a platform that
	// was restored from an older copy. Such a list neither removes nor reverts objects. LostByStore returns the objects that the
	// platform lost.
	Stale bool
}

// BeginList starts to apply a list that is complete up to revision.
func (c *Catalog) BeginList(revision objects.Position) *Listing {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listingCount++
	l := &Listing{catalog: c, revision: revision, Stale: revision < c.revision || c.revision != 0 && revision.Era() > c.revision.Era()}
	if l.Stale {
		c.resetVersions()
	}
	return l
}

// resetVersions sets all held versions to zero, so that every version that the platform sends from now on counts as later.
func (c *Catalog) resetVersions() {
	c.revision, c.deletionsFrom = 0, 0
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

// ApplyPage applies one page of the list.
func (l *Listing) ApplyPage(page []objects.Object) {
	l.catalog.mu.Lock()
	defer l.catalog.mu.Unlock()
	for _, o := range page {
		l.catalog.applyObject(o)
	}
}

// End removes the objects that no page contained. It keeps objects that are newer than the list, and keeps all objects if Stale is set.
func (l *Listing) End() {
	c := l.catalog
	c.mu.Lock()
	defer c.mu.Unlock()
	for kind, byName := range c.entries {
		for name, e := range byName {
			if !l.Stale && e.lastListing != c.listingCount && e.version > 0 && e.version <= l.revision {
				c.remove(key{kind, name}, l.revision)
			}
		}
	}
	c.recent, c.recentFrom = nil, l.revision
	c.advanceRevision(l.revision, true)
}

// ApplyLost adds objects that the platform has lost and another box holds.
func (c *Catalog) ApplyLost(lost []objects.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range lost {
		c.mergeObject(o)
	}
	c.advanceRevision(c.revision, len(lost) > 0)
}

func (c *Catalog) mergeObject(o objects.Object) {
	k := key{o.Kind, o.Name}
	currentGeneration := max(c.entries[k.kind][k.name].generation, c.deleted[k].generation)
	if o.Deleted {
		if generation := GenerationOf(o); generation >= currentGeneration {
			c.remove(k, 0)
			c.deleted[k] = tombstone{generation: generation, backInStore: true}
		}
		return
	}
	v, generation, err := decode(o)
	if err != nil || generation <= currentGeneration {
		return
	}
	c.remove(k, 0)
	delete(c.deleted, k)
	c.add(k, entry{generation: generation, lastListing: c.listingCount, size: messageSize(o), value: v})
}

// GenerationOf returns the generation of a stored object, zero if it has none.
func GenerationOf(o objects.Object) int64 {
	var v struct {
		Generation int64 `json:"generation"`
	}
	// An object that cannot be decoded has generation zero and so counts as the oldest.
	_ = json.Unmarshal(o.Value, &v)
	return v.Generation
}

// Generation returns the generation of a held or deleted object.
func (c *Catalog) Generation(kind, name string) int64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return max(c.entries[kind][name].generation, c.deleted[key{kind, name}].generation)
}

// LostByStore returns up to limit declared objects that the platform has lost, or that it has again although they were deleted.
func (c *Catalog) LostByStore(limit int) []objects.Object {
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
		if t.backInStore && len(lost) < limit {
			value, _ := json.Marshal(struct {
				Generation int64 `json:"generation"`
			}{t.generation})
			lost = append(lost, objects.Object{Kind: k.kind, Name: k.name, Deleted: true, Value: value})
		}
	}
	return lost
}

// KindChangesSince returns the objects of a kind whose values changed after revision from, including deletions, and whether the
// changes are complete. If from is zero or deletions after it are no longer kept, KindChangesSince returns all objects of the kind
// and false.
func (c *Catalog) KindChangesSince(kind string, from objects.Position) (changed []objects.Object, complete bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	complete = from > 0 && from >= c.deletionsFrom
	for name, e := range c.entries[kind] {
		if !complete || e.changedAt > from {
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

// objectOverhead is the approximate size of an object in a message, in bytes, without its kind, name and value.
const objectOverhead = 64

func messageSize(o objects.Object) int {
	return objectOverhead + len(o.Kind) + len(o.Name) + len(o.Value)
}

// KindChangesSize returns the approximate size in a message, in bytes, of the objects that KindChangesSince returns. It does not
// encode them.
func (c *Catalog) KindChangesSize(kind string, from objects.Position) int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	complete, size := from > 0 && from >= c.deletionsFrom, 0
	for _, e := range c.entries[kind] {
		if !complete || e.changedAt > from {
			size += e.size
		}
	}
	for k, t := range c.deleted {
		if complete && k.kind == kind && t.version > from {
			size += objectOverhead + len(kind) + len(k.name)
		}
	}
	return size
}
