package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/recent"
)

const (
	// ranWellFor is for how long a request that ran well cannot be taken for one that ends endpoints. One that many callers send alike may be at
	// several endpoints when these end for another reason.
	ranWellFor = 30 * time.Second
	// maxCases bounds the requests that a box knows of, at some 300 bytes each; beyond it those heard of longest ago are dropped.
	maxCases = 2048
	// maxPublished bounds the requests that a cell map names, at some 200 bytes each; each has cost as many endpoints as it takes to be held.
	maxPublished = 256
	// lifeApart is how far apart two ends of an endpoint that does not say when it started lie at the least. What several boxes see of one end lies
	// within some milliseconds.
	lifeApart = time.Second
)

// RegisterConfig configures a Register.
type RegisterConfig struct {
	// Endpoints is how many endpoints end under a request before it is held.
	Endpoints int
	// Hold is how long it is held, and how long an endpoint that ended counts.
	Hold time.Duration
}

// Register is what one box knows of requests that were at endpoints when these ended. It does no I/O.
type Register struct {
	cfg     RegisterConfig
	ranWell *recent.Set[Fingerprint]

	mu    sync.Mutex
	cases map[Fingerprint]*entry
}

// entry is a case with what this box has done about it.
type entry struct {
	Case
	// heard is when this box last heard something new, heldAt when the case came to be held.
	heard  time.Time
	heldAt time.Time
	// published says that the newest cell map names it: what the map says goes before this box's own clock then.
	published bool
}

// NewRegister returns an empty Register.
func NewRegister(cfg RegisterConfig) *Register {
	return &Register{cfg: cfg, ranWell: recent.New[Fingerprint](ranWellFor), cases: map[Fingerprint]*entry{}}
}

// Add takes in what another box, or this one, knows of a request. It returns all that is known now, and whether that is more than before.
func (r *Register) Add(now time.Time, told Case) (known Case, more bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entry(now, told.Fingerprint)
	if e.Case, more = e.merged(told); more {
		e.heard = now
	}
	if e.Count() > 0 && r.ranWell.Has(told.Fingerprint, now) {
		e.Case = e.cleared()
		more = true
	}
	r.settle(now, e)
	return e.Case, more
}

// Ended takes in that an endpoint ended while it had a request. It returns all that is known now, and whether that is more than before.
func (r *Register) Ended(now time.Time, s Suspect, e Endpoint) (known Case, more bool) {
	return r.Add(now, Case{Fingerprint: s.Fingerprint, What: s.What, Ended: []string{r.lifeOf(now, s.Fingerprint, e)}})
}

// lifeOf names the life of an endpoint that has ended. One that does not say when it started is numbered by its ends.
func (r *Register) lifeOf(now time.Time, f Fingerprint, e Endpoint) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.cases[f]
	if e.Started != 0 || known == nil {
		return e.life(e.Started)
	}
	number := int64(0)
	for slices.Contains(known.Ended, e.life(number)) {
		number++
	}
	if number > 0 && now.Sub(known.heard) < lifeApart {
		number--
	}
	return e.life(number)
}

// Ran takes in that an endpoint has answered a request whole. It returns what is to be told, if something counted against the request.
func (r *Register) Ran(now time.Time, f Fingerprint) (cleared Case, ok bool) {
	r.ranWell.Add(f, now)
	return r.Clear(now, f)
}

// RanWell reports whether an endpoint has lately answered a request whole.
func (r *Register) RanWell(now time.Time, f Fingerprint) bool { return r.ranWell.Has(f, now) }

// Clear lets a request pass. It returns what is to be told, if something counted against it.
func (r *Register) Clear(now time.Time, f Fingerprint) (cleared Case, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.cases[f]
	if e == nil || e.Count() == 0 {
		return Case{}, false
	}
	e.Case, e.heard = e.cleared(), now
	r.settle(now, e)
	return e.Case, true
}

// Verdict says why a request is held.
type Verdict struct {
	// Ended is how many endpoints ended under it.
	Ended int
	// Wait is how long it will be held at the most.
	Wait time.Duration
}

// Held reports whether a request is held.
func (r *Register) Held(now time.Time, f Fingerprint) (v Verdict, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.cases[f]
	if e == nil || e.heldAt.IsZero() {
		return v, false
	}
	left := r.cfg.Hold - now.Sub(e.heldAt)
	if left <= 0 && !e.published {
		return v, false
	}
	return Verdict{Ended: e.Count(), Wait: max(left, time.Second)}, true
}

// Published takes in what the newest cell map names. What an earlier one named and this one does not is let pass: an operator has said so, or
// its time is over.
func (r *Register) Published(now time.Time, all []Held) {
	r.mu.Lock()
	defer r.mu.Unlock()
	named := make(map[Fingerprint]bool, len(all))
	for _, h := range all {
		named[h.Fingerprint] = true
		e := r.entry(now, h.Fingerprint)
		e.Case, _ = e.merged(h.asCase())
		e.published, e.heard = true, now
		r.settle(now, e)
	}
	for f, e := range r.cases {
		if e.published && !named[f] {
			e.Case, e.published = e.cleared(), false
			r.settle(now, e)
		}
	}
}

// ToPublish returns what a cell map is to name, in order.
func (r *Register) ToPublish(now time.Time) []Held {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Held
	for _, e := range r.cases {
		if !e.heldAt.IsZero() && now.Sub(e.heldAt) < r.cfg.Hold {
			all = append(all, e.held())
		}
	}
	// Those held latest come first, so that the bound leaves out those whose time is over first.
	slices.SortFunc(all, func(a, b Held) int { return cmp.Compare(b.Since, a.Since) })
	all = all[:min(len(all), maxPublished)]
	slices.SortFunc(all, func(a, b Held) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return all
}

// Unpublished returns the held requests that the newest cell map does not name.
func (r *Register) Unpublished() []Case {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Case
	for _, e := range r.cases {
		if !e.heldAt.IsZero() && !e.published {
			all = append(all, e.Case)
		}
	}
	return all
}

// Cases returns the requests under which endpoints have ended that count, those under which most did first.
func (r *Register) Cases() []Case {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Case
	for _, e := range r.cases {
		if e.Count() > 0 {
			all = append(all, e.Case)
		}
	}
	slices.SortFunc(all, func(a, b Case) int {
		return cmp.Or(cmp.Compare(b.Count(), a.Count()), bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return all
}

// Expire drops what has not been heard of for as long as it counts. What cell maps name stays.
func (r *Register) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f, e := range r.cases {
		if !e.published && now.Sub(e.heard) >= r.cfg.Hold {
			delete(r.cases, f)
		}
	}
}

// settle takes in whether a case is held now.
func (r *Register) settle(now time.Time, e *entry) {
	switch {
	case e.Count() < r.cfg.Endpoints:
		e.heldAt = time.Time{}
	case e.heldAt.IsZero():
		e.heldAt = now
		if e.Since == 0 {
			e.Since = now.UnixMilli()
		}
	}
}

func (r *Register) entry(now time.Time, f Fingerprint) *entry {
	e := r.cases[f]
	if e == nil {
		if len(r.cases) >= maxCases {
			r.dropOldest()
		}
		e = &entry{Case: Case{Fingerprint: f}, heard: now}
		r.cases[f] = e
	}
	return e
}

// dropOldest makes room: the case goes that was heard of longest ago, one that is held only if all are.
func (r *Register) dropOldest() {
	var oldest *entry
	for _, e := range r.cases {
		if oldest == nil || before(e, oldest) {
			oldest = e
		}
	}
	delete(r.cases, oldest.Fingerprint)
}

// before reports whether a case is to be dropped before another.
func before(a, b *entry) bool {
	if a.heldAt.IsZero() != b.heldAt.IsZero() {
		return a.heldAt.IsZero()
	}
	return a.heard.Before(b.heard)
}
