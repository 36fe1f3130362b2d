package coordinator

import (
	"cmp"
	"slices"
)

// keptDeltas is how many changes of the map are kept to tell what has changed: boxes that miss more get the whole map. At one map a
// heartbeat it is six seconds.
const keptDeltas = 16

// History holds the newest cell map and how it came about, for boxes that know an earlier one. It keeps what changed and not the maps, which
// would be 16 times 0.3 MB at 300 boxes and 3,000 engines.
type History struct {
	newest Map
	// steps hold the changes that led to newest, oldest first; each applies to the generation that the one before made.
	steps []Delta
}

// Set takes in a map as the newest. One that does not follow from the last replaces all that is known.
func (h *History) Set(m Map) {
	if m.Generation <= h.newest.Generation && m.Lease <= h.newest.Lease {
		return
	}
	if h.newest.Generation > 0 {
		h.steps = append(h.steps, Diff(h.newest, m))
	}
	if extra := len(h.steps) - keptDeltas; extra > 0 {
		h.steps = slices.Delete(h.steps, 0, extra)
	}
	h.newest = m
}

// Reset forgets everything.
func (h *History) Reset() { *h = History{} }

// Newest returns the newest map.
func (h *History) Newest() Map { return h.newest }

// Since returns what has changed since a generation, the whole map if that is not known any more, and false if nothing has.
func (h *History) Since(generation int64) (Delta, bool) {
	if h.newest.Generation <= generation {
		return Delta{}, false
	}
	from := slices.IndexFunc(h.steps, func(d Delta) bool { return d.From == generation })
	if generation == 0 || from < 0 {
		return Diff(Map{}, h.newest), true
	}
	return join(h.steps[from:]), true
}

// join returns one delta that does what several do one after the other.
func join(steps []Delta) Delta {
	if len(steps) == 1 {
		return steps[0]
	}
	out := Delta{From: steps[0].From, Head: steps[len(steps)-1].Head}
	members, owners := newUnion(func(m Member) string { return m.Box }), newUnion(func(o Ownership) string { return o.Engine })
	for _, d := range steps {
		members.add(d.Members, d.MembersGone)
		owners.add(d.Owners, d.OwnersGone)
	}
	out.Members, out.MembersGone = members.result()
	out.Owners, out.OwnersGone = owners.result()
	return out
}

// union joins changes of one list.
type union[T any] struct {
	name func(T) string
	now  map[string]T
	gone map[string]bool
}

func newUnion[T any](name func(T) string) *union[T] {
	return &union[T]{name: name, now: map[string]T{}, gone: map[string]bool{}}
}

func (u *union[T]) add(now []T, gone []string) {
	for _, n := range gone {
		delete(u.now, n)
		u.gone[n] = true
	}
	for _, t := range now {
		u.now[u.name(t)] = t
		delete(u.gone, u.name(t))
	}
}

func (u *union[T]) result() (now []T, gone []string) {
	for _, t := range u.now {
		now = append(now, t)
	}
	for n := range u.gone {
		gone = append(gone, n)
	}
	slices.SortFunc(now, func(a, b T) int { return cmp.Compare(u.name(a), u.name(b)) })
	slices.Sort(gone)
	return now, gone
}
