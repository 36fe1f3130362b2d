package intake

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/bellgap/bellgap/internal/clock"
)

// ListenerConfig configures a Listener.
type ListenerConfig struct {
	// Name names the listener in logs and metrics.
	Name string
	Pool *Pool
	// MaxConns is the maximum number of open connections, zero sets no limit.
	MaxConns int
}

// Listener is a net.Listener whose connections count in a Pool.
type Listener struct {
	net.Listener
	cfg ListenerConfig
	// open is the number of open connections. The mutex of the Pool guards it.
	open int
}

// NewListener returns a Listener that accepts the connections of l.
func NewListener(l net.Listener, cfg ListenerConfig) *Listener {
	return &Listener{Listener: l, cfg: cfg}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: accepted, listener: l, progressAt: clock.Now()}
		if l.admit(c) {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// admit adds a connection. If there are too many, it takes the place of the one without a request in work that has been without progress for
// longest. It returns false if there is none.
func (l *Listener) admit(c *Conn) bool {
	p := l.cfg.Pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.cfg.MaxConns > 0 && l.open >= l.cfg.MaxConns {
		var all []*Conn
		for other := range p.conns {
			if other.listener == l && other.phase != phaseRunning {
				all = append(all, other)
			}
		}
		if len(all) == 0 {
			p.record(c, refusedConnection)
			return false
		}
		sortByProgress(all)
		p.evict(all[0], evictedForConnection)
	}
	p.conns[c] = struct{}{}
	l.open++
	return true
}

// phase is what happens on a connection.
type phase int

const (
	// phaseIdle: no part of the next request has arrived.
	phaseIdle phase = iota
	// phaseHead: a head is arriving.
	phaseHead
	// phaseBody: the handler waits for more of a body.
	phaseBody
	// phaseRunning: the handler works on a request.
	phaseRunning
)

// isArriving reports whether a part of a request has arrived and more of it is awaited.
func (p phase) isArriving() bool { return p == phaseHead || p == phaseBody }

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener

	// The mutex of the Pool guards the fields below.
	phase phase
	// held is the number of bytes that the connection's request holds.
	held       int64
	progressAt time.Time
	// isClosed is set once the Pool has closed the connection.
	isClosed bool
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the writing side, so that a client reads its answer before the connection ends.
func (c *Conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	p := c.listener.cfg.Pool
	p.mu.Lock()
	p.removeLocked(c)
	p.mu.Unlock()
	return c.Conn.Close()
}

// Read implements net.Conn. It counts the heads of requests as they arrive.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if rerr := c.recordRead(b[:n]); rerr != nil {
		return 0, errNoRoomRead
	}
	return n, err
}

// recordRead records the progress of a connection, and counts what was read if it is part of a head.
func (c *Conn) recordRead(b []byte) error {
	p := c.listener.cfg.Pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.isClosed {
		return ErrNoRoom
	}
	if len(b) == 0 {
		return nil
	}
	c.progressAt = clock.Now()
	if c.phase != phaseIdle && c.phase != phaseHead {
		return nil
	}
	c.phase = phaseHead
	err := p.reserve(c, int64(len(b))+headLineCost*int64(bytes.Count(b, []byte{'\n'})))
	if err != nil {
		// The reader of a head may read on after an error. The bytes of this read are lost, so all further reads must fail.
		p.close(c)
	}
	return err
}

// setPhase changes the phase, which counts as progress.
func (c *Conn) setPhase(to phase) {
	p := c.listener.cfg.Pool
	p.mu.Lock()
	defer p.mu.Unlock()
	c.phase, c.progressAt = to, clock.Now()
}

// endRequest releases what a request has held. Until its answer has been written, the connection counts as one with a request in work.
func (c *Conn) endRequest() {
	p := c.listener.cfg.Pool
	p.mu.Lock()
	defer p.mu.Unlock()
	c.progressAt = clock.Now()
	if !c.isClosed {
		p.setHeld(c, 0)
	}
}

// ConnState records that an answer has been written. It is used as http.Server.ConnState.
func ConnState(c net.Conn, state http.ConnState) {
	if counted, ok := c.(*Conn); ok && state == http.StateIdle {
		counted.setPhase(phaseIdle)
	}
}

// connKey is the key of the connection in the context of its requests, holdingKey that of the request's Holding.
type (
	connKey    struct{}
	holdingKey struct{}
)

// ConnContext adds a connection to the context of its requests. It is used as http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if counted, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, counted)
	}
	return ctx
}

// Handler returns a handler that counts the bodies of requests, and calls next.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.setPhase(phaseRunning)
		defer c.endRequest()
		h := &Holding{conn: c}
		// The server needs its own body in r.
		r = r.WithContext(context.WithValue(r.Context(), holdingKey{}, h))
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = &countedBody{r.Body, h}
		}
		next.ServeHTTP(w, r)
	})
}

// Holding counts the bytes held of one request body.
type Holding struct {
	conn *Conn
	// reserved is what has been reserved, read what has been read of the body.
	reserved, read int64
}

// HoldingOf returns the Holding of the request with the given context, nil if it is not counted.
func HoldingOf(ctx context.Context) *Holding {
	h, _ := ctx.Value(holdingKey{}).(*Holding)
	return h
}

// Reserve makes the request hold at least total bytes for its body. It returns ErrNoRoom if there is no room for them. A nil Holding has
// room.
func (h *Holding) Reserve(total int64) error {
	if h == nil || total <= h.reserved {
		return nil
	}
	p := h.conn.listener.cfg.Pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.reserve(h.conn, total-h.reserved); err != nil {
		return err
	}
	h.reserved = total
	return nil
}

// countedBody is the body of a request. What is read of it counts, unless it has been reserved before.
type countedBody struct {
	io.ReadCloser
	holding *Holding
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	b.holding.conn.setPhase(phaseBody)
	n, err := b.ReadCloser.Read(p)
	b.holding.conn.setPhase(phaseRunning)
	b.holding.read += int64(n)
	if rerr := b.holding.Reserve(b.holding.read); rerr != nil {
		return 0, rerr
	}
	return n, err
}
