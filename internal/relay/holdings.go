package relay

import (
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/resource"
)

const (
	// holdingTTL is how long an engine counts as holding an adapter version after it answered for it. Engines evict idle
	// adapters after some tens of seconds of other work.
	holdingTTL = 30 * time.Second
	// maxHoldings bounds the recorded entries, at about 100 bytes each.
	maxHoldings = 4096
)

type holdingKey struct {
	ref    resource.Ref
	engine string
}

// holdings records which engines answered for which adapter versions. These engines count as holding the versions, in
// addition to those that discovery lists, also while no owner can be asked.
type holdings struct {
	mu         sync.Mutex
	answeredAt map[holdingKey]time.Time
}

func newHoldings() *holdings { return &holdings{answeredAt: map[holdingKey]time.Time{}} }

// add records that an engine answered for an adapter version.
func (h *holdings) add(ref resource.Ref, engine string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.answeredAt) >= maxHoldings {
		h.dropExpired(now)
	}
	h.answeredAt[holdingKey{ref, engine}] = now
}

// remove records that an engine does not hold an adapter version.
func (h *holdings) remove(ref resource.Ref, engine string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.answeredAt, holdingKey{ref, engine})
}

// has reports whether an engine answered for an adapter version within holdingTTL.
func (h *holdings) has(ref resource.Ref, engine string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.answeredAt[holdingKey{ref, engine}]
	return ok && now.Sub(at) < holdingTTL
}

// dropExpired removes the expired entries. If too many are left, it removes all of them.
func (h *holdings) dropExpired(now time.Time) {
	for k, at := range h.answeredAt {
		if now.Sub(at) >= holdingTTL {
			delete(h.answeredAt, k)
		}
	}
	if len(h.answeredAt) >= maxHoldings {
		clear(h.answeredAt)
	}
}
