package owner

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bellgap/bellgap/internal/resource"
)

// Part is a part of a prompt that other requests may share. Its key stands for it and all parts before it.
type Part struct {
	Key    uint64 `json:"k"`
	Tokens int    `json:"t"`
}

const (
	// maxPrefixes bounds the parts remembered of one engine, at about 150 bytes each: an engine's cache holds some hundred prompts.
	maxPrefixes = 2048
	// defaultCache is taken for the cache of an engine that does not tell its size, in tokens.
	defaultCache = 100000
)

type prefixKey struct {
	ref resource.Ref
	key uint64
}

// prefixes remembers which parts of prompts an engine has read for which adapter. Like the engine it forgets those that were not
// used for the longest time when its cache is full.
type prefixes struct {
	most   int
	tokens int
	lru    *simplelru.LRU[prefixKey, int]
}

func newPrefixes(most int) *prefixes {
	p := &prefixes{most: most}
	if most <= 0 {
		p.most = defaultCache
	}
	// The size is a positive constant, the only thing that is checked.
	p.lru, _ = simplelru.NewLRU(maxPrefixes, func(_ prefixKey, tokens int) { p.tokens -= tokens })
	return p
}

// cached returns how many tokens at the start of a prompt the engine has.
func (p *prefixes) cached(ref resource.Ref, parts []Part) int {
	sum := 0
	for _, part := range parts {
		if !p.lru.Contains(prefixKey{ref, part.Key}) {
			break
		}
		sum += part.Tokens
	}
	return sum
}

// add notes that the engine reads a prompt. Parts are used from the last to the first, so that a part outlives those that need it.
func (p *prefixes) add(ref resource.Ref, parts []Part) {
	for i := len(parts) - 1; i >= 0; i-- {
		k := prefixKey{ref, parts[i].Key}
		if _, ok := p.lru.Get(k); ok {
			continue
		}
		p.tokens += parts[i].Tokens
		p.lru.Add(k, parts[i].Tokens)
	}
	for p.tokens > p.most {
		if _, _, ok := p.lru.RemoveOldest(); !ok {
			return
		}
	}
}

func (p *prefixes) clear() { p.lru.Purge() }
