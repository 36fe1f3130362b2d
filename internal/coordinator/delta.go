package coordinator

import (
	"cmp"
	"slices"

	"github.com/bellgap/bellgap/internal/objects"
)

// Delta is what changed between two published maps of a cell. It is small where the maps are large. Lists that are short stand in Head whole.
type Delta struct {
	// From is the generation that the delta applies to; zero applies to any and replaces it whole.
	From int64 `json:"from"`
	// Head is the newer map without its members and owners.
	Head        Map         `json:"head"`
	Members     []Member    `json:"members,omitempty"`
	MembersGone []string    `json:"members_gone,omitempty"`
	Owners      []Ownership `json:"owners,omitempty"`
	OwnersGone  []string    `json:"owners_gone,omitempty"`
	// Version is that of the stored object.
	Version objects.Position `json:"version"`
}

// Diff returns the delta from one map to a newer one; from the zero map it is the whole newer map.
func Diff(from, to Map) Delta {
	d := Delta{From: from.Generation, Head: to}
	d.Head.Members, d.Head.Owners = nil, nil
	d.Members, d.MembersGone = changed(from.Members, to.Members, func(m Member) string { return m.Box })
	d.Owners, d.OwnersGone = changed(from.Owners, to.Owners, func(o Ownership) string { return o.Engine })
	return d
}

// Sizes in a message, about.
const (
	headSize   = 200
	memberSize = 160
	ownerSize  = 80
	nameSize   = 20
	heldSize   = 200
)

// Size returns about how many bytes the delta takes in a message, without encoding it.
func (d Delta) Size() int {
	return headSize + memberSize*len(d.Members) + ownerSize*len(d.Owners) + nameSize*(len(d.MembersGone)+len(d.OwnersGone)+len(d.Head.Leaving)) +
		heldSize*len(d.Head.Quarantined)
}

func changed[T comparable](from, to []T, name func(T) string) (now []T, gone []string) {
	had := make(map[string]T, len(from))
	for _, t := range from {
		had[name(t)] = t
	}
	for _, t := range to {
		if old, ok := had[name(t)]; !ok || old != t {
			now = append(now, t)
		}
		delete(had, name(t))
	}
	for n := range had {
		gone = append(gone, n)
	}
	slices.Sort(gone)
	return now, gone
}

// Apply returns the newer map, or false if the delta is not one from m.
func (d Delta) Apply(m Map) (Map, bool) {
	if d.From == 0 {
		m = Map{}
	}
	if d.From != m.Generation {
		return Map{}, false
	}
	out := d.Head
	out.Members = merged(m.Members, d.Members, d.MembersGone, func(m Member) string { return m.Box })
	out.Owners = merged(m.Owners, d.Owners, d.OwnersGone, func(o Ownership) string { return o.Engine })
	return out, true
}

func merged[T any](have, now []T, gone []string, name func(T) string) []T {
	byName := make(map[string]T, len(have)+len(now))
	for _, t := range have {
		byName[name(t)] = t
	}
	for _, n := range gone {
		delete(byName, n)
	}
	for _, t := range now {
		byName[name(t)] = t
	}
	out := make([]T, 0, len(byName))
	for _, t := range byName {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return out
}
