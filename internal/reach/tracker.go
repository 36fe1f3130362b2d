// Package reach tracks which endpoints this box can connect to, and whether it can connect to any of them. A box that is cut off from all endpoints
// meets nothing but timeouts and refused connections, and must not mistake them for failures of the endpoints.
package reach

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/part"
)

const (
	// dialTimeout limits a direct connection attempt, checkTimeout one that a check makes. A round trip between zones takes 3 ms.
	dialTimeout  = time.Second
	checkTimeout = 300 * time.Millisecond
	// firstChecked is the number of endpoints that a check tries to connect to at first. If none accepts at once, it tries more, up to maxChecked, so that
	// a few lost endpoints are not taken for a cut. The box counts as detached if it reaches none of at least minFailures.
	firstChecked = 3
	maxChecked   = 8
	minFailures  = 2
	// moreAfter is how long a check waits for the first endpoints.
	moreAfter = 100 * time.Millisecond
	// checkInterval is the minimum time between two checks, detachedCheckInterval the time between two checks of a detached box.
	checkInterval         = 250 * time.Millisecond
	detachedCheckInterval = 500 * time.Millisecond
	// silenceLimit is the time after which a check is made if something was sent to endpoints and nothing at all came back from any. It doubles up to
	// maxSilenceLimit while checks show that endpoints are only slow.
	silenceLimit    = 250 * time.Millisecond
	maxSilenceLimit = 4 * time.Second
	watchInterval   = 50 * time.Millisecond
	// avoidTime is how long an endpoint is avoided after a failed connection attempt.
	avoidTime = time.Second
	// maxFailed bounds the endpoints that are avoided.
	maxFailed = 4096
	// ownerGrace is how long a box must be detached before it gives up its engines, ownerRecovery how long it must have been attached again before it
	// may own engines. The hysteresis keeps short cuts from moving engines.
	ownerGrace    = 300 * time.Millisecond
	ownerRecovery = 2 * time.Second
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures a Tracker.
type Config struct {
	// Dial opens direct connections to endpoints. Nil uses TCP.
	Dial DialFunc
	// Endpoints returns the addresses of all known endpoints.
	Endpoints func() []netip.AddrPort
	// OnChange is called after the box became detached or attached again, nil calls nothing.
	OnChange func(detached bool)
	Scope    tally.Scope
}

// Tracker opens direct connections to endpoints and records which of them can be reached.
type Tracker struct {
	cfg  Config
	done chan struct{}
	// checkRequests requests a check after a failed connection attempt.
	checkRequests chan struct{}
	// unansweredSince is when the first byte was sent to an endpoint since the last byte arrived from any, in ns of the process clock since started, zero if nothing was.
	unansweredSince atomic.Int64
	started         time.Time
	// silenceLimit is the current limit in ns. It grows while endpoints are slow, and shrinks when bytes arrive.
	silenceLimit atomic.Int64

	mu sync.Mutex
	// failedAt holds the time of the last failed connection attempt of each endpoint to which none has succeeded since.
	failedAt map[netip.AddrPort]time.Time
	lastOK   time.Time
	// detachedSince is when the box became detached, zero while it is attached. attachedSince and lastDetached describe the end of the last time
	// that it was detached, and how long that was.
	detachedSince time.Time
	attachedSince time.Time
	lastDetached  time.Duration
	lastCheck     time.Time
}

// New returns a Tracker. The caller must run its Serve method.
func New(cfg Config) *Tracker {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	t := &Tracker{cfg: cfg, done: make(chan struct{}), checkRequests: make(chan struct{}, 1), started: clock.Now(), failedAt: map[netip.AddrPort]time.Time{}}
	t.recordArrival()
	return t
}

// Done returns a channel that is closed when Serve has returned.
func (t *Tracker) Done() <-chan struct{} { return t.done }

// Dial opens a direct connection to an endpoint and records the outcome. It implements DialFunc.
func (t *Tracker) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	endpoint, err := netip.ParseAddrPort(address)
	if err != nil {
		return t.cfg.Dial(ctx, network, address)
	}
	startedAt := clock.Now()
	conn, err := t.cfg.Dial(ctx, network, address)
	if err == nil {
		t.recordOK(endpoint)
		return &trackedConn{conn, t}, nil
	}
	if !errors.Is(ctx.Err(), context.Canceled) && (ctx.Err() == nil || clock.Since(startedAt) >= checkTimeout) {
		t.recordFailure(endpoint)
		t.requestCheck()
	}
	return nil, err
}

// requestCheck makes Serve check soon whether any endpoint can be reached.
func (t *Tracker) requestCheck() {
	select {
	case t.checkRequests <- struct{}{}:
	default:
	}
}

func (t *Tracker) recordOK(endpoint netip.AddrPort) {
	t.mu.Lock()
	delete(t.failedAt, endpoint)
	now := clock.Now()
	t.lastOK = now
	since := t.detachedSince
	if !since.IsZero() {
		t.lastDetached, t.attachedSince, t.detachedSince = now.Sub(since), now, time.Time{}
	}
	t.mu.Unlock()
	if !since.IsZero() {
		t.reportChange(false, now.Sub(since))
	}
}

func (t *Tracker) recordFailure(endpoint netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.failedAt) >= maxFailed {
		clear(t.failedAt)
	}
	t.failedAt[endpoint] = clock.Now()
	t.cfg.Scope.Counter("endpoint_dials_failed").Inc(1)
}

// recordDetached records that none of the endpoints tried by a check that began at startedAt could be reached.
func (t *Tracker) recordDetached(startedAt time.Time) {
	t.mu.Lock()
	changed := t.detachedSince.IsZero() && t.lastOK.Before(startedAt)
	if changed {
		t.detachedSince = clock.Now()
	}
	t.mu.Unlock()
	if changed {
		t.reportChange(true, 0)
	}
}

func (t *Tracker) reportChange(detached bool, lasted time.Duration) {
	if detached {
		klog.InfoS("no endpoint can be reached from this box")
	} else {
		klog.InfoS("endpoints can be reached from this box again", "after", lasted)
	}
	t.cfg.Scope.Counter("reach_changes").Inc(1)
	value := 0.0
	if detached {
		value = 1
	}
	t.cfg.Scope.Gauge("detached").Update(value)
	if t.cfg.OnChange != nil {
		t.cfg.OnChange(detached)
	}
}

// IsDetached reports whether the box can connect to no endpoint.
func (t *Tracker) IsDetached() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.detachedSince.IsZero()
}

// IsAvoided reports whether a direct connection to an endpoint is unlikely to succeed.
func (t *Tracker) IsAvoided(endpoint netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	failedAt, failed := t.failedAt[endpoint]
	return !t.detachedSince.IsZero() || (failed && clock.Since(failedAt) < avoidTime)
}

// CanOwnEngines reports whether the box reaches endpoints steadily enough to own engines.
func (t *Tracker) CanOwnEngines() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.detachedSince.IsZero() {
		return clock.Since(t.detachedSince) < ownerGrace && t.isSteady()
	}
	return t.isSteady()
}

// isSteady reports whether the last time that the box was detached was short or is long over. The caller holds mu.
func (t *Tracker) isSteady() bool {
	return t.lastDetached < ownerGrace || clock.Since(t.attachedSince) >= ownerRecovery
}

// Status describes which endpoints a box can connect to.
type Status struct {
	// Detached is true if the box can connect to no endpoint, for the time DetachedFor.
	Detached    bool          `json:"detached"`
	DetachedFor time.Duration `json:"detached_for,omitempty"`
	// Avoided is the number of endpoints to which a recent connection attempt failed.
	Avoided int `json:"avoided,omitempty"`
}

// Status returns the current status.
func (t *Tracker) Status() Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var s Status
	if !t.detachedSince.IsZero() {
		s.Detached, s.DetachedFor = true, clock.Since(t.detachedSince)
	}
	for _, at := range t.failedAt {
		if clock.Since(at) < avoidTime {
			s.Avoided++
		}
	}
	return s
}

// CanReachOther reports whether the box can connect to any endpoint other than the given one now. It tells a failure of that endpoint from a cut of
// this box.
func (t *Tracker) CanReachOther(ctx context.Context, endpoint netip.AddrPort) bool {
	reached, _ := t.dialAny(ctx, t.sample(endpoint))
	return reached
}

// Serve checks whether endpoints can be reached, after failed connection attempts and after silence, until ctx is done.
func (t *Tracker) Serve(ctx context.Context) error {
	defer part.CloseIfEnded(ctx, t.done)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	isRequested := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.checkRequests:
			isRequested = true
		case <-ticker.C:
		}
		if t.isCheckDue(isRequested) {
			isRequested = false
			t.check(ctx)
		}
	}
}

// recordArrival records that bytes arrived from an endpoint.
func (t *Tracker) recordArrival() {
	t.unansweredSince.Store(0)
	t.silenceLimit.Store(int64(silenceLimit))
}

// isCheckDue reports whether a check is due. isRequested is true after a failed connection attempt.
func (t *Tracker) isCheckDue(isRequested bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sinceCheck := clock.Since(t.lastCheck)
	if !t.detachedSince.IsZero() {
		return sinceCheck >= detachedCheckInterval
	}
	if sinceCheck < checkInterval {
		return false
	}
	if isRequested {
		return true
	}
	unanswered := t.unansweredSince.Load()
	return unanswered != 0 && int64(clock.Since(t.started))-unanswered >= t.silenceLimit.Load()
}

// check tries to connect to some endpoints.
func (t *Tracker) check(ctx context.Context) {
	startedAt := clock.Now()
	t.mu.Lock()
	t.lastCheck = startedAt
	t.mu.Unlock()
	t.cfg.Scope.Counter("reach_checks").Inc(1)
	reached, failures := t.dialAny(ctx, t.sample(netip.AddrPort{}))
	switch {
	case reached:
		t.unansweredSince.Store(0)
		t.silenceLimit.Store(min(2*t.silenceLimit.Load(), int64(maxSilenceLimit)))
	case failures >= minFailures && ctx.Err() == nil:
		t.recordDetached(startedAt)
	}
}

// sample returns up to maxChecked random endpoints other than the given one.
func (t *Tracker) sample(except netip.AddrPort) []netip.AddrPort {
	all := slices.DeleteFunc(slices.Clone(t.cfg.Endpoints()), func(a netip.AddrPort) bool { return a == except })
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), maxChecked)]
}

// dialAny connects to endpoints, to the first ones at the same time and then to all others, and reports whether one of them accepted, and otherwise how many
// failed.
func (t *Tracker) dialAny(ctx context.Context, endpoints []netip.AddrPort) (reached bool, failures int) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	outcomes := make(chan bool, len(endpoints))
	var group errgroup.Group
	start := func(some []netip.AddrPort) {
		for _, endpoint := range some {
			group.Go(func() error {
				conn, err := t.cfg.Dial(ctx, "tcp", endpoint.String())
				if err == nil {
					_ = conn.Close()
					t.recordOK(endpoint)
				}
				outcomes <- err == nil
				return nil
			})
		}
	}
	first := min(firstChecked, len(endpoints))
	start(endpoints[:first])
	more := time.NewTimer(moreAfter)
	defer more.Stop()
	for started := first; failures < started; {
		isMoreDue := false
		select {
		case <-more.C:
			isMoreDue = true
		case ok := <-outcomes:
			if ok {
				return true, failures
			}
			failures++
			isMoreDue = failures == first
		}
		if isMoreDue && started == first {
			start(endpoints[first:])
			started = len(endpoints)
		}
	}
	return false, failures
}

// trackedConn records that bytes were sent to and received from an endpoint.
type trackedConn struct {
	net.Conn
	tracker *Tracker
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.tracker.recordArrival()
	}
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.tracker.unansweredSince.CompareAndSwap(0, max(1, int64(clock.Since(c.tracker.started))))
	return c.Conn.Write(p)
}
