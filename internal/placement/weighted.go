package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weighted is a name with the weight that it has in a weighted order.
type Weighted struct {
	Name string
	// Weight is positive. A name of twice the weight is first for twice the keys.
	Weight float64
}

// weightedCandidate is the index of a name with its scores for a key.
type weightedCandidate struct {
	index int
	// score is the weighted score, hash the score without the weight.
	score float64
	hash  uint64
}

// TopWeighted returns the indexes of the n names that rank first for key by weighted rendezvous hashing, the first one first. If the
// weight of one name changes, only keys move that had this name first or now have it first. With equal weights the order is that of
// Top.
func TopWeighted(key string, names []Weighted, n int) []int {
	n = min(n, len(names))
	if n <= 0 {
		return nil
	}
	keyHash := xxhash.Sum64String(key)
	compare := func(a, b weightedCandidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(b.hash, a.hash), cmp.Compare(names[a.index].Name, names[b.index].Name))
	}
	best := make([]weightedCandidate, 0, n+1)
	for i, w := range names {
		c := weightedCandidate{index: i, hash: mixBits(keyHash ^ xxhash.Sum64String(w.Name))}
		c.score = weightedScore(c.hash, w.Weight)
		if len(best) == n && compare(c, best[n-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, c, compare)
		best = slices.Insert(best, at, c)
		best = best[:min(len(best), n)]
	}
	out := make([]int, len(best))
	for i, c := range best {
		out[i] = c.index
	}
	return out
}

// weightedScore returns the score of a name with a hash and a weight, for weighted rendezvous hashing: the negative weight over the
// logarithm of the hash as a number between 0 and 1.
func weightedScore(hash uint64, weight float64) float64 {
	const fractionBits = 53
	u := (float64(hash>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
	return -weight / math.Log(u)
}
