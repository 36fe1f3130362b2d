package owner

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bellgap/bellgap/internal/resource"
)

// Part is a part of a prompt that other requests may share. Its key identifies this part together with all parts before it.
type Part struct {
	Key    uint64 `json:"k"`
	Tokens int    `json:"t"`
}

const (
	// maxPrefixes is the number of parts stored per engine, at about 150 bytes each. An engine's cache holds some hundred prompts.
	maxPrefixes = 2048
	// defaultCache is the assumed cache size in tokens of an engine whose cache size is unknown.
	defaultCache = 100000
)

type prefixKey struct {
	ref resource.Ref
	key uint64
}

// prefixes models the prefix cache of an engine: the prompt parts that it has processed per adapter. Like the engine, it removes the
// least recently used parts when the cache is full.
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
	// NewLRU fails only if the size is not positive.
	p.lru, _ = simplelru.NewLRU(maxPrefixes, func(_ prefixKey, tokens int) { p.tokens -= tokens })
	return p
}

// cached returns the number of tokens at the start of a prompt that are in the engine's cache.
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

// add stores the parts of a prompt. It adds the last part first, so that a part is removed later than the parts that follow it in the
// prompt and need it.
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
