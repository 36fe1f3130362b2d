package relay

import (
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/resource"
)

const (
	// rememberFor is how long an engine that answered for an adapter version counts as holding it: idle adapters make way
	// after some tens of seconds of other work.
	rememberFor = 30 * time.Second
	// maxHoldings bounds what is remembered, at about 100 bytes each.
	maxHoldings = 4096
)

type holdingKey struct {
	ref    resource.Ref
	engine string
}

// memory remembers which engines answered for which adapter versions, for times when no owner can be asked.
type memory struct {
	mu   sync.Mutex
	seen map[holdingKey]time.Time
}

func newMemory() *memory { return &memory{seen: map[holdingKey]time.Time{}} }

// answered notes that an engine answered for an adapter version.
func (m *memory) answered(ref resource.Ref, engine string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.seen) >= maxHoldings {
		m.forgetOld(now)
	}
	m.seen[holdingKey{ref, engine}] = now
}

// lacks notes that an engine does not hold an adapter version.
func (m *memory) lacks(ref resource.Ref, engine string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.seen, holdingKey{ref, engine})
}

// holds reports whether an engine answered for an adapter version lately.
func (m *memory) holds(ref resource.Ref, engine string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.seen[holdingKey{ref, engine}]
	return ok && now.Sub(at) < rememberFor
}

func (m *memory) forgetOld(now time.Time) {
	for k, at := range m.seen {
		if now.Sub(at) >= rememberFor {
			delete(m.seen, k)
		}
	}
	if len(m.seen) >= maxHoldings {
		clear(m.seen)
	}
}
