// Package intake bounds the memory and the connections that a box holds for requests that arrive. See docs/design/client-memory.md.
package intake

import (
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
)

const (
	// headLineCost is the memory in bytes that a header line takes beside its text, in the maps of the request and of its copies.
	headLineCost = 256
	// smallRequest is the number of bytes above which a request is large.
	smallRequest = 64 << 10
	// Large requests together hold at most largeNumerator/largeDenominator of the limit.
	largeNumerator, largeDenominator = 3, 4
	// minStall is the time without progress from which a connection is closed to make room.
	minStall = 250 * time.Millisecond
	// logInterval is the time between two log lines with one reason.
	logInterval = 10 * time.Second
	// defaultMaxBytes applies where the configuration sets no limit.
	defaultMaxBytes = 64 << 20
)

// ErrNoRoom is the error of a request for which there is no room, or whose connection was closed to make room for others.
var ErrNoRoom = errors.New("intake: no room for what clients send")

// errNoRoomRead is ErrNoRoom as the error of a read. The HTTP server closes the connection without an answer.
var errNoRoomRead error = &net.OpError{Op: "read", Net: "tcp", Err: ErrNoRoom}

// reason tells why a connection was closed or a request was refused.
type reason string

const (
	// evictedForMemory and evictedForConnection: the connection gave way to others.
	evictedForMemory     reason = "evicted_memory"
	evictedForConnection reason = "evicted_connection"
	// refusedMemory and refusedConnection: there was nothing that could give way.
	refusedMemory     reason = "refused_memory"
	refusedConnection reason = "refused_connection"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// MaxBytes limits the bytes that all requests hold.
	MaxBytes int64
	Scope    tally.Scope
}

// Pool bounds the bytes that the requests on the connections of all its listeners hold.
type Pool struct {
	cfg PoolConfig
	// heldGauge shows held.
	heldGauge tally.Gauge

	// mu guards the fields below and the state of all connections.
	mu sync.Mutex
	// held is the sum of the bytes that connections hold, heldLarge that of the large requests.
	held, heldLarge int64
	conns           map[*Conn]struct{}
	counts          map[reason]int64
	loggedAt        map[reason]time.Time
}

// NewPool returns a Pool.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	return &Pool{cfg: cfg, heldGauge: cfg.Scope.Gauge("intake_held_bytes"), conns: map[*Conn]struct{}{}, counts: map[reason]int64{}, loggedAt: map[reason]time.Time{}}
}

// Status describes what a Pool holds.
type Status struct {
	// HeldBytes is what requests hold, of MaxBytes.
	HeldBytes   int64 `json:"held_bytes"`
	MaxBytes    int64 `json:"max_bytes"`
	Connections int   `json:"connections"`
	// Evicted counts the connections that gave way to others, Refused those and the requests that found no room.
	Evicted int64 `json:"evicted"`
	Refused int64 `json:"refused"`
}

// Status returns what the Pool holds.
func (p *Pool) Status() Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Status{
		HeldBytes: p.held, MaxBytes: p.cfg.MaxBytes, Connections: len(p.conns),
		Evicted: p.counts[evictedForMemory] + p.counts[evictedForConnection], Refused: p.counts[refusedMemory] + p.counts[refusedConnection],
	}
}

// isLarge reports whether a request with so many bytes is large.
func isLarge(held int64) bool { return held > smallRequest }

// setHeld changes what a connection holds. The caller holds mu.
func (p *Pool) setHeld(c *Conn, held int64) {
	if isLarge(c.held) {
		p.heldLarge -= c.held
	}
	if isLarge(held) {
		p.heldLarge += held
	}
	p.held += held - c.held
	c.held = held
	p.heldGauge.Update(float64(p.held))
}

// fits reports whether a connection may hold the given bytes. The caller holds mu.
func (p *Pool) fits(c *Conn, held int64) bool {
	total := p.held - c.held + held
	if !isLarge(held) {
		return total <= p.cfg.MaxBytes
	}
	otherLarge := p.heldLarge
	if isLarge(c.held) {
		otherLarge -= c.held
	}
	// A large request that is alone always fits.
	return otherLarge == 0 || (otherLarge+held <= p.cfg.MaxBytes/largeDenominator*largeNumerator && total <= p.cfg.MaxBytes)
}

// reserve adds n to the bytes that a connection holds. It closes other connections if that makes room, and otherwise returns ErrNoRoom. The
// caller holds mu.
func (p *Pool) reserve(c *Conn, n int64) error {
	if c.isClosed {
		return ErrNoRoom
	}
	held := c.held + n
	if !p.fits(c, held) {
		for _, other := range p.candidates(c, isLarge(held)) {
			p.evict(other, evictedForMemory)
			if p.fits(c, held) {
				break
			}
		}
	}
	if !p.fits(c, held) {
		p.record(c, refusedMemory)
		return ErrNoRoom
	}
	p.setHeld(c, held)
	return nil
}

// candidates returns the connections that may be closed to make room for a request on c, the longest without progress first. The caller holds
// mu.
func (p *Pool) candidates(c *Conn, isLargeRequest bool) []*Conn {
	now := clock.Now()
	var all []*Conn
	for other := range p.conns {
		isStalled := now.Sub(other.progressAt) >= minStall
		if other != c && other.held > 0 && other.phase.isArriving() && (isStalled || !isLargeRequest && isLarge(other.held)) {
			all = append(all, other)
		}
	}
	sortByProgress(all)
	return all
}

// sortByProgress sorts connections, the longest without progress first.
func sortByProgress(all []*Conn) {
	slices.SortFunc(all, func(a, b *Conn) int { return a.progressAt.Compare(b.progressAt) })
}

// evict closes a connection to make room. The caller holds mu.
func (p *Pool) evict(c *Conn, why reason) {
	p.record(c, why)
	p.close(c)
}

// close closes a connection. The caller holds mu.
func (p *Pool) close(c *Conn) {
	p.removeLocked(c)
	c.isClosed = true
	// An error means that the connection is closed already.
	_ = c.Conn.Close()
}

// removeLocked removes a connection. The caller holds mu.
func (p *Pool) removeLocked(c *Conn) {
	if _, ok := p.conns[c]; !ok {
		return
	}
	p.setHeld(c, 0)
	delete(p.conns, c)
	c.listener.open--
}

// record counts a connection that is closed or a request that is refused, and logs it, for each reason at most once in logInterval. The caller
// holds mu.
func (p *Pool) record(c *Conn, why reason) {
	p.counts[why]++
	p.cfg.Scope.Tagged(map[string]string{"reason": string(why), "listener": c.listener.cfg.Name}).Counter("intake_closed").Inc(1)
	now := clock.Now()
	if now.Sub(p.loggedAt[why]) < logInterval {
		return
	}
	p.loggedAt[why] = now
	klog.InfoS("no room for what clients send", "reason", why, "listener", c.listener.cfg.Name, "client", c.RemoteAddr(), "holds", c.held, "all_hold", p.held, "limit", p.cfg.MaxBytes,
		"connections", c.listener.open, "max_connections", c.listener.cfg.MaxConns, "without_progress", now.Sub(c.progressAt))
}
