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
	// successTTL is how long after a complete answer a request is not suspected of crashing endpoints. If many callers send the
	// same request, several endpoints may be running it when they crash for another reason.
	successTTL = 30 * time.Second
	// maxCases limits the cases of a box, at about 300 bytes each. Beyond this limit, the case with the oldest update is dropped.
	maxCases = 2048
	// maxPublished limits the held requests in a cell map, at about 200 bytes each. Few requests become held, because each has to
	// crash several endpoints first.
	maxPublished = 256
	// provenPartCrashes is the number of additional crashes from which a part is held that ran well within successTTL before one of them.
	provenPartCrashes = 2
	// minCrashInterval is the minimum time between two crashes of an endpoint that does not report its start time. Several boxes
	// detect the same crash within a few milliseconds.
	minCrashInterval = time.Second
)

// RegisterConfig configures a Register.
type RegisterConfig struct {
	// CrashLimit is the number of endpoints that must crash while they run a request before it is held.
	CrashLimit int
	// HoldTime is how long a request is held, and how long a crash counts.
	HoldTime time.Duration
}

// Register stores the cases that one box knows, for requests whose endpoints crashed while they ran them. It does no I/O.
type Register struct {
	cfg       RegisterConfig
	successes *recent.Set[Fingerprint]

	mu    sync.Mutex
	cases map[Fingerprint]*entry
	// heldParts are the entries of held parts.
	heldParts []*entry
}

// entry is a case with the state that only this box keeps about it.
type entry struct {
	Case
	// updatedAt is when the case last changed on this box or was in a new cell map. heldAt is when the request became held,
	// or zero if too few crashes count.
	updatedAt time.Time
	heldAt    time.Time
	// published is set if the newest cell map contains the request. The map then takes precedence over the clock of this box.
	published bool
	// crashedAt is the time of the last crash.
	crashedAt time.Time
	// toldCrashed and toldCleared are the lengths of the lists that this box last sent to all others.
	toldCrashed, toldCleared int
}

// NewRegister returns an empty Register.
func NewRegister(cfg RegisterConfig) *Register {
	return &Register{cfg: cfg, successes: recent.New[Fingerprint](successTTL), cases: map[Fingerprint]*entry{}}
}

// Merge merges a case from this box or another box. It returns the merged case, and whether it contains more than before.
func (r *Register) Merge(now time.Time, update Case) (merged Case, grew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.ensureEntry(now, update.Fingerprint)
	known := len(e.Crashed)
	if e.Case, grew = e.merge(update); grew {
		e.updatedAt = now
	}
	if len(e.Crashed) > known {
		e.crashedAt = later(e.crashedAt, now.Add(-update.Age))
	}
	if e.Part != "" && r.successes.Has(e.Fingerprint, now) {
		e.Proven = true
	}
	if e.CrashCount() > 0 && r.isRefuted(now, e) {
		e.Case = e.withAllCleared()
		grew = true
	}
	r.updateHeld(now, e)
	return e.toSend(now), grew
}

// isRefuted reports whether an answer shows that the request or the part does not crash endpoints. A request that ran well once is not suspected for
// some time. Many requests share a part, and a part that ran well may be harmful later, so only an answer after the last crash counts.
func (r *Register) isRefuted(now time.Time, e *entry) bool {
	at, ok := r.successes.AddedAt(e.Fingerprint, now)
	return ok && (e.Part == "" || at.After(e.crashedAt))
}

// crashCount returns the number of crashes that count against a case. Crashes that a held part explains do not count: other requests that ran on the
// endpoint when it crashed, and their parts, are not to blame. A part that is held itself keeps its crashes, as two held parts would otherwise
// release each other.
func (r *Register) crashCount(e *entry) int {
	counted := e.countedCrashes()
	if (e.Part != "" && !e.heldAt.IsZero()) || len(counted) == 0 {
		return len(counted)
	}
	for _, held := range r.heldParts {
		if held != e {
			counted = slices.DeleteFunc(counted, func(incarnation string) bool { return slices.Contains(held.Crashed, incarnation) })
		}
	}
	return len(counted)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// toSend returns the case for another box.
func (e *entry) toSend(now time.Time) Case {
	c := e.Case
	if !e.crashedAt.IsZero() {
		c.Age = now.Sub(e.crashedAt)
	}
	return c
}

// RecordCrash records that an endpoint crashed while it ran a request. It returns the merged case of the request, and whether it contains more
// than before.
func (r *Register) RecordCrash(now time.Time, s Suspect, e Endpoint) (merged Case, grew bool) {
	return r.Merge(now, Case{Fingerprint: s.Fingerprint, Description: s.Description, Crashed: []string{r.incarnationOf(now, s.Fingerprint, e)}})
}

// RecordPartCrashes records that an endpoint crashed while it ran a request, for the parts of its prompt. It returns the merged cases that contain more
// than before.
func (r *Register) RecordPartCrashes(now time.Time, s Suspect, e Endpoint) []Case {
	var grown []Case
	for _, part := range s.Parts {
		update := Case{Fingerprint: part.Fingerprint, Description: partMethod + " " + part.ID, Part: part.ID, Crashed: []string{r.incarnationOf(now, part.Fingerprint, e)}}
		if merged, grew := r.Merge(now, update); grew {
			grown = append(grown, merged)
		}
	}
	return grown
}

// incarnationOf returns the name of the incarnation of an endpoint that has crashed. If the endpoint does not report its start
// time, its incarnations are numbered by its crashes.
func (r *Register) incarnationOf(now time.Time, f Fingerprint, e Endpoint) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	recorded := r.cases[f]
	if e.Started != 0 || recorded == nil {
		return e.incarnation(e.Started)
	}
	number := int64(0)
	for slices.Contains(recorded.Crashed, e.incarnation(number)) {
		number++
	}
	if number > 0 && now.Sub(recorded.updatedAt) < minCrashInterval {
		number--
	}
	return e.incarnation(number)
}

// RecordSuccess records that an endpoint sent a complete answer to a request. If crashes counted against the request, it returns
// the cleared case, which other boxes need.
func (r *Register) RecordSuccess(now time.Time, f Fingerprint) (cleared Case, ok bool) {
	r.successes.Add(f, now)
	return r.Clear(now, f)
}

// RanSuccessfully reports whether an endpoint sent a complete answer to a request within successTTL.
func (r *Register) RanSuccessfully(now time.Time, f Fingerprint) bool { return r.successes.Has(f, now) }

// Clear clears the crashes of a request, so that it is no longer held. If crashes counted against it, it returns the cleared
// case, which other boxes need.
func (r *Register) Clear(now time.Time, f Fingerprint) (cleared Case, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.cases[f]
	if e == nil || e.CrashCount() == 0 {
		return Case{}, false
	}
	e.Case, e.updatedAt = e.withAllCleared(), now
	r.updateHeld(now, e)
	return e.toSend(now), true
}

// Verdict describes why and how long a request is held.
type Verdict struct {
	// Crashes is the number of endpoints that crashed while they ran the request.
	Crashes int
	// MaxWait is the longest time for which the request will still be held.
	MaxWait time.Duration
}

// CheckHeld reports whether a request is held, and why.
func (r *Register) CheckHeld(now time.Time, f Fingerprint) (v Verdict, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.cases[f]
	if e == nil || e.heldAt.IsZero() {
		return v, false
	}
	remaining := r.cfg.HoldTime - now.Sub(e.heldAt)
	if remaining <= 0 && !e.published {
		return v, false
	}
	return Verdict{Crashes: e.CrashCount(), MaxWait: max(remaining, time.Second)}, true
}

// ApplyPublished applies the held requests of the newest cell maps. It clears requests that are in earlier maps only, because an
// operator has released them or their hold time is over.
func (r *Register) ApplyPublished(now time.Time, all []Held) {
	r.mu.Lock()
	defer r.mu.Unlock()
	inMap := make(map[Fingerprint]bool, len(all))
	for _, h := range all {
		inMap[h.Fingerprint] = true
		e := r.ensureEntry(now, h.Fingerprint)
		known := len(e.Crashed)
		e.Case, _ = e.merge(h.toCase())
		e.published, e.updatedAt = true, now
		if len(e.Crashed) > known {
			e.crashedAt = now
		}
		r.updateHeld(now, e)
	}
	for f, e := range r.cases {
		if e.published && !inMap[f] {
			e.Case, e.published = e.withAllCleared(), false
			r.updateHeld(now, e)
		}
	}
}

// ToPublish returns the held requests for a cell map, sorted by fingerprint.
func (r *Register) ToPublish(now time.Time) []Held {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Held
	for _, e := range r.cases {
		if !e.heldAt.IsZero() && now.Sub(e.heldAt) < r.cfg.HoldTime {
			all = append(all, e.toHeld())
		}
	}
	// Requests that became held last are sorted first, so that the limit leaves out the requests whose hold time ends first.
	slices.SortFunc(all, func(a, b Held) int { return cmp.Compare(b.Since, a.Since) })
	all = all[:min(len(all), maxPublished)]
	slices.SortFunc(all, func(a, b Held) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return all
}

// UnpublishedCases returns the cases of held requests that are missing from the newest cell map.
func (r *Register) UnpublishedCases() []Case {
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

// Cases returns the cases of requests whose crashes count, most crashes first.
func (r *Register) Cases() []Case {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Case
	for _, e := range r.cases {
		if e.CrashCount() > 0 {
			all = append(all, e.Case)
		}
	}
	slices.SortFunc(all, func(a, b Case) int {
		return cmp.Or(cmp.Compare(b.CrashCount(), a.CrashCount()), bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	return all
}

// Lookup returns the cases with some fingerprints.
func (r *Register) Lookup(now time.Time, fingerprints []Fingerprint) []Case {
	return r.lookup(now, fingerprints, func(*entry) bool { return true })
}

// Untold returns those cases with some fingerprints that have at least minCrashesToNotifyAll crashes and that this box has not sent to all
// others as they are now.
func (r *Register) Untold(now time.Time, fingerprints []Fingerprint) []Case {
	return r.lookup(now, fingerprints, func(e *entry) bool {
		return len(e.Crashed) >= minCrashesToNotifyAll && (len(e.Crashed) > e.toldCrashed || len(e.Cleared) > e.toldCleared)
	})
}

func (r *Register) lookup(now time.Time, fingerprints []Fingerprint, isIncluded func(*entry) bool) []Case {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Case
	for _, f := range fingerprints {
		if e := r.cases[f]; e != nil && isIncluded(e) {
			found = append(found, e.toSend(now))
		}
	}
	return found
}

// MarkTold records that this box has sent cases to all others.
func (r *Register) MarkTold(told []Case) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, sent := range told {
		if e := r.cases[sent.Fingerprint]; e != nil {
			e.toldCrashed, e.toldCleared = max(e.toldCrashed, len(sent.Crashed)), max(e.toldCleared, len(sent.Cleared))
		}
	}
}

// Expire removes cases that have not changed for the hold time. Cases in the newest cell map stay.
func (r *Register) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f, e := range r.cases {
		if !e.published && now.Sub(e.updatedAt) >= r.cfg.HoldTime {
			delete(r.cases, f)
			r.removeHeldPart(e)
		}
	}
}

// crashLimit returns the number of crashes from which a case is held. A part that ran well lately is probably only in the company of a harmful one,
// or of endpoints that crash by chance, and the answers that refute its crashes may be on their way.
func (r *Register) crashLimit(e *entry) int {
	if e.Proven && !e.published {
		return r.cfg.CrashLimit + provenPartCrashes
	}
	return r.cfg.CrashLimit
}

// updateHeld sets or resets the hold of a case by the number of its crashes.
func (r *Register) updateHeld(now time.Time, e *entry) {
	count := r.crashCount(e)
	switch {
	case count < r.cfg.CrashLimit && !e.heldAt.IsZero():
		e.heldAt = time.Time{}
		if r.removeHeldPart(e) {
			// The part no longer explains crashes, which may count against others now.
			r.updateOthers(now)
		}
	case e.heldAt.IsZero() && count >= r.crashLimit(e):
		e.heldAt = now
		if e.Since == 0 {
			e.Since = now.UnixMilli()
		}
		if e.Part != "" {
			r.heldParts = append(r.heldParts, e)
			r.updateOthers(now)
		}
	}
}

// updateOthers updates the hold of all cases but held parts, after the set of held parts has changed.
func (r *Register) updateOthers(now time.Time) {
	for _, e := range r.cases {
		if (e.Part == "" || e.heldAt.IsZero()) && len(e.Crashed) > 0 {
			r.updateHeld(now, e)
		}
	}
}

// removeHeldPart removes an entry from the held parts and reports whether it was one of them.
func (r *Register) removeHeldPart(e *entry) bool {
	before := len(r.heldParts)
	r.heldParts = slices.DeleteFunc(r.heldParts, func(held *entry) bool { return held == e })
	return len(r.heldParts) < before
}

// ensureEntry returns the entry of a fingerprint, and creates it if it is missing.
func (r *Register) ensureEntry(now time.Time, f Fingerprint) *entry {
	e := r.cases[f]
	if e == nil {
		if len(r.cases) >= maxCases {
			r.dropOldest()
		}
		e = &entry{Case: Case{Fingerprint: f}, updatedAt: now}
		r.cases[f] = e
	}
	return e
}

// dropOldest removes the case with the oldest update. It removes a held case only if all cases are held.
func (r *Register) dropOldest() {
	var oldest *entry
	for _, e := range r.cases {
		if oldest == nil || isDroppedBefore(e, oldest) {
			oldest = e
		}
	}
	delete(r.cases, oldest.Fingerprint)
	r.removeHeldPart(oldest)
}

// isDroppedBefore reports whether case a is dropped before case b.
func isDroppedBefore(a, b *entry) bool {
	if a.heldAt.IsZero() != b.heldAt.IsZero() {
		return a.heldAt.IsZero()
	}
	return a.updatedAt.Before(b.updatedAt)
}
