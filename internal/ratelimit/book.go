package ratelimit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/logline"
	"github.com/bellgap/bellgap/internal/recent"
	"github.com/bellgap/bellgap/internal/turn"
)

const (
	// liftedRetention is how long a box stores the report that an endpoint has no rate limit any more, so that it can inform
	// boxes that still apply the limit.
	liftedRetention = 30 * time.Second
	// maxEntries limits the endpoints in a Registry, which take about 200 bytes each. When it is reached, a new endpoint replaces
	// the one with the oldest report.
	maxEntries = 4096
	// changeLogInterval is the minimum time between two log lines about changes of one endpoint's rate.
	changeLogInterval = 5 * time.Second
	// maxWait is how far ahead retries of refused requests are scheduled. Callers wait 10 to 25 s for a response.
	maxWait = 15 * time.Second
	// ignoredLogInterval is the minimum time between two log lines about invalid rates from one endpoint.
	ignoredLogInterval = 10 * time.Second
	// maxLinesPerSecond limits the log lines about rate changes, because all endpoints of a large fleet may report a limit at the
	// same time.
	maxLinesPerSecond = 20
	// sumInterval is the time for which the sum of the rates of a service's endpoints is reused. There may be thousands of
	// endpoints, and thousands of refused requests per second.
	sumInterval = time.Second
	// maxCounts limits the keepers whose counts are stored for one endpoint. Usually there is only one.
	maxCounts = 8
	// maxServices limits the services with a retry schedule. When it is reached, all schedules are discarded.
	maxServices = 1024
)

// observation is a report of an endpoint with the time at which it was sent, by this box's clock.
type observation struct {
	Report
	at time.Time
}

// isNewer reports whether the observation replaces another one of the same endpoint. The later start of the endpoint decides. If
// the start is the same, the later report decides.
func (o observation) isNewer(other observation) bool {
	if o.Started != other.Started {
		return o.Started > other.Started
	}
	return o.at.After(other.at)
}

// withAge returns the report with its age, for a message to another box.
func (o observation) withAge(now time.Time) Report {
	report := o.Report
	report.Age = max(0, now.Sub(o.at))
	return report
}

// RegistryConfig configures a Registry.
type RegistryConfig struct {
	// Boxes returns the number of boxes in the system.
	Boxes func() int
	Scope tally.Scope
}

// Registry stores the latest rate reports of endpoints that one box has received.
// A nil Registry acts as an empty one in all methods, except those that schedule retries and list limits.
type Registry struct {
	cfg RegistryConfig
	// recentlyIgnored contains the endpoints whose invalid rates were logged within ignoredLogInterval.
	recentlyIgnored *recent.Set[string]
	// size is the number of entries. While it is zero, which is the usual case, lookups need no lock.
	size atomic.Int64

	mu      sync.Mutex
	entries map[string]*entry
	// lastPruned is the time of the latest removal of expired entries.
	lastPruned time.Time
	// logLimit limits the log lines about rate changes.
	logLimit logline.RateLimiter
	// retrySchedules contains the schedule for refused requests of each service.
	retrySchedules map[string]*retrySchedule
}

// retrySchedule spreads the retries of a service's refused requests according to the rates of its endpoints.
type retrySchedule struct {
	// turns assigns the retry times, one after the other.
	turns turn.RetrySchedule
	// rateSum is the number of requests per second that all endpoints together accepted at summedAt.
	rateSum  float64
	summedAt time.Time
}

// entry is the state of one endpoint.
type entry struct {
	observation
	// limitedSince is when the endpoint began to report a limit. lastLogged is when a limit of the endpoint was last logged.
	limitedSince, lastLogged time.Time
	// brittleSince is when the endpoint began to report that it is brittle.
	brittleSince time.Time
	// counts contains the latest count of each keeper of the endpoint.
	counts []timedCount
	// ownLimiter enforces this box's own share of the rate while the keeper of the endpoint cannot be reached.
	ownLimiter Limiter
}

// timedCount is a count from the answer to a request that was sent at sentAt.
type timedCount struct {
	KeeperCount
	sentAt time.Time
}

// NewRegistry returns a Registry without any reports.
func NewRegistry(cfg RegistryConfig) *Registry {
	return &Registry{cfg: cfg, recentlyIgnored: recent.New[string](ignoredLogInterval), entries: map[string]*entry{}, retrySchedules: map[string]*retrySchedule{}, logLimit: logline.RateLimiter{MaxPerSecond: maxLinesPerSecond}}
}

// HasReports reports whether the Registry contains at least one endpoint.
func (r *Registry) HasReports() bool { return r != nil && r.size.Load() > 0 }

// Record stores a rate report that came from the endpoint or from another box. It returns whether the keeper of the endpoint must
// be informed. This is the case if the report contains a limit, or if another box may still apply a limit that is no longer in
// force.
func (r *Registry) Record(now time.Time, endpoint string, report Report) bool {
	if r == nil || (!report.IsSet() && !r.HasReports()) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[endpoint]
	if e == nil && !report.IsSet() {
		return false
	}
	next := report.toObservation(now)
	if e == nil {
		e = r.addEntry(endpoint)
	} else if !next.isNewer(e.observation) {
		return true
	}
	r.logChange(now, endpoint, e, next)
	e.observation = next
	if now.Sub(r.lastPruned) >= time.Second {
		r.prune(now)
	}
	return true
}

// RecordInvalid counts and logs that an endpoint reported an invalid rate. The previous report of the endpoint stays in force.
func (r *Registry) RecordInvalid(now time.Time, endpoint string, err error) {
	if r == nil {
		return
	}
	r.cfg.Scope.Counter("rates_ignored").Inc(1)
	if r.recentlyIgnored.Has(endpoint, now) {
		return
	}
	r.recentlyIgnored.Add(endpoint, now)
	klog.ErrorS(err, "invalid rate limit reported by endpoint; ignored", "endpoint", endpoint)
}

// logChange logs the difference between the stored report and the next one.
func (r *Registry) logChange(now time.Time, endpoint string, e *entry, next observation) {
	r.logBrittle(now, endpoint, e, next)
	switch {
	case next.Limited && (!e.Limited || next.Started > e.Started):
		e.limitedSince, e.lastLogged = next.at, now
		r.cfg.Scope.Counter("rates_named").Inc(1)
		r.logLimit.Info(now, "endpoint reports a rate limit", "endpoint", endpoint, "rate", next.Rate, "age", now.Sub(next.at))
	case !next.Limited && e.Limited:
		r.cfg.Scope.Counter("rates_lifted").Inc(1)
		r.logLimit.Info(now, "endpoint no longer reports a rate limit", "endpoint", endpoint, "rate", e.Rate, "for", now.Sub(e.limitedSince), "age", now.Sub(next.at))
	case next.Limited && next.Rate != e.Rate && now.Sub(e.lastLogged) >= changeLogInterval:
		e.lastLogged = now
		r.logLimit.Info(now, "endpoint changed its rate limit", "endpoint", endpoint, "rate", next.Rate, "before", e.Rate, "age", now.Sub(next.at))
	}
}

// logBrittle logs that an endpoint has become brittle, and that it is so no longer.
func (r *Registry) logBrittle(now time.Time, endpoint string, e *entry, next observation) {
	switch {
	case next.Brittle && (!e.Brittle || next.Started > e.Started):
		e.brittleSince = next.at
		r.cfg.Scope.Counter("brittle_named").Inc(1)
		r.logLimit.Info(now, "endpoint is brittle", "endpoint", endpoint, "tolerated", next.Tolerated, "age", now.Sub(next.at))
	case !next.Brittle && e.Brittle:
		r.cfg.Scope.Counter("brittle_ended").Inc(1)
		r.logLimit.Info(now, "endpoint is no longer brittle", "endpoint", endpoint, "for", now.Sub(e.brittleSince), "age", now.Sub(next.at))
	}
}

// addEntry adds an empty entry. If the Registry is full, it first removes the entry with the oldest report.
func (r *Registry) addEntry(endpoint string) *entry {
	if len(r.entries) >= maxEntries {
		oldest := ""
		for name, e := range r.entries {
			if oldest == "" || e.at.Before(r.entries[oldest].at) {
				oldest = name
			}
		}
		delete(r.entries, oldest)
	}
	e := &entry{}
	r.entries[endpoint] = e
	r.size.Store(int64(len(r.entries)))
	return e
}

// prune removes the endpoints that have had no rate limit for liftedRetention.
func (r *Registry) prune(now time.Time) {
	r.lastPruned = now
	for name, e := range r.entries {
		if !e.IsSet() && now.Sub(e.at) >= liftedRetention {
			delete(r.entries, name)
		}
	}
	r.size.Store(int64(len(r.entries)))
}

// LatestReport returns the latest report of an endpoint, or nil if there is none. A report from before started, the start time of
// the endpoint, is void.
func (r *Registry) LatestReport(now time.Time, endpoint string, started int64) *Report {
	if !r.HasReports() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[endpoint]
	if e == nil || e.Started < started {
		return nil
	}
	report := e.withAge(now)
	return &report
}

// RecordCount stores the count in a keeper's answer to a request that was sent at sentAt. It is dropped if the endpoint has not reported
// anything.
func (r *Registry) RecordCount(sentAt time.Time, endpoint string, count KeeperCount) {
	if !r.HasReports() {
		return
	}
	if len(count.Others) > MaxOthers {
		count.Others = nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[endpoint]
	if e == nil {
		return
	}
	e.counts = slices.DeleteFunc(e.counts, func(c timedCount) bool {
		if c.Keeper == count.Keeper && c.Granted > count.Granted {
			// The answers have overtaken each other.
			count, sentAt = c.KeeperCount, c.sentAt
		}
		return c.Keeper == count.Keeper || sentAt.Sub(c.sentAt) >= CountRetention
	})
	if len(e.counts) >= maxCounts {
		e.counts = slices.Delete(e.counts, 0, 1)
	}
	e.counts = append(e.counts, timedCount{count, sentAt})
}

// RecentCounts returns the counts of an endpoint's keepers that were received within CountRetention. Only the newest one contains Others,
// because a keeper takes over only the tokens of the newest one.
func (r *Registry) RecentCounts(now time.Time, endpoint string) []KeeperCount {
	if !r.HasReports() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[endpoint]
	if e == nil {
		return nil
	}
	var counts []KeeperCount
	newest := 0
	for _, c := range e.counts {
		if c.Age = max(0, now.Sub(c.sentAt)); c.Age < CountRetention {
			counts = append(counts, c.KeeperCount)
			if c.Age < counts[newest].Age {
				newest = len(counts) - 1
			}
		}
	}
	for i := range counts {
		if i != newest {
			counts[i].Others = nil
		}
	}
	return counts
}

// TakeOwnShare reports whether a request fits in this box's own share of an endpoint's rate, and consumes a part of the share if
// it does. It is used while the keeper of the endpoint cannot be reached. Without a rate limit all requests are allowed. If the
// share is used up, wait is the time after which the request may be retried.
func (r *Registry) TakeOwnShare(now time.Time, endpoint string, started int64) (wait time.Duration, ok bool) {
	report := r.LatestReport(now, endpoint, started)
	if report == nil || !report.Limited {
		return 0, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[endpoint]
	if e == nil {
		return 0, true
	}
	e.ownLimiter.ApplyReport(now, report)
	if wait, ok = e.ownLimiter.Check(now, Request{OwnShare: ownShareTotal / float64(max(1, r.cfg.Boxes()))}); ok {
		e.ownLimiter.Use(now, "")
	}
	r.cfg.Scope.Tagged(map[string]string{"sent": strconv.FormatBool(ok)}).Counter("rate_own_share").Inc(1)
	return wait, ok
}

// RetryAfter returns the wait before the retry of a request that was refused because of the rate limits of all endpoints of a
// service. The wait is at least earliest, or maxWait if earliest is longer. Each box spreads its own retries over an equal part
// of the endpoints' total rate. All boxes together thus receive as many retries as the endpoints accept, without messages between
// the boxes.
func (r *Registry) RetryAfter(now time.Time, service string, endpoints func() []string, earliest time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	schedule := r.retrySchedules[service]
	if schedule == nil {
		if len(r.retrySchedules) >= maxServices {
			clear(r.retrySchedules)
		}
		schedule = &retrySchedule{}
		r.retrySchedules[service] = schedule
	}
	if now.Sub(schedule.summedAt) >= sumInterval {
		schedule.rateSum, schedule.summedAt = r.sumRates(endpoints()), now
	}
	interval := maxWait
	if schedule.rateSum > 0 {
		interval = cappedSeconds(float64(max(1, r.cfg.Boxes())) / schedule.rateSum)
	}
	if wait := schedule.turns.NextDelay(now, interval, maxWait); wait+interval < maxWait {
		return max(min(earliest, maxWait), time.Millisecond) + wait
	}
	// All capacity within maxWait is assigned. A random wait prevents requests that were refused at the same moment from all
	// returning together.
	return maxWait + rand.N(maxWait)
}

// sumRates returns the number of requests per second that all the endpoints together accept.
func (r *Registry) sumRates(endpoints []string) float64 {
	total := 0.0
	for _, name := range endpoints {
		if e := r.entries[name]; e != nil && e.Limited {
			total += e.effectiveRate()
		}
	}
	return total
}

// Limit is the rate limit of an endpoint as shown to operators.
type Limit struct {
	Endpoint string `json:"endpoint"`
	// Rate is the limit in requests per second for all boxes together.
	Rate float64 `json:"rate"`
	// LimitedFor is the time since the endpoint began to report a limit. Age is the time since its latest report.
	LimitedFor time.Duration `json:"for"`
	Age        time.Duration `json:"age"`
}

// Limits returns the current rate limits, sorted by endpoint.
func (r *Registry) Limits(now time.Time) []Limit {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Limit
	for name, e := range r.entries {
		if e.Limited {
			all = append(all, Limit{Endpoint: name, Rate: e.Rate, LimitedFor: now.Sub(e.limitedSince), Age: now.Sub(e.at)})
		}
	}
	slices.SortFunc(all, func(a, b Limit) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}

// BrittleEndpoint is a brittle endpoint as shown to operators.
type BrittleEndpoint struct {
	Endpoint string `json:"endpoint"`
	// Tolerated is the number of rejections per second that the endpoint tolerates.
	Tolerated int `json:"tolerated"`
	// For is the time since the endpoint began to report that it is brittle. Age is the time since its latest report.
	For time.Duration `json:"for"`
	Age time.Duration `json:"age"`
}

// BrittleEndpoints returns the endpoints that are brittle, sorted by name.
func (r *Registry) BrittleEndpoints(now time.Time) []BrittleEndpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []BrittleEndpoint
	for name, e := range r.entries {
		if e.Brittle {
			all = append(all, BrittleEndpoint{Endpoint: name, Tolerated: e.Tolerated, For: now.Sub(e.brittleSince), Age: now.Sub(e.at)})
		}
	}
	slices.SortFunc(all, func(a, b BrittleEndpoint) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return all
}

// brittleMemory is how long an endpoint of which nothing is known counts as brittle after another one of its service was.
const brittleMemory = 10 * time.Second

// IsAnyBrittle reports whether one of the endpoints was brittle within brittleMemory.
func (r *Registry) IsAnyBrittle(now time.Time, endpoints func() []string) bool {
	if !r.HasReports() {
		return false
	}
	names := endpoints()
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(names, func(name string) bool {
		e := r.entries[name]
		return e != nil && e.Brittle && now.Sub(e.at) < brittleMemory
	})
}
