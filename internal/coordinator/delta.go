package coordinator

import (
	"cmp"
	"slices"

	"github.com/bellgap/bellgap/internal/objects"
)

// Delta contains the changes between two published maps of a cell. Only the long lists of a map, its members and owners, are sent as
// changes; Head contains the short lists in full.
type Delta struct {
	// From is the generation of the map that the delta applies to. If it is zero, the delta applies to any map and replaces it completely.
	From int64 `json:"from"`
	// Head is the newer map without its members and owners.
	Head        Map         `json:"head"`
	Members     []Member    `json:"members,omitempty"`
	MembersGone []string    `json:"members_gone,omitempty"`
	Owners      []Ownership `json:"owners,omitempty"`
	OwnersGone  []string    `json:"owners_gone,omitempty"`
	// Version is the version of the stored map object.
	Version objects.Position `json:"version"`
}

// Diff returns the delta from one map to a newer map. If from is the zero map, the delta contains the whole newer map.
func Diff(from, to Map) Delta {
	d := Delta{From: from.Generation, Head: to}
	d.Head.Members, d.Head.Owners = nil, nil
	d.Members, d.MembersGone = diffLists(from.Members, to.Members, func(m Member) string { return m.Box })
	d.Owners, d.OwnersGone = diffLists(from.Owners, to.Owners, func(o Ownership) string { return o.Engine })
	return d
}

// Approximate encoded sizes in bytes of the parts of a delta.
const (
	approxHeadSize        = 200
	approxMemberSize      = 160
	approxOwnerSize       = 80
	approxNameSize        = 20
	approxQuarantinedSize = 200
)

// Size returns the approximate size of the encoded delta in bytes, without encoding it.
func (d Delta) Size() int {
	return approxHeadSize + approxMemberSize*len(d.Members) + approxOwnerSize*len(d.Owners) +
		approxNameSize*(len(d.MembersGone)+len(d.OwnersGone)+len(d.Head.Leaving)) + approxQuarantinedSize*len(d.Head.Quarantined) + d.Head.SoftwareVersions.Size()
}

// diffLists returns the entries of to that are new or differ from the entry of the same key in from, and the keys that only from has.
func diffLists[T comparable](from, to []T, key func(T) string) (changed []T, removed []string) {
	before := make(map[string]T, len(from))
	for _, t := range from {
		before[key(t)] = t
	}
	for _, t := range to {
		if old, ok := before[key(t)]; !ok || old != t {
			changed = append(changed, t)
		}
		delete(before, key(t))
	}
	for n := range before {
		removed = append(removed, n)
	}
	slices.Sort(removed)
	return changed, removed
}

// Apply returns the newer map, or false if the delta does not apply to m.
func (d Delta) Apply(m Map) (Map, bool) {
	if d.From == 0 {
		m = Map{}
	}
	if d.From != m.Generation {
		return Map{}, false
	}
	out := d.Head
	out.Members = applyChanges(m.Members, d.Members, d.MembersGone, func(m Member) string { return m.Box })
	out.Owners = applyChanges(m.Owners, d.Owners, d.OwnersGone, func(o Ownership) string { return o.Engine })
	return out, true
}

// applyChanges returns base without the removed keys and with the changed entries, sorted by key.
func applyChanges[T any](base, changed []T, removed []string, key func(T) string) []T {
	byKey := make(map[string]T, len(base)+len(changed))
	for _, t := range base {
		byKey[key(t)] = t
	}
	for _, n := range removed {
		delete(byKey, n)
	}
	for _, t := range changed {
		byKey[key(t)] = t
	}
	out := make([]T, 0, len(byKey))
	for _, t := range byKey {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return out
}
