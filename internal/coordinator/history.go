package coordinator

import (
	"cmp"
	"slices"
)

// maxDeltas is the number of deltas that a History keeps. Boxes that have missed more deltas get the whole map. With one map per
// heartbeat interval, 16 deltas cover six seconds.
const maxDeltas = 16

// History holds the newest cell map and the latest deltas that led to it, for boxes that have an earlier map. It keeps deltas instead
// of maps, as 16 maps would take 0.3 MB each at 300 boxes and 3,000 engines.
type History struct {
	newest Map
	// deltas lead to newest, oldest first. Each delta applies to the generation that the previous delta results in.
	deltas []Delta
}

// Set records m as the newest map. A map with neither a higher generation nor a higher lease epoch than the newest map is ignored.
func (h *History) Set(m Map) {
	if m.Generation <= h.newest.Generation && m.Lease <= h.newest.Lease {
		return
	}
	if h.newest.Generation > 0 {
		h.deltas = append(h.deltas, Diff(h.newest, m))
	}
	if extra := len(h.deltas) - maxDeltas; extra > 0 {
		h.deltas = slices.Delete(h.deltas, 0, extra)
	}
	h.newest = m
}

// Reset removes the newest map and all deltas.
func (h *History) Reset() { *h = History{} }

// Newest returns the newest map.
func (h *History) Newest() Map { return h.newest }

// Since returns the changes since a generation, or the whole map if the deltas since that generation are no longer kept. It returns
// false if there is no newer map.
func (h *History) Since(generation int64) (Delta, bool) {
	if h.newest.Generation <= generation {
		return Delta{}, false
	}
	first := slices.IndexFunc(h.deltas, func(d Delta) bool { return d.From == generation })
	if generation == 0 || first < 0 {
		return Diff(Map{}, h.newest), true
	}
	return joinDeltas(h.deltas[first:]), true
}

// joinDeltas combines consecutive deltas into one delta with the same effect.
func joinDeltas(deltas []Delta) Delta {
	if len(deltas) == 1 {
		return deltas[0]
	}
	out := Delta{From: deltas[0].From, Head: deltas[len(deltas)-1].Head}
	members, owners := newListChanges(func(m Member) string { return m.Box }), newListChanges(func(o Ownership) string { return o.Engine })
	for _, d := range deltas {
		members.add(d.Members, d.MembersGone)
		owners.add(d.Owners, d.OwnersGone)
	}
	out.Members, out.MembersGone = members.result()
	out.Owners, out.OwnersGone = owners.result()
	return out
}

// listChanges combines consecutive changes of one list of a map.
type listChanges[T any] struct {
	key     func(T) string
	changed map[string]T
	removed map[string]bool
}

func newListChanges[T any](key func(T) string) *listChanges[T] {
	return &listChanges[T]{key: key, changed: map[string]T{}, removed: map[string]bool{}}
}

func (u *listChanges[T]) add(changed []T, removed []string) {
	for _, n := range removed {
		delete(u.changed, n)
		u.removed[n] = true
	}
	for _, t := range changed {
		u.changed[u.key(t)] = t
		delete(u.removed, u.key(t))
	}
}

func (u *listChanges[T]) result() (changed []T, removed []string) {
	for _, t := range u.changed {
		changed = append(changed, t)
	}
	for n := range u.removed {
		removed = append(removed, n)
	}
	slices.SortFunc(changed, func(a, b T) int { return cmp.Compare(u.key(a), u.key(b)) })
	slices.Sort(removed)
	return changed, removed
}
