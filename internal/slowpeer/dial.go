package slowpeer

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"
)

// BoundWrites makes the connections of a transport fail with ErrEndpointNotReading if the other side takes no byte for the stall
// timeout. It returns t.
func BoundWrites(t *http.Transport, stallTimeout time.Duration) *http.Transport {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &boundedConn{conn, cmp.Or(stallTimeout, defaultStallTimeout)}, nil
	}
	return t
}

// SendError returns the cause if the tracker cancelled a request whose context is ctx, and err otherwise.
func SendError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, ErrEndpointNotReading) {
		return cause
	}
	return err
}

// looksPerStall is how often a blocked write looks for progress within the stall timeout. A write that has made some progress is
// ended at most 1/looksPerStall of the timeout too late.
const looksPerStall = 4

// boundedConn is a connection whose writes have a deadline that moves with each byte that the other side takes.
type boundedConn struct {
	net.Conn
	stallTimeout time.Duration
}

// NetConn returns the wrapped connection.
func (c *boundedConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *boundedConn) Write(p []byte) (int, error) {
	n, looks := 0, 0
	for {
		// If this fails, the connection is closed, and so the write fails.
		_ = c.SetWriteDeadline(time.Now().Add(c.stallTimeout / looksPerStall))
		k, err := c.Conn.Write(p[n:])
		n += k
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		looks++
		if k > 0 {
			looks = 0
		}
		if looks >= looksPerStall {
			return n, ErrEndpointNotReading
		}
	}
}
