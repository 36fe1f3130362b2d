package aggregator

import "time"

// Collector gathers the entries that arrive within a time window into one batch. The zero value is not usable; use NewCollector.
type Collector[T any] struct {
	cfg             CollectorConfig
	pending         []T
	dueAt           time.Time
	lastSuspendedAt time.Time
}

// CollectorConfig configures a Collector.
type CollectorConfig struct {
	// Window is how long a batch waits for more entries after its first entry.
	Window time.Duration
	// MaxDelay is the limit for a delayed batch. A batch that is taken later than this after the end of its window is from a process
	// that was suspended. The messages that such a process reads may have been sent long before, and forwarding them would make them look
	// new.
	MaxDelay time.Duration
}

// NewCollector returns a Collector.
func NewCollector[T any](cfg CollectorConfig) *Collector[T] { return &Collector[T]{cfg: cfg} }

// Add adds an entry and reports whether it begins a new batch. If so, the caller has to take that batch after the window.
func (c *Collector[T]) Add(now time.Time, entry T) bool {
	c.pending = append(c.pending, entry)
	if len(c.pending) > 1 {
		return false
	}
	c.dueAt = now.Add(c.cfg.Window)
	return true
}

// RecordSuspension records that the process was suspended until now.
func (c *Collector[T]) RecordSuspension(now time.Time) { c.lastSuspendedAt = now }

// Take returns the entries of the batch and whether they are fresh enough to be forwarded. They are fresh if the process was suspended
// neither while they waited nor shortly before.
func (c *Collector[T]) Take(now time.Time) (batch []T, fresh bool) {
	batch, c.pending = c.pending, nil
	onTime := now.Sub(c.dueAt) < c.cfg.MaxDelay
	recentlySuspended := !c.lastSuspendedAt.IsZero() && now.Sub(c.lastSuspendedAt) < c.cfg.Window+c.cfg.MaxDelay
	return batch, onTime && !recentlySuspended
}
