package owner

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bellgap/bellgap/internal/resource"
)

// PromptPart is a part of a prompt that other requests may share. Its key identifies this part together with all parts before it.
type PromptPart struct {
	Key    uint64 `json:"k"`
	Tokens int    `json:"t"`
}

const (
	// maxCachedParts is the number of parts stored per engine, at about 150 bytes each. An engine's cache holds some hundred
	// prompts.
	maxCachedParts = 2048
	// defaultCacheTokens is the assumed cache size in tokens of an engine whose cache size is unknown.
	defaultCacheTokens = 100000
)

type prefixKey struct {
	ref resource.Ref
	key uint64
}

// prefixCache models the prefix cache of an engine: the prompt parts that it has processed per adapter. Like the engine, it
// removes the least recently used parts when the cache is full.
type prefixCache struct {
	maxTokens int
	tokens    int
	lru       *simplelru.LRU[prefixKey, int]
}

func newPrefixCache(maxTokens int) *prefixCache {
	p := &prefixCache{maxTokens: maxTokens}
	if maxTokens <= 0 {
		p.maxTokens = defaultCacheTokens
	}
	// NewLRU fails only if the size is not positive.
	p.lru, _ = simplelru.NewLRU(maxCachedParts, func(_ prefixKey, tokens int) { p.tokens -= tokens })
	return p
}

// cachedTokens returns the number of tokens at the start of a prompt that are in the engine's cache.
func (p *prefixCache) cachedTokens(ref resource.Ref, parts []PromptPart) int {
	sum := 0
	for _, part := range parts {
		if !p.lru.Contains(prefixKey{ref, part.Key}) {
			break
		}
		sum += part.Tokens
	}
	return sum
}

// add stores the parts of a prompt. It adds the last part first, so that a part is removed later than the parts that follow it in
// the prompt and need it.
func (p *prefixCache) add(ref resource.Ref, parts []PromptPart) {
	for i := len(parts) - 1; i >= 0; i-- {
		k := prefixKey{ref, parts[i].Key}
		if _, ok := p.lru.Get(k); ok {
			continue
		}
		p.tokens += parts[i].Tokens
		p.lru.Add(k, parts[i].Tokens)
	}
	for p.tokens > p.maxTokens {
		if _, _, ok := p.lru.RemoveOldest(); !ok {
			return
		}
	}
}

func (p *prefixCache) clear() { p.lru.Purge() }
