// Package origin records at which software version of an endpoint each resumable stream began. A stream may only be resumed at an
// endpoint of that version.
package origin

import (
	"sync"
	"time"
)

// maxTextBytes limits the length of each text in a Record.
const maxTextBytes = 128

// Record states at which software version the stream of an attempt began.
type Record struct {
	// Attempt is the caller's id of the attempt.
	Attempt string `json:"attempt"`
	Service string `json:"service"`
	Version string `json:"version"`
	// Sequence counts the endpoints to which the attempt was sent. A higher one replaces a lower one.
	Sequence int `json:"sequence"`
	// Archive asks the receiver to write the record to the stream archive.
	Archive bool `json:"archive,omitempty"`
}

// isValid reports whether a record may be kept.
func (r Record) isValid() bool {
	return r.Attempt != "" && len(r.Attempt) <= maxTextBytes && len(r.Service) <= maxTextBytes && len(r.Version) <= maxTextBytes
}

// RegisterConfig configures a Register.
type RegisterConfig struct {
	// MaxRecords is the maximum number of records. If there are more, the oldest ones are dropped.
	MaxRecords int
	// TTL is how long a record is kept at least, unless there are too many.
	TTL time.Duration
}

// Register holds records. It is safe for concurrent use.
type Register struct {
	cfg RegisterConfig
	mu  sync.Mutex
	// current and previous hold the records by attempt. When current is full or older than the TTL, it replaces previous.
	current, previous map[string]entry
	startedAt         time.Time
}

// entry is the record of the attempt that is its key.
type entry struct {
	service, version string
	sequence         int
	// firsthand is set if this box serves the attempt, begun if the stream has also begun here.
	firsthand, begun bool
}

// NewRegister returns an empty Register.
func NewRegister(cfg RegisterConfig) *Register {
	return &Register{cfg: cfg, current: map[string]entry{}}
}

// Put keeps a record unless a later one of the attempt is known. It ignores an invalid record. firsthand is set if this box serves the
// attempt.
func (g *Register) Put(now time.Time, r Record, firsthand bool) {
	if !r.isValid() || g.cfg.MaxRecords == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate(now)
	if known, ok := g.lookup(r.Attempt); ok && known.sequence > r.Sequence {
		return
	}
	g.current[r.Attempt] = entry{service: r.Service, version: r.Version, sequence: r.Sequence, firsthand: firsthand}
}

// Find returns the record of an attempt. firsthand reports whether this box serves or served the attempt.
func (g *Register) Find(now time.Time, attempt string) (r Record, firsthand, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate(now)
	e, ok := g.lookup(attempt)
	return Record{Attempt: attempt, Service: e.service, Version: e.version, Sequence: e.sequence}, e.firsthand, ok
}

// MarkBegun marks the record of a stream that has begun at this box.
func (g *Register) MarkBegun(now time.Time, attempt string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate(now)
	if e, ok := g.lookup(attempt); ok {
		e.begun = true
		g.current[attempt] = e
	}
}

// Begun returns the records of a service's streams that have begun at this box.
func (g *Register) Begun(now time.Time, service string) []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate(now)
	var all []Record
	for _, entries := range []map[string]entry{g.previous, g.current} {
		for attempt, e := range entries {
			if e.begun && e.service == service {
				all = append(all, Record{Attempt: attempt, Service: e.service, Version: e.version, Sequence: e.sequence})
			}
		}
	}
	return all
}

// Len returns the number of records.
func (g *Register) Len() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.current) + len(g.previous)
}

func (g *Register) lookup(attempt string) (entry, bool) {
	if e, ok := g.current[attempt]; ok {
		return e, true
	}
	e, ok := g.previous[attempt]
	return e, ok
}

func (g *Register) rotate(now time.Time) {
	age := now.Sub(g.startedAt)
	if age <= g.cfg.TTL && len(g.current) < max(1, g.cfg.MaxRecords/2) {
		return
	}
	g.previous = g.current
	if age > 2*g.cfg.TTL {
		g.previous = nil
	}
	g.current, g.startedAt = map[string]entry{}, now
}
