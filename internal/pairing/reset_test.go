package pairing_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/pairing"
)

// uploadSize is the size in bytes of a request that takes several writes.
const uploadSize = 1 << 20

// earlyConn is a connection to an endpoint that answers after the first write of a request. Like a socket, it reports a reset to one call only; for all
// others the connection has ended.
type earlyConn struct {
	net.Conn
	answer io.Reader
	// writes counts the writes. The one with the number resetAt, if it is not zero, meets the reset.
	writes, resetAt int
	// written counts the bytes of all writes.
	written int
	// answered is closed by the first write, sent by the last one. ended is closed when the endpoint's side ends, read when a read has returned
	// io.EOF.
	answered, sent, ended, read, closed    chan struct{}
	sentOnce, endOnce, readOnce, closeOnce sync.Once
	// endsFirst makes the endpoint's side end before the second write, and returnsLast makes the write that meets the reset return after the read
	// that follows it.
	endsFirst, returnsLast bool
	// hangs makes the second write wait until the connection is closed.
	hangs bool
}

func newEarlyConn(answer string) *earlyConn {
	return &earlyConn{answer: strings.NewReader(answer), answered: make(chan struct{}), sent: make(chan struct{}), ended: make(chan struct{}), read: make(chan struct{}), closed: make(chan struct{})}
}

// Write implements net.Conn.
func (c *earlyConn) Write(p []byte) (int, error) {
	c.writes++
	if c.written += len(p); c.written >= uploadSize {
		defer c.sentOnce.Do(func() { close(c.sent) })
	}
	switch {
	case c.writes == 1:
		close(c.answered)
		return len(p), nil
	case c.writes == 2 && c.endsFirst:
		c.end()
		c.wait(c.read)
	case c.writes == 2 && c.hangs:
		c.end()
		<-c.closed
		return 0, net.ErrClosed
	}
	if c.writes != c.resetAt {
		return len(p), nil
	}
	c.end()
	if c.returnsLast {
		c.wait(c.read)
	}
	return 0, syscall.ECONNRESET
}

// Read implements net.Conn.
func (c *earlyConn) Read(p []byte) (int, error) {
	<-c.answered
	if n, _ := c.answer.Read(p); n > 0 {
		return n, nil
	}
	select {
	case <-c.ended:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	c.readOnce.Do(func() { close(c.read) })
	return 0, io.EOF
}

func (c *earlyConn) end() { c.endOnce.Do(func() { close(c.ended) }) }

// wait waits until a channel is closed, but no longer than waitTime, as the transport may not read on.
func (c *earlyConn) wait(done chan struct{}) {
	select {
	case <-done:
	case <-c.closed:
	case <-time.After(waitTime):
	}
}

// Close implements net.Conn.
func (c *earlyConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return nil
}

// TestRequestGivenUpInUploadIsNotWhole guards against an answer that counts as whole because its request was given up while the endpoint, which had ended
// its side, did not read the rest of it.
func TestRequestGivenUpInUploadIsNotWhole(t *testing.T) {
	const tries, patience = 300, 2 * time.Millisecond
	c := qt.New(t)
	whole := 0
	for range tries {
		conn := newEarlyConn("HTTP/1.1 200 OK\r\nId: early\r\n\r\npart")
		conn.hangs = true
		base := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil }}
		p := pairing.New(pairing.Config{ID: func(h http.Header) string { return h.Get(idHeader) }, IsIDReturned: true})
		client := &http.Client{Transport: p.Transport(base)}
		ctx, cancel := context.WithTimeout(c.Context(), patience)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1:1", strings.NewReader(strings.Repeat("x", uploadSize)))
		c.Assert(err, qt.IsNil)
		req.Header.Set(idHeader, "early")
		if resp, err := client.Do(req); err == nil {
			if _, err := io.ReadAll(resp.Body); err == nil {
				whole++
			}
			c.Check(resp.Body.Close(), qt.IsNil)
		}
		cancel()
	}
	c.Check(whole, qt.Equals, 0, qt.Commentf("of %d", tries))
}

// isClosed reports whether the transport has closed the connection.
func (c *earlyConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// TestAnswerBeforeEndOfUpload guards against an answer without a length that counts as whole though the endpoint reset its connection while the
// request was still being written, and against one that counts as cut though its request was written as a whole.
func TestAnswerBeforeEndOfUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: early\r\n"
	for _, tt := range []struct {
		name                   string
		answer                 string
		resetAt                int
		endsFirst, returnsLast bool
		endsLast               bool
		wantBody               string
		wantCut                bool
		wantKept               bool
	}{
		{name: "reset met by the write", answer: head + "\r\npart", resetAt: 3, wantBody: "part", wantCut: true},
		{name: "reset met by the write, which returns after the read", answer: head + "\r\npart", resetAt: 3, returnsLast: true, wantBody: "part", wantCut: true},
		{name: "end in order, reset later", answer: head + "\r\npart", resetAt: 4, endsFirst: true, wantBody: "part", wantCut: true},
		{name: "end in order before the request is written", answer: head + "\r\nwhole", endsFirst: true, wantBody: "whole"},
		{name: "end in order after the request is written", answer: head + "\r\nwhole", endsLast: true, wantBody: "whole"},
		{name: "with a length", answer: head + "Content-Length: 5\r\n\r\nwhole", wantBody: "whole", wantKept: true},
		{name: "in chunks", answer: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", wantBody: "whole", wantKept: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			conn := newEarlyConn(tt.answer)
			conn.resetAt, conn.endsFirst, conn.returnsLast = tt.resetAt, tt.endsFirst, tt.returnsLast
			base := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil }}
			scope := tally.NewTestScope("", nil)
			p := pairing.New(pairing.Config{ID: func(h http.Header) string { return h.Get(idHeader) }, IsIDReturned: true, Scope: scope})
			client := &http.Client{Transport: p.Transport(base)}
			c.Cleanup(base.CloseIdleConnections)
			ctx, cancel := context.WithTimeout(c.Context(), 2*waitTime)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1:1", strings.NewReader(strings.Repeat("x", uploadSize)))
			c.Assert(err, qt.IsNil)
			req.Header.Set(idHeader, "early")
			resp, err := client.Do(req)
			if tt.wantCut && err != nil {
				// The write failed before the head was read.
				return
			}
			c.Assert(err, qt.IsNil)
			if tt.endsLast {
				<-conn.sent
				conn.end()
			}
			body, err := io.ReadAll(resp.Body)
			c.Check(resp.Body.Close(), qt.IsNil)
			c.Check(string(body), qt.Equals, tt.wantBody)
			c.Check(err != nil, qt.Equals, tt.wantCut, qt.Commentf("%v", err))
			if errors.Is(err, httpx.ErrUploadFailed) {
				counter := scope.Snapshot().Counters()["answers_cut_in_upload+"]
				c.Assert(counter, qt.IsNotNil)
				c.Check(counter.Value(), qt.Equals, int64(1))
			}
			if tt.wantKept {
				<-conn.sent
				c.Check(conn.isClosed(), qt.IsFalse)
			}
		})
	}
}
