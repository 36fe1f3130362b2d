package relay

import (
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/resource"
)

// crowdedFor is how long after the last sign of it an adapter version counts as crowded: a few times the life of a request.
const crowdedFor = 5 * time.Second

// crowds remembers the adapter versions whose engines all had requests waiting.
type crowds struct {
	mu    sync.Mutex
	until map[resource.Ref]time.Time
}

func newCrowds() *crowds { return &crowds{until: map[resource.Ref]time.Time{}} }

func (c *crowds) add(ref resource.Ref, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.until) >= maxRemembered {
		clear(c.until)
	}
	c.until[ref] = now.Add(crowdedFor)
}

func (c *crowds) has(ref resource.Ref, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.until[ref])
}
