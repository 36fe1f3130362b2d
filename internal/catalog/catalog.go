// Package catalog holds what is declared and the cell maps, as this box knows them; it never goes back.
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
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/route"
)

const (
	// maxTombstones bounds how many deletions are remembered for other boxes.
	maxTombstones = 4096
	// maxRecent bounds the changes kept in order.
	maxRecent = 512
)

type key struct {
	kind string
	name string
}

type entry struct {
	// version is that of the platform; zero if the platform does not have this generation, as after a restore from an older copy.
	version    objects.Position
	generation int64
	// changed is the version with which the value last changed; later ones only repeated it.
	changed objects.Position
	// listing is the number of the last list that held the object.
	listing int64
	// size is about how many bytes the object takes in a message.
	size int
	// ahead says that the store, restored from an older copy, last had an older form of the object, which others may hold.
	ahead bool
	// value is a resource.Spec or a *coordinator.Map.
	value any
}

// tombstone remembers a deletion.
type tombstone struct {
	version    objects.Position
	generation int64
	// returned says that the platform holds the object again, as after a restore.
	returned bool
	// withheld is the object as the store has it again, while its kind is withheld; nil if it has not.
	withheld *objects.Object
}

// Catalog is safe for use by many goroutines.
type Catalog struct {
	mu sync.RWMutex
	// entries holds objects by kind and name.
	entries  map[string]map[string]entry
	versions map[string][]string
	deleted  map[key]tombstone
	// floor is the newest deletion no longer remembered.
	floor    objects.Position
	revision objects.Position
	// listings counts the lists begun.
	listings int64
	changed  chan struct{}
	skipped  int
	// withholding holds the kinds of which deleted objects do not come back with a copy of the store.
	withholding map[string]bool
	// recent holds the last changes in order, complete after recentFrom, so that boxes that are nearly up to date cost little.
	recent     []objects.Object
	recentFrom objects.Position
	// topology is computed when asked for and dropped when a kind it is made of changes.
	topology *Topology
	// leaves, if set, reports whether an endpoint has said itself, in the life that began then, that it leaves.
	leaves func(endpoint string, started int64) bool
	// routes is made of routing, which is the routing configuration in force.
	routes  *route.Table
	routing *resource.Routing
}

// New returns an empty Catalog.
func New() *Catalog {
	return &Catalog{entries: map[string]map[string]entry{}, versions: map[string][]string{}, deleted: map[key]tombstone{}, withholding: map[string]bool{}, changed: make(chan struct{})}
}

// WatchedKinds lists the object kinds that a catalog holds.
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

// Changed returns a channel that is closed at the next change.
func (c *Catalog) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// Skipped returns how many objects could not be read.
func (c *Catalog) Skipped() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.skipped
}

// Apply takes changes since an earlier revision. Objects that are not newer than what is held are passed over; it returns how many are older.
func (c *Catalog) Apply(ch objects.Changes) (older int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range ch.Objects {
		if c.apply(o) {
			older++
		}
	}
	c.remember(ch)
	c.advance(ch.Revision, len(ch.Objects) > 0)
	return older
}

// remember keeps changes for boxes that ask next. Changes are only kept in the order of their versions.
func (c *Catalog) remember(ch objects.Changes) {
	fresh := slices.Clone(ch.Objects)
	fresh = slices.DeleteFunc(fresh, func(o objects.Object) bool { return o.Version <= c.revision })
	slices.SortFunc(fresh, func(a, b objects.Object) int { return cmp.Compare(a.Version, b.Version) })
	c.recent = append(c.recent, fresh...)
	if extra := len(c.recent) - maxRecent; extra > 0 {
		c.recentFrom = c.recent[extra-1].Version
		c.recent = slices.Delete(c.recent, 0, extra)
	}
}

func (c *Catalog) advance(revision objects.Position, changed bool) {
	c.revision = max(c.revision, revision)
	if changed {
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// apply takes one object in and reports whether what is held is newer. Generations decide what is; of one generation, the platform's later version.
func (c *Catalog) apply(o objects.Object) (older bool) {
	k := key{unique.Make(o.Kind).Value(), o.Name}
	have, known := c.entries[k.kind][k.name]
	if known && have.listing != c.listings {
		have.listing = c.listings
		c.entries[k.kind][k.name] = have
	}
	if last := max(have.version, c.deleted[k].version); o.Version <= last {
		return o.Version < last
	}
	if o.Deleted {
		c.remove(k, o.Version)
		return false
	}
	v, generation, err := decode(o)
	if err != nil {
		// An object this box cannot read keeps its last readable form.
		c.skipped++
		return false
	}
	if t, ok := c.deleted[k]; ok && generation <= t.generation {
		t.returned = true
		c.deleted[k] = t
		return true
	}
	if known && generation < have.generation {
		have.ahead = true
		c.entries[k.kind][k.name] = have
		return true
	}
	if c.withhold(k, o) {
		return true
	}
	delete(c.deleted, k)
	ahead := stillLeaving(have.value, v)
	if known && reflect.DeepEqual(have.value, v) {
		if have.ahead && !ahead {
			have.changed = o.Version
		}
		have.version, have.generation, have.listing, have.ahead = o.Version, generation, c.listings, ahead
		c.entries[k.kind][k.name] = have
		return false
	}
	c.add(k, entry{version: o.Version, changed: o.Version, generation: generation, listing: c.listings, size: sizeOf(o), value: v, ahead: ahead})
	return false
}

// stillLeaving keeps an endpoint leaving that was known to leave in the same life, and reports whether its new entry says otherwise: leaving is final, and
// a copy of the store may be older than the word.
func stillLeaving(had, now any) bool {
	before, ok := had.(*resource.Endpoint)
	if !ok || !before.Leaving {
		return false
	}
	after, ok := now.(*resource.Endpoint)
	if !ok || after.Leaving || after.Started != before.Started || after.Address != before.Address {
		return false
	}
	after.Leaving = true
	return true
}

// withhold keeps an object that was deleted in an earlier era apart while its kind is withheld, and reports whether it does. A copy of the store has objects
// again that have gone since; one that is written again in the new era has a later version and is taken in.
func (c *Catalog) withhold(k key, o objects.Object) bool {
	t, gone := c.deleted[k]
	if !gone || !c.withholding[k.kind] || t.version.Era() == o.Version.Era() || t.isWritten(o) {
		return false
	}
	t.withheld = &o
	c.deleted[k] = t
	return true
}

// isWritten reports whether an object that is withheld has been written since.
func (t tombstone) isWritten(o objects.Object) bool {
	return t.withheld != nil && t.withheld.Version.Era() == o.Version.Era() && t.withheld.Version < o.Version
}

// Withhold begins to withhold objects of a kind that were deleted in an earlier era and are there again.
func (c *Catalog) Withhold(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withholding[kind] = true
}

// Withheld returns how many objects are withheld.
func (c *Catalog) Withheld() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	n := 0
	for k, t := range c.deleted {
		if t.withheld != nil && c.withholding[k.kind] {
			n++
		}
	}
	return n
}

// Admit ends what Withhold began, takes in what is still there and returns it.
func (c *Catalog) Admit(kind string) []objects.Object {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.withholding, kind)
	var all []objects.Object
	for k, t := range c.deleted {
		if k.kind == kind && t.withheld != nil {
			all = append(all, *t.withheld)
		}
	}
	for _, o := range all {
		c.apply(o)
	}
	c.advance(c.revision, len(all) > 0)
	return all
}

// Touch counts an object as changed with its present version though it is as before: others may have dropped it meanwhile.
func (c *Catalog) Touch(kind, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.entries[kind][name]; ok {
		e.changed = e.version
		c.entries[kind][name] = e
	}
}

// add sets an entry and notes a version of an adapter that was not known.
func (c *Catalog) add(k key, e entry) {
	if _, known := c.entries[k.kind][k.name]; !known && k.kind == string(resource.KindAdapterVersion) {
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
	c.touched(k.kind)
}

// touched drops the routing view if it is made of kind.
func (c *Catalog) touched(kind string) {
	switch kind {
	case coordinator.MapKind, string(resource.KindEngine), string(resource.KindServing), string(resource.KindRouting), string(resource.KindEndpoint),
		string(resource.KindHolding):
		c.topology = nil
	}
}

func (c *Catalog) remove(k key, version objects.Position) {
	generation := max(c.entries[k.kind][k.name].generation, c.deleted[k].generation)
	delete(c.entries[k.kind], k.name)
	c.touched(k.kind)
	if adapter, v, ok := strings.Cut(k.name, "@"); ok && k.kind == string(resource.KindAdapterVersion) {
		c.versions[adapter] = slices.DeleteFunc(c.versions[adapter], func(s string) bool { return s == v })
		if len(c.versions[adapter]) == 0 {
			delete(c.versions, adapter)
		}
	}
	c.deleted[k] = tombstone{version: version, generation: generation}
	if len(c.deleted) > maxTombstones {
		c.forgetDeletions()
	}
}

// forgetDeletions drops the older half; sources that ask from before then have to list.
func (c *Catalog) forgetDeletions() {
	all := make([]objects.Position, 0, len(c.deleted))
	for _, t := range c.deleted {
		all = append(all, t.version)
	}
	slices.Sort(all)
	c.floor = all[len(all)/2]
	for k, t := range c.deleted {
		if t.version <= c.floor {
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
		return nil, 0, errors.New("catalog: kind or name does not match the object")
	}
	return shareText(r.Spec), r.Generation, r.Check()
}

// shareText keeps one copy of the words that thousands of adapters have in common.
func shareText(s resource.Spec) resource.Spec {
	if a, ok := s.(*resource.Adapter); ok {
		a.BaseModel = unique.Make(a.BaseModel).Value()
		a.Cooperative = unique.Make(a.Cooperative).Value()
		a.Priority = unique.Make(a.Priority).Value()
	}
	return s
}

// Since returns what changed after revision from, or objects.ErrGone if that is no longer known.
func (c *Catalog) Since(from objects.Position) (objects.Changes, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if from < c.floor || from > c.revision || from.Era() != c.revision.Era() {
		return objects.Changes{}, objects.ErrGone
	}
	ch := objects.Changes{Revision: c.revision}
	if from >= c.recentFrom {
		after, _ := slices.BinarySearchFunc(c.recent, from+1, func(o objects.Object, v objects.Position) int { return cmp.Compare(o.Version, v) })
		ch.Objects = slices.Clone(c.recent[after:])
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

// All returns everything, for a box that starts.
func (c *Catalog) All() objects.Changes {
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
	// The types held here have no values that cannot be encoded.
	b, _ := json.Marshal(v)
	return objects.Object{Kind: k.kind, Name: k.name, Version: e.version, Value: b}
}
