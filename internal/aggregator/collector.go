package aggregator

import "time"

// Collector gathers what comes within a window into one batch. The zero value is not ready; use NewCollector.
type Collector[T any] struct {
	cfg     CollectorConfig
	pending []T
	due     time.Time
	late    time.Time
}

// CollectorConfig configures a Collector.
type CollectorConfig struct {
	// Window is how long a batch waits for others after its first entry.
	Window time.Duration
	// StallAfter is by how much a batch may be sent late. One that is later comes from a process that stood still: what it read after that
	// may have been sent long before, and passing it on would make it look new.
	StallAfter time.Duration
}

// NewCollector returns a Collector.
func NewCollector[T any](cfg CollectorConfig) *Collector[T] { return &Collector[T]{cfg: cfg} }

// Add adds an entry and reports whether it begins a batch, which is then to be taken after the window.
func (c *Collector[T]) Add(now time.Time, entry T) bool {
	c.pending = append(c.pending, entry)
	if len(c.pending) > 1 {
		return false
	}
	c.due = now.Add(c.cfg.Window)
	return true
}

// Stalled notes that the process was found to have stood still until now.
func (c *Collector[T]) Stalled(now time.Time) { c.late = now }

// Take returns the entries of the batch, and whether they are fresh enough to be passed on: the process has stood still neither while they
// waited nor just before.
func (c *Collector[T]) Take(now time.Time) (batch []T, fresh bool) {
	batch, c.pending = c.pending, nil
	onTime := now.Sub(c.due) < c.cfg.StallAfter
	stood := !c.late.IsZero() && now.Sub(c.late) < c.cfg.Window+c.cfg.StallAfter
	return batch, onTime && !stood
}
