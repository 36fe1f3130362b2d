// Package placement orders candidates by rendezvous hash, so that every box computes the same order without a directory.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns names from best to worst for key.
func Rank(key string, names []string) []string {
	return Top(key, names, len(names))
}

type scored struct {
	name  string
	score uint64
}

// Top returns the best n of names for key, best first.
func Top(key string, names []string, n int) []string {
	n = min(n, len(names))
	if n <= 0 {
		return nil
	}
	keyHash := xxhash.Sum64String(key)
	best := make([]scored, 0, n+1)
	for _, name := range names {
		s := scored{name, mix(keyHash ^ xxhash.Sum64String(name))}
		if len(best) == n && !before(s, best[n-1]) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, s, compare)
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), n)]
	}
	out := make([]string, len(best))
	for i, s := range best {
		out[i] = s.name
	}
	return out
}

func compare(a, b scored) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(a.name, b.name)
}

func before(a, b scored) bool { return compare(a, b) < 0 }

// mix spreads the bits of h; it is the finalizer of MurmurHash3 (A. Appleby, public domain).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
