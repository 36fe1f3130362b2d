package httpx

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// ErrUploadFailed is the error of an answer without a length whose connection ended before its request had been written. The answer may have been cut
// short.
var ErrUploadFailed = errors.New("httpx: answer ended while its request could not be written")

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// trackDials returns a DialFunc whose connections are tracked.
func trackDials(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewTrackedConn(c), nil
	}
}

// TrackedConn is a connection whose reads fail after a reset, also if a write has met it. The kernel reports a reset to one call only: if that is a write,
// the next read returns io.EOF, as at the end of a whole answer.
type TrackedConn struct {
	net.Conn
	// writing is held during a write. It is a channel, because a mutex that is held during a write stops the virtual time of tests.
	writing chan struct{}
	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// writeErr is the error of the last write that failed.
	writeErr error
	// sent is the last HTTP request on the connection, nil if there was none.
	sent *sentRequest
}

// NewTrackedConn returns a TrackedConn that reads from and writes to c.
func NewTrackedConn(c net.Conn) *TrackedConn {
	return &TrackedConn{Conn: c, writing: make(chan struct{}, 1), closed: make(chan struct{})}
}

// NetConn returns the wrapped connection.
func (c *TrackedConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *TrackedConn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. If the connection ends while a request is being written, it waits for the end of the request: the write may be the
// call that meets the reset, and an endpoint that has ended its answer in order may read on.
func (c *TrackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if uploadErr := c.uploadError(); uploadErr != nil {
			return n, fmt.Errorf("%w: %w", ErrUploadFailed, uploadErr)
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *TrackedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// begin records an HTTP request that is about to be written.
func (c *TrackedConn) begin(sent *sentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = sent
}

// lastSent returns the last HTTP request, nil if there was none.
func (c *TrackedConn) lastSent() *sentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent
}

// uploadError waits until what is being sent has been written, and returns the error if that failed. If the last HTTP request has an answer with a length
// or in chunks, the end of the connection does not end the answer, and uploadError returns nil at once.
func (c *TrackedConn) uploadError() error {
	sent := c.lastSent()
	if sent != nil {
		if !sent.endsWithConnection.Load() {
			return nil
		}
		select {
		case <-sent.written:
		case <-c.closed:
			return net.ErrClosed
		}
	}
	// The last part of a request may be written after the transport has reported the end of the request.
	select {
	case c.writing <- struct{}{}:
		<-c.writing
	case <-c.closed:
		return net.ErrClosed
	}
	if sent != nil && sent.writeError() != nil {
		return sent.writeError()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeErr
}

// findTracked returns the TrackedConn that c is or wraps, nil if there is none.
func findTracked(c net.Conn) *TrackedConn {
	for {
		if tracked, ok := c.(*TrackedConn); ok {
			return tracked
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

// sentRequest is an HTTP request on a connection.
type sentRequest struct {
	// written is closed when the request has been written, or writing it has failed.
	written chan struct{}
	endOnce sync.Once
	err     error
	// endsWithConnection is set if the end of the connection ends the answer.
	endsWithConnection atomic.Bool
}

func newSentRequest() *sentRequest { return &sentRequest{written: make(chan struct{})} }

// end records that the request has been written, or why it could not be.
func (s *sentRequest) end(err error) {
	s.endOnce.Do(func() {
		s.err = err
		close(s.written)
	})
}

// writeError returns why the request could not be written, nil if it was or is still being written.
func (s *sentRequest) writeError() error {
	select {
	case <-s.written:
		return s.err
	default:
		return nil
	}
}
