// Package placement ranks names by rendezvous hashing, so that every box computes the same order without a shared directory.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns all names in descending order of their score for key.
func Rank(key string, names []string) []string {
	return Top(key, names, len(names))
}

// candidate is a name with its score for a key.
type candidate struct {
	name  string
	score uint64
}

// Top returns the n names with the highest scores for key, the highest first.
func Top(key string, names []string, n int) []string {
	n = min(n, len(names))
	if n <= 0 {
		return nil
	}
	keyHash := xxhash.Sum64String(key)
	best := make([]candidate, 0, n+1)
	for _, name := range names {
		c := candidate{name, mixBits(keyHash ^ xxhash.Sum64String(name))}
		if len(best) == n && !ranksBefore(c, best[n-1]) {
			continue
		}
		index, _ := slices.BinarySearchFunc(best, c, compareRank)
		best = slices.Insert(best, index, c)
		best = best[:min(len(best), n)]
	}
	out := make([]string, len(best))
	for i, c := range best {
		out[i] = c.name
	}
	return out
}

// compareRank orders candidates by descending score, and those with equal scores by name.
func compareRank(a, b candidate) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(a.name, b.name)
}

func ranksBefore(a, b candidate) bool { return compareRank(a, b) < 0 }

// mixBits makes each bit of the result depend on all bits of h. It is the finalizer of MurmurHash3 (A. Appleby, public domain).
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
