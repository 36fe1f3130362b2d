// Package catalog holds the declared resources and the cell maps that this box has received. An older form of an object never
// replaces a newer one.
package catalog

import (
	"cmp"
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"strings"
	"sync"
	"unique"

	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/lease"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/route"
)

const (
	// maxTombstones is the maximum number of deletions that are kept for other boxes.
	maxTombstones = 4096
	// maxRecent is the maximum number of changes that are kept in the order of their versions.
	maxRecent = 512
)

type key struct {
	kind string
	name string
}

type entry struct {
	// version is the object's version in the platform's store. It is zero if the store does not have this generation, for example after a
	// restore from an older copy.
	version    objects.Position
	generation int64
	// changedAt is the version at which the value last changed. Later versions have the same value.
	changedAt objects.Position
	// lastListing is the number of the last full list that contained the object.
	lastListing int64
	// size is the approximate size of the object in a message, in bytes.
	size int
	// newerThanStore is set if the store, restored from an older copy, last returned an older form of the object. Other boxes may hold
	// that older form.
	newerThanStore bool
	// fromRestore is set for a cell map that a restore of the store has brought back, unless this box knew it or a newer one before.
	fromRestore bool
	// value is a resource.Spec or a *coordinator.Map.
	value any
}

// tombstone records the deletion of an object.
type tombstone struct {
	version    objects.Position
	generation int64
	// backInStore is set if the store has the object again, for example after a restore from an older copy.
	backInStore bool
	// withheld is the deleted object that the store has again, while its kind is withheld. It is nil if the store does not have the
	// object.
	withheld *objects.Object
}

// Catalog holds the objects that a box has received. It is safe for concurrent use.
type Catalog struct {
	mu sync.RWMutex
	// entries holds the objects by kind and name.
	entries  map[string]map[string]entry
	versions map[string][]string
	deleted  map[key]tombstone
	// deletionsFrom is the position after which all deletions are kept. It is the position of the newest dropped tombstone.
	deletionsFrom objects.Position
	revision      objects.Position
	// listingCount is the number of full lists that were begun.
	listingCount    int64
	nextChange      chan struct{}
	unreadableCount int
	// withheldKinds holds the kinds whose deleted objects stay deleted when a restored copy of the store contains them again.
	withheldKinds map[string]bool
	// recent holds the last changes in the order of their versions and is complete after recentFrom. Boxes that are nearly up to date are
	// served from recent, which costs little.
	recent     []objects.Object
	recentFrom objects.Position
	// topology is the routing view. It is computed on demand and dropped when an object of a kind that it is built from changes.
	topology *Topology
	// isLeaving, if set, reports whether the endpoint itself has announced that it is leaving, in the incarnation that began at started.
	isLeaving func(endpoint string, started int64) bool
	// scarceSlots is the largest number of adapter slots with which the engines of a service are scarce.
	scarceSlots int
	// allSlots is set if scarce engines have no spare slot.
	allSlots bool
	// routes is the table built from routing, the routing configuration in force.
	routes  *route.Table
	routing *resource.Routing
}

// New returns an empty Catalog.
func New() *Catalog {
	return &Catalog{
		entries: map[string]map[string]entry{}, versions: map[string][]string{}, deleted: map[key]tombstone{},
		withheldKinds: map[string]bool{}, nextChange: make(chan struct{}),
	}
}

// WatchedKinds returns the object kinds that a catalog holds.
func WatchedKinds() []string {
	kinds := []string{coordinator.MapKind}
	for _, k := range resource.Kinds() {
		kinds = append(kinds, string(k))
	}
	return kinds
}

// Revision returns the position in the store's history up to which the catalog is complete.
func (c *Catalog) Revision() objects.Position {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.revision
}

// NextChange returns a channel that is closed at the next change.
func (c *Catalog) NextChange() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.nextChange
}

// UnreadableObjects returns how many received objects were ignored because they could not be decoded or were invalid.
func (c *Catalog) UnreadableObjects() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.unreadableCount
}

// Apply applies changes since an earlier revision. It skips objects that are not newer than their held form, and returns how many are
// older.
func (c *Catalog) Apply(ch objects.Changes) (older int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range ch.Objects {
		if c.applyObject(o) {
			older++
		}
	}
	c.appendRecent(ch)
	c.advanceRevision(ch.Revision, len(ch.Objects) > 0)
	return older
}

// appendRecent keeps changes for the next requests of other boxes. It drops changes up to the catalog's revision, so that the kept
// changes are in the order of their versions.
func (c *Catalog) appendRecent(ch objects.Changes) {
	fresh := slices.Clone(ch.Objects)
	fresh = slices.DeleteFunc(fresh, func(o objects.Object) bool { return o.Version <= c.revision })
	slices.SortFunc(fresh, func(a, b objects.Object) int { return cmp.Compare(a.Version, b.Version) })
	c.recent = append(c.recent, fresh...)
	if extra := len(c.recent) - maxRecent; extra > 0 {
		c.recentFrom = c.recent[extra-1].Version
		c.recent = slices.Delete(c.recent, 0, extra)
	}
}

func (c *Catalog) advanceRevision(revision objects.Position, changed bool) {
	c.revision = max(c.revision, revision)
	if changed {
		close(c.nextChange)
		c.nextChange = make(chan struct{})
	}
}

// applyObject applies one object and reports whether its held form is newer. The form with the higher generation is newer. Within a
// generation, the form with the later version of the platform's store is newer.
func (c *Catalog) applyObject(o objects.Object) (older bool) {
	k := key{unique.Make(o.Kind).Value(), o.Name}
	current, exists := c.entries[k.kind][k.name]
	if exists && current.lastListing != c.listingCount {
		current.lastListing = c.listingCount
		c.entries[k.kind][k.name] = current
	}
	if lastVersion := max(current.version, c.deleted[k].version); o.Version <= lastVersion {
		return o.Version < lastVersion
	}
	if o.Deleted {
		c.remove(k, o.Version)
		return false
	}
	v, generation, err := decode(o)
	if err != nil {
		// Keep the last readable form of an object that this box cannot read.
		c.unreadableCount++
		return false
	}
	if t, ok := c.deleted[k]; ok && generation <= t.generation {
		t.backInStore = true
		c.deleted[k] = t
		return true
	}
	if exists && generation < current.generation {
		current.newerThanStore = true
		c.entries[k.kind][k.name] = current
		return true
	}
	if c.withholdDeleted(k, o) {
		return true
	}
	delete(c.deleted, k)
	keptLeaving := keepLeaving(current.value, v)
	if exists && reflect.DeepEqual(current.value, v) {
		if current.newerThanStore && !keptLeaving {
			current.changedAt = o.Version
		}
		current.version, current.generation, current.lastListing, current.newerThanStore = o.Version, generation, c.listingCount, keptLeaving
		c.entries[k.kind][k.name] = current
		return false
	}
	c.add(k, entry{
		version: o.Version, changedAt: o.Version, generation: generation, lastListing: c.listingCount,
		size: messageSize(o), value: v, newerThanStore: keptLeaving, fromRestore: isFromEarlierEra(v, o.Version) && (!exists || current.fromRestore),
	})
	return false
}

// isFromEarlierEra reports whether a value is a cell map that was written in an earlier era of the store than that of its version.
func isFromEarlierEra(value any, version objects.Position) bool {
	m, ok := value.(*coordinator.Map)
	return ok && lease.EraOf(m.Lease) < version.Era()
}

// keepLeaving marks the updated endpoint as leaving if the previous one was leaving and is the same incarnation. It reports whether
// it changed the updated endpoint. Leaving is final, and a restored copy of the store may be older than the time at which the
// endpoint began to leave.
func keepLeaving(previous, updated any) bool {
	previousEndpoint, ok := previous.(*resource.Endpoint)
	if !ok || !previousEndpoint.Leaving {
		return false
	}
	updatedEndpoint, ok := updated.(*resource.Endpoint)
	if !ok || updatedEndpoint.Leaving || updatedEndpoint.Started != previousEndpoint.Started ||
		updatedEndpoint.Address != previousEndpoint.Address {
		return false
	}
	updatedEndpoint.Leaving = true
	return true
}

// withholdDeleted withholds an object that was deleted in an earlier era while its kind is withheld, and reports whether it did. A
// restored copy of the store contains objects that were deleted after the copy was made. An object that is written again in the new
// era has a later version and is applied.
func (c *Catalog) withholdDeleted(k key, o objects.Object) bool {
	t, wasDeleted := c.deleted[k]
	if !wasDeleted || !c.withheldKinds[k.kind] || t.version.Era() == o.Version.Era() || t.isRewrittenBy(o) {
		return false
	}
	t.withheld = &o
	c.deleted[k] = t
	return true
}

// isRewrittenBy reports whether o is a later write, in the same era, of the withheld object.
func (t tombstone) isRewrittenBy(o objects.Object) bool {
	return t.withheld != nil && t.withheld.Version.Era() == o.Version.Era() && t.withheld.Version < o.Version
}

// BeginWithholding starts to withhold the objects of a kind that were deleted in an earlier era and are in the store again.
func (c *Catalog) BeginWithholding(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withheldKinds[kind] = true
}

// WithheldCount returns the number of objects that are withheld.
func (c *Catalog) WithheldCount() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	n := 0
	for k, t := range c.deleted {
		if t.withheld != nil && c.withheldKinds[k.kind] {
			n++
		}
	}
	return n
}

// ReleaseWithheld ends the withholding that BeginWithholding started. It applies the withheld objects that the store still has and
// returns them.
func (c *Catalog) ReleaseWithheld(kind string) []objects.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.withheldKinds, kind)
	var withheld []objects.Object
	for k, t := range c.deleted {
		if k.kind == kind && t.withheld != nil {
			withheld = append(withheld, *t.withheld)
		}
	}
	for _, o := range withheld {
		c.applyObject(o)
	}
	c.advanceRevision(c.revision, len(withheld) > 0)
	return withheld
}

// MarkChanged counts an object as changed at its present version although its value is the same. Other boxes may have dropped the
// object in the meantime.
func (c *Catalog) MarkChanged(kind, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.entries[kind][name]; ok {
		e.changedAt = e.version
		c.entries[kind][name] = e
	}
}

// add sets an entry. If the entry is a new adapter version, add also adds it to the adapter's versions.
func (c *Catalog) add(k key, e entry) {
	if _, exists := c.entries[k.kind][k.name]; !exists && k.kind == string(resource.KindAdapterVersion) {
		adapter, version, _ := strings.Cut(k.name, "@")
		c.versions[adapter] = append(c.versions[adapter], version)
	}
	c.set(k, e)
}

func (c *Catalog) set(k key, e entry) {
	if c.entries[k.kind] == nil {
		c.entries[k.kind] = map[string]entry{}
	}
	c.entries[k.kind][k.name] = e
	c.invalidateTopologyFor(k.kind)
}

// invalidateTopologyFor drops the routing view if the view is built from objects of the kind.
func (c *Catalog) invalidateTopologyFor(kind string) {
	switch kind {
	case coordinator.MapKind, string(resource.KindEngine), string(resource.KindServing), string(resource.KindRouting), string(resource.KindEndpoint),
		string(resource.KindHolding):
		c.topology = nil
	}
}

func (c *Catalog) remove(k key, version objects.Position) {
	generation := max(c.entries[k.kind][k.name].generation, c.deleted[k].generation)
	delete(c.entries[k.kind], k.name)
	c.invalidateTopologyFor(k.kind)
	if adapter, v, ok := strings.Cut(k.name, "@"); ok && k.kind == string(resource.KindAdapterVersion) {
		c.versions[adapter] = slices.DeleteFunc(c.versions[adapter], func(s string) bool { return s == v })
		if len(c.versions[adapter]) == 0 {
			delete(c.versions, adapter)
		}
	}
	c.deleted[k] = tombstone{version: version, generation: generation}
	if len(c.deleted) > maxTombstones {
		c.dropOldTombstones()
	}
}

// dropOldTombstones drops the older half of the tombstones. Boxes that request changes from an earlier position must list all objects.
func (c *Catalog) dropOldTombstones() {
	versions := make([]objects.Position, 0, len(c.deleted))
	for _, t := range c.deleted {
		versions = append(versions, t.version)
	}
	slices.Sort(versions)
	c.deletionsFrom = versions[len(versions)/2]
	for k, t := range c.deleted {
		if t.version <= c.deletionsFrom {
			delete(c.deleted, k)
		}
	}
}

func decode(o objects.Object) (value any, generation int64, err error) {
	if o.Kind == coordinator.MapKind {
		m := &coordinator.Map{}
		err = json.Unmarshal(o.Value, m)
		return m, m.Generation, err
	}
	var r resource.Resource
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return nil, 0, err
	}
	if string(r.Kind) != o.Kind || r.Name != o.Name {
		return nil, 0, errors.New("catalog: kind or name in the value differs from the object's kind or name")
	}
	return internStrings(r.Spec), r.Generation, r.Check()
}

// internStrings shares one copy of each string that thousands of adapters have in common.
func internStrings(s resource.Spec) resource.Spec {
	if a, ok := s.(*resource.Adapter); ok {
		a.BaseModel = unique.Make(a.BaseModel).Value()
		a.Cooperative = unique.Make(a.Cooperative).Value()
		a.Priority = unique.Make(a.Priority).Value()
	}
	return s
}

// ChangesSince returns the changes after revision from, or objects.ErrGone if they are no longer kept.
func (c *Catalog) ChangesSince(from objects.Position) (objects.Changes, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if from < c.deletionsFrom || from > c.revision || from.Era() != c.revision.Era() {
		return objects.Changes{}, objects.ErrGone
	}
	ch := objects.Changes{Revision: c.revision}
	if from >= c.recentFrom {
		first, _ := slices.BinarySearchFunc(c.recent, from+1, func(o objects.Object, v objects.Position) int { return cmp.Compare(o.Version, v) })
		ch.Objects = slices.Clone(c.recent[first:])
		return ch, nil
	}
	for kind, byName := range c.entries {
		for name, e := range byName {
			if e.version > from {
				ch.Objects = append(ch.Objects, encode(key{kind, name}, e))
			}
		}
	}
	for k, t := range c.deleted {
		if t.version > from {
			ch.Objects = append(ch.Objects, objects.Object{Kind: k.kind, Name: k.name, Version: t.version, Deleted: true})
		}
	}
	return ch, nil
}

// Snapshot returns all held objects, for a box that starts.
func (c *Catalog) Snapshot() objects.Changes {
	c.mu.RLock()
	defer c.mu.RUnlock()
	ch := objects.Changes{Revision: c.revision}
	for kind, byName := range c.entries {
		for name, e := range byName {
			ch.Objects = append(ch.Objects, encode(key{kind, name}, e))
		}
	}
	return ch
}

func encode(k key, e entry) objects.Object {
	v := e.value
	if s, ok := v.(resource.Spec); ok {
		v = resource.Resource{Kind: resource.Kind(k.kind), Name: k.name, Generation: e.generation, Spec: s}
	}
	// Encoding cannot fail: JSON can encode every value of the held types.
	b, _ := json.Marshal(v)
	return objects.Object{Kind: k.kind, Name: k.name, Version: e.version, Value: b}
}
