package notice

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/logline"
	"github.com/bellgap/bellgap/internal/recent"
)

const (
	// maxEndpoints bounds the leaving endpoints and, separately, the paused endpoints that a Board stores, at about 150 bytes
	// each. Beyond the bound the oldest entry is dropped.
	maxEndpoints = 2048
	// maxLogLines bounds the log lines per second about endpoints: all endpoints of a large fleet may send a notice at the same
	// moment.
	maxLogLines = 20
	// invalidLogInterval is the minimum time between two log lines about invalid headers of the same endpoint.
	invalidLogInterval = 10 * time.Second
	// leavingRetention is how long a Board stores that an endpoint is leaving. Endpoints end within a minute, but their entries
	// in the store may outlast them while the store is unavailable.
	leavingRetention = time.Hour
	// probeTimeout is how long the first request to an endpoint after its pause may be unanswered before a second request is
	// sent. Dozens of requests may be waiting for the end of the pause, and the answer to the first shows whether the endpoint
	// accepts more.
	probeTimeout = time.Second
	// probeRetention is how long after its pause an endpoint stays limited to one request at a time if no answer ends the limit.
	// Without requests to the endpoint, there are no such answers.
	probeRetention = 30 * time.Second
	// reusedNameRetention replaces leavingRetention for endpoints whose incarnations cannot be distinguished. After it, one
	// request finds out whether the endpoint is still leaving.
	reusedNameRetention = 30 * time.Second
)

// Endpoint identifies one incarnation of an endpoint, from its start to its end.
type Endpoint struct {
	Name string
	// Started is the start time in Unix milliseconds, or zero if unknown. If it is zero, a later incarnation has another name,
	// unless NameReused is set.
	Started int64
	// NameReused reports that a later incarnation may have the same name and that nothing distinguishes the two.
	NameReused bool
}

// LeavingEndpoint is the report that an endpoint is leaving, in the form that boxes send to each other.
type LeavingEndpoint struct {
	Endpoint   string `json:"endpoint"`
	Started    int64  `json:"started,omitempty"`
	NameReused bool   `json:"reused,omitempty"`
	// Age is the time since the endpoint first announced that it is leaving.
	Age time.Duration `json:"age"`
}

// BoardConfig configures a Board.
type BoardConfig struct {
	Scope tally.Scope
	// OnLeaving, if set, is called for each new report that an endpoint is leaving. The argument direct is true if the endpoint
	// itself announced it to this box and false if another box reported it.
	OnLeaving func(e Endpoint, direct bool)
}

// Board stores which endpoints are leaving and which have requested a pause, as known to one box. A nil Board has no entries and
// records none.
type Board struct {
	cfg BoardConfig
	// recentlyInvalid holds the endpoints whose invalid headers were logged within invalidLogInterval.
	recentlyInvalid *recent.Set[string]
	// entryCount is the number of entries in leaving and paused. While it is zero, the usual case, lookups take no lock.
	entryCount atomic.Int64

	mu       sync.Mutex
	logLimit logline.RateLimiter
	// leaving holds the endpoints that are leaving and paused the endpoints that requested a pause, both by name.
	leaving map[string]leavingEntry
	paused  map[string]pausedEntry
}

// leavingEntry records that an endpoint is leaving. The state is final for an incarnation: neither discovery nor a later answer
// reverts it. It does not apply to later incarnations.
type leavingEntry struct {
	started    int64
	nameReused bool
	reportedAt time.Time
}

// isExpired reports whether the retention time of the entry is over.
func (l leavingEntry) isExpired(now time.Time) bool {
	keep := leavingRetention
	if l.nameReused {
		keep = reusedNameRetention
	}
	return now.Sub(l.reportedAt) >= keep
}

// pausedEntry records that an endpoint requested a pause: it gets no requests from this box for a time. After the pause it gets
// one request at a time, as a probe, until it answers one.
type pausedEntry struct {
	started int64
	until   time.Time
	// probeDeadline is the time until which no further request is sent while the last probe is unanswered.
	probeDeadline time.Time
}

// remainingWait returns how long no further request may be sent.
func (p pausedEntry) remainingWait(now time.Time) time.Duration {
	if now.Before(p.until) {
		return p.until.Sub(now)
	}
	return max(0, p.probeDeadline.Sub(now))
}

// isExpired reports whether the pause and the probe period after it are over.
func (p pausedEntry) isExpired(now time.Time) bool { return now.Sub(p.until) >= probeRetention }

// NewBoard returns an empty Board.
func NewBoard(cfg BoardConfig) *Board {
	return &Board{
		cfg: cfg, recentlyInvalid: recent.New[string](invalidLogInterval), logLimit: logline.RateLimiter{MaxPerSecond: maxLogLines},
		leaving: map[string]leavingEntry{}, paused: map[string]pausedEntry{},
	}
}

// RecordNotices records the notices in an answer that this box received from an endpoint.
func (b *Board) RecordNotices(now time.Time, e Endpoint, notices HeaderNotices) {
	if b == nil {
		return
	}
	b.reportInvalid(now, e, notices.LeavingErr)
	b.reportInvalid(now, e, notices.RetryAfterErr)
	if notices.ClosesConnection {
		b.cfg.Scope.Counter("answers_closing").Inc(1)
	}
	if notices.Leaving && b.recordLeaving(e, leavingEntry{e.Started, e.NameReused, now}, now) {
		b.notifyLeaving(e, true)
	}
	switch {
	case notices.RetryAfter > 0:
		b.recordPause(now, e, notices.RetryAfter)
	case b.HasEntries():
		b.endPause(now, e)
	}
}

// endPause handles an answer that requests no pause: once the pause is over, such an answer also ends the limit of one request at
// a time.
func (b *Board) endPause(now time.Time, e Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p, ok := b.paused[e.Name]; ok && !now.Before(p.until) && p.started <= e.Started {
		delete(b.paused, e.Name)
		b.updateCount()
	}
}

// MergeLeaving records the leaving endpoints that another box reported.
func (b *Board) MergeLeaving(now time.Time, reports []LeavingEndpoint) {
	if b == nil {
		return
	}
	for _, l := range reports {
		e := Endpoint{l.Endpoint, l.Started, l.NameReused}
		if b.recordLeaving(e, leavingEntry{l.Started, l.NameReused, now.Add(-max(0, l.Age))}, now) {
			b.notifyLeaving(e, false)
		}
	}
}

// notifyLeaving calls the OnLeaving callback, if there is one.
func (b *Board) notifyLeaving(e Endpoint, direct bool) {
	if b.cfg.OnLeaving != nil {
		b.cfg.OnLeaving(e, direct)
	}
}

// reportInvalid counts and logs an invalid header of an endpoint. The entries of the endpoint stay as they are.
func (b *Board) reportInvalid(now time.Time, e Endpoint, err error) {
	if err == nil {
		return
	}
	b.cfg.Scope.Counter("notices_ignored").Inc(1)
	if b.recentlyInvalid.Has(e.Name, now) {
		return
	}
	b.recentlyInvalid.Add(e.Name, now)
	klog.ErrorS(err, "invalid notice header of endpoint ignored", "endpoint", e.Name)
}

// recordLeaving stores that an endpoint is leaving. It reports whether this is a new report.
func (b *Board) recordLeaving(e Endpoint, l leavingEntry, now time.Time) bool {
	if l.isExpired(now) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	previous, ok := b.leaving[e.Name]
	// If incarnations cannot be distinguished, each report may come from a new one, so the entry is renewed once half of its
	// retention time is over.
	renew := l.nameReused && l.reportedAt.Sub(previous.reportedAt) > reusedNameRetention/2
	if ok && !previous.isExpired(now) && previous.started >= l.started && !renew {
		return false
	}
	if !ok {
		evictOldest(b.leaving, func(l leavingEntry) time.Time { return l.reportedAt })
	}
	b.leaving[e.Name] = l
	b.updateCount()
	b.cfg.Scope.Counter("endpoints_leaving").Inc(1)
	b.logLimit.Info(now, "endpoint is leaving", "endpoint", e.Name, "started", e.Started, "age", now.Sub(l.reportedAt))
	return true
}

// recordPause stores the pause that an endpoint requested. It keeps an existing entry of a later incarnation, and one of the same
// incarnation that ends no earlier.
func (b *Board) recordPause(now time.Time, e Endpoint, duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	previous, ok := b.paused[e.Name]
	until := now.Add(duration)
	if ok && (previous.started > e.Started || (previous.started == e.Started && !until.After(previous.until))) {
		return
	}
	if !ok {
		evictOldest(b.paused, func(p pausedEntry) time.Time { return p.until })
	}
	b.paused[e.Name] = pausedEntry{started: e.Started, until: until}
	b.updateCount()
	b.cfg.Scope.Counter("rests_asked").Inc(1)
	b.logLimit.Info(now, "endpoint requested a pause", "endpoint", e.Name, "rest", duration)
}

// updateCount sets entryCount from the maps. The caller must hold the lock.
func (b *Board) updateCount() { b.entryCount.Store(int64(len(b.leaving) + len(b.paused))) }

// evictOldest removes the oldest entry if the map is full.
func evictOldest[T any](entries map[string]T, timeOf func(T) time.Time) {
	if len(entries) < maxEndpoints {
		return
	}
	oldest := ""
	for name, t := range entries {
		if oldest == "" || timeOf(t).Before(timeOf(entries[oldest])) {
			oldest = name
		}
	}
	delete(entries, oldest)
}

// HasEntries reports whether there are entries for any endpoint. Callers that check many endpoints call it first, since reading the
// clock for each endpoint costs more.
func (b *Board) HasEntries() bool { return b != nil && b.entryCount.Load() > 0 }

// IsLeaving reports whether this incarnation of an endpoint has announced that it is leaving.
func (b *Board) IsLeaving(now time.Time, e Endpoint) bool {
	if !b.HasEntries() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.leaving[e.Name]
	return ok && l.started >= e.Started && !l.isExpired(now)
}

// RemainingPause returns how long this box must send no further request to an endpoint: the remaining time of the requested pause
// or, after it, the remaining wait for the answer to the last probe.
func (b *Board) RemainingPause(now time.Time, e Endpoint) time.Duration {
	if !b.HasEntries() {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.paused[e.Name]
	if !ok || p.started < e.Started {
		return 0
	}
	return p.remainingWait(now)
}

// AllowRequest reports whether a request may be sent to an endpoint now. If so, it counts the request as sent; otherwise it
// returns the wait, as RemainingPause does.
func (b *Board) AllowRequest(now time.Time, e Endpoint) (wait time.Duration, ok bool) {
	if !b.HasEntries() {
		return 0, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p, isPaused := b.paused[e.Name]
	if !isPaused || p.started < e.Started {
		return 0, true
	}
	if wait = p.remainingWait(now); wait > 0 {
		return wait, false
	}
	p.probeDeadline = now.Add(probeTimeout)
	b.paused[e.Name] = p
	return 0, true
}

// PausedEndpoint describes an endpoint that requested a pause from this box.
type PausedEndpoint struct {
	Endpoint string `json:"endpoint"`
	// Remaining is the remaining time of the pause. It is zero while the endpoint gets one request at a time.
	Remaining time.Duration `json:"left"`
}

// PausedEndpoints returns the endpoints that requested a pause from this box, sorted by name.
func (b *Board) PausedEndpoints(now time.Time) []PausedEndpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeExpired(now)
	var all []PausedEndpoint
	for name, p := range b.paused {
		all = append(all, PausedEndpoint{name, max(0, p.until.Sub(now))})
	}
	slices.SortFunc(all, func(x, y PausedEndpoint) int { return strings.Compare(x.Endpoint, y.Endpoint) })
	return all
}

// LeavingEndpoints returns the endpoints that are leaving, sorted by name.
func (b *Board) LeavingEndpoints(now time.Time) []LeavingEndpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeExpired(now)
	var all []LeavingEndpoint
	for name, l := range b.leaving {
		all = append(all, LeavingEndpoint{name, l.started, l.nameReused, now.Sub(l.reportedAt)})
	}
	slices.SortFunc(all, func(x, y LeavingEndpoint) int { return strings.Compare(x.Endpoint, y.Endpoint) })
	return all
}

// removeExpired removes expired entries. The caller must hold the lock.
func (b *Board) removeExpired(now time.Time) {
	for name, l := range b.leaving {
		if l.isExpired(now) {
			delete(b.leaving, name)
		}
	}
	for name, p := range b.paused {
		if p.isExpired(now) {
			delete(b.paused, name)
		}
	}
	b.updateCount()
}
