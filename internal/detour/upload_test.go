package detour_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

const (
	uploadHead = "POST / HTTP/1.1\r\nHost: x\r\n\r\n"
	// uploadSize is the size in bytes of an upload that no socket buffers as a whole.
	uploadSize = 3 << 20
)

// upload sends an upload over a detour while it reads what arrives until the connection ends. If the read fails, it closes the connection.
func (f *fleet) upload() (got string, readErr, writeErr error) {
	conn, err := f.client.Dial(context.Background(), "tcp", f.endpoint.String())
	f.c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	var writing errgroup.Group
	writing.Go(func() error {
		_, err := io.WriteString(conn, uploadHead+strings.Repeat("x", uploadSize))
		return err
	})
	all, err := io.ReadAll(conn)
	if err != nil {
		_ = conn.Close()
	}
	return string(all), err, writing.Wait()
}

// TestResetInUploadIsNoEnd guards against a reset of the endpoint that reaches another box as the end of a whole answer, because the box between them
// met it as it wrote the upload.
func TestResetInUploadIsNoEnd(t *testing.T) {
	const uploads = 100
	c := qt.New(t)
	f := newFleet(c, 8, func(conn net.Conn) {
		_, _ = io.WriteString(conn, "first part")
		time.Sleep(time.Millisecond)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	})
	ended := 0
	for range uploads {
		if _, err, _ := f.upload(); err == nil {
			ended++
		}
	}
	c.Check(ended, qt.Equals, 0, qt.Commentf("resets that read like an end in order, of %d", uploads))
}

// TestEndpointReadsOnAfterItsEnd guards against a box that cuts off an upload because the endpoint has ended its answer, though it still reads.
func TestEndpointReadsOnAfterItsEnd(t *testing.T) {
	c := qt.New(t)
	var received atomic.Int64
	done := make(chan struct{})
	f := newFleet(c, 8, func(conn net.Conn) {
		defer close(done)
		_, _ = io.WriteString(conn, "whole answer")
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		n, _ := io.Copy(io.Discard, conn)
		received.Store(n)
		_ = conn.Close()
	})
	got, readErr, writeErr := f.upload()
	c.Check(readErr, qt.IsNil)
	c.Check(writeErr, qt.IsNil)
	c.Check(got, qt.Equals, "whole answer")
	<-done
	// The endpoint's server has read ahead.
	const readAhead = 4 << 10
	c.Check(received.Load() >= uploadSize-readAhead, qt.IsTrue, qt.Commentf("%d bytes", received.Load()))
}
