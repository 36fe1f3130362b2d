package detour_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/detour"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/reach"
)

// fleet has one box that is cut off from all endpoints and one that carries its connections.
type fleet struct {
	c       *qt.C
	client  *detour.Client
	carrier *detour.Server
	cut     atomic.Bool
	leaving atomic.Bool
	// namesLeaving is set if the client knows that the carrier is leaving.
	namesLeaving atomic.Bool
	known        []netip.AddrPort
	endpoint     netip.AddrPort
	// transport sends requests over the connections of the client.
	transport *http.Transport
}

// newFleet starts an endpoint that serves each connection with serve.
func newFleet(c *qt.C, maxConns int, serve func(net.Conn)) *fleet {
	f := &fleet{c: c}
	f.cut.Store(true)
	f.namesLeaving.Store(true)
	f.endpoint = listenAndServe(c, serve)
	f.known = []netip.AddrPort{f.endpoint, listenAndServe(c, func(conn net.Conn) { _ = conn.Close() })}
	endpoints := func() []netip.AddrPort { return f.known }
	f.carrier = detour.NewServer(detour.ServerConfig{
		Reach: reach.New(reach.Config{Endpoints: endpoints}), IsLeaving: f.leaving.Load, MaxConns: maxConns, Scope: tally.NoopScope,
		IsEndpoint: func(a netip.AddrPort) bool { return a != netip.AddrPort{} && a.Port() != 1 },
	})
	mux := http.NewServeMux()
	f.carrier.Register(mux)
	server := httptest.NewServer(mux)
	c.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	refuse := func(ctx context.Context, network, address string) (net.Conn, error) {
		if f.cut.Load() {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	f.client = detour.NewClient(detour.ClientConfig{
		Reach: reach.New(reach.Config{Endpoints: endpoints, Dial: refuse}), Scope: tally.NoopScope,
		Boxes: func() []detour.Box {
			return []detour.Box{{Name: "box", Address: address, Leaving: f.leaving.Load() && f.namesLeaving.Load()}}
		},
		HTTP: server.Client(), CloseIdle: func() { f.transport.CloseIdleConnections() }, OnLost: func(netip.AddrPort) {},
	})
	f.transport = httpx.NewTransport(1)
	f.transport.DialContext = f.client.Dial
	c.Cleanup(f.transport.CloseIdleConnections)
	return f
}

func listenAndServe(c *qt.C, serve func(net.Conn)) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			serve(conn)
		}
	}), ReadHeaderTimeout: time.Second}
	var group errgroup.Group
	group.Go(func() error { return server.Serve(l) })
	c.Cleanup(func() {
		_ = server.Close()
		_ = group.Wait()
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

// request sends a request over a detour and returns what arrives until the connection ends.
func (f *fleet) request() (string, error) {
	conn, err := f.client.Dial(context.Background(), "tcp", f.endpoint.String())
	f.c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	f.c.Assert(err, qt.IsNil)
	all, err := io.ReadAll(conn)
	return string(all), err
}

// TestEndOfAnswerWithoutLength guards against an answer that ends with its connection counting as whole although it was broken off on the way.
func TestEndOfAnswerWithoutLength(t *testing.T) {
	answer := strings.Repeat("x", 100<<10)
	for _, test := range []struct {
		name  string
		reset bool
		err   error
	}{
		{"whole", false, nil},
		{"reset by the endpoint", true, io.ErrUnexpectedEOF},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c, 8, func(conn net.Conn) {
				_, _ = io.WriteString(conn, answer)
				if tcp, ok := conn.(*net.TCPConn); ok && test.reset {
					time.Sleep(50 * time.Millisecond)
					_ = tcp.SetLinger(0)
				}
				_ = conn.Close()
			})
			got, err := f.request()
			c.Check(errors.Is(err, test.err), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(len(got), qt.Equals, len(answer))
		})
	}
}

// TestDetourEndsWithItsCaller guards against an endpoint that works on after the caller of a detour has gone.
func TestDetourEndsWithItsCaller(t *testing.T) {
	c := qt.New(t)
	ended := make(chan struct{})
	f := newFleet(c, 8, func(conn net.Conn) {
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
	})
	conn, err := f.client.Dial(context.Background(), "tcp", f.endpoint.String())
	c.Assert(err, qt.IsNil)
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(f.client.Open(), qt.Equals, 1)
	c.Assert(conn.Close(), qt.IsNil)
	<-ended
	c.Check(f.client.Open(), qt.Equals, 0)
}

// TestDetourRefusals guards against a refused connection counting as a crash of the endpoint, and against boxes that connect to anything.
func TestDetourRefusals(t *testing.T) {
	closed := netip.MustParseAddrPort("127.0.0.1:2")
	for _, test := range []struct {
		name      string
		prepare   func(f *fleet)
		endpoint  netip.AddrPort
		isRefused bool
	}{
		{"nothing listens", func(*fleet) {}, closed, true},
		{"the other box reaches no endpoint either", func(f *fleet) { f.known = nil }, closed, false},
		{"unknown endpoint", func(*fleet) {}, netip.MustParseAddrPort("127.0.0.1:1"), false},
		{"the other box is leaving", func(f *fleet) { f.leaving.Store(true) }, closed, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c, 8, func(conn net.Conn) { _ = conn.Close() })
			test.prepare(f)
			_, err := f.client.Dial(context.Background(), "tcp", test.endpoint.String())
			c.Check(errors.Is(err, syscall.ECONNREFUSED), qt.Equals, test.isRefused, qt.Commentf("%v", err))
			c.Check(err, qt.IsNotNil)
		})
	}
}

// TestRefusedDetourCountsAsNotSent guards against a request counting as possibly run because another box was asked for a connection in vain.
func TestRefusedDetourCountsAsNotSent(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 8, func(conn net.Conn) { _ = conn.Close() })
	f.leaving.Store(true)
	f.namesLeaving.Store(false)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+f.endpoint.String(), strings.NewReader("body"))
	c.Assert(err, qt.IsNil)
	trace := httpx.NewSendTrace(req)
	transport := &http.Transport{DialContext: f.client.Dial}
	resp, err := transport.RoundTrip(trace.Request)
	if err == nil {
		_ = resp.Body.Close()
	}
	c.Check(err, qt.IsNotNil)
	c.Check(trace.MayHaveSent(), qt.IsFalse)
}

// TestDetoursAreBounded guards against a box that carries more connections than its limit.
func TestDetoursAreBounded(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1, func(net.Conn) {})
	first, err := f.client.Dial(context.Background(), "tcp", f.endpoint.String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = first.Close() }()
	_, err = f.client.Dial(context.Background(), "tcp", f.endpoint.String())
	c.Check(err, qt.IsNotNil)
	c.Check(f.carrier.Open(), qt.Equals, 1)
}

// TestSlowReaderStopsTheEndpoint guards against boxes that hold an answer in memory because its caller reads it slowly.
func TestSlowReaderStopsTheEndpoint(t *testing.T) {
	const (
		// maxInTransit bounds what the sockets of the three hops may hold.
		maxInTransit = 32 << 20
		stableFor    = 200 * time.Millisecond
		chunk        = 64 << 10
	)
	c := qt.New(t)
	var sent atomic.Int64
	f := newFleet(c, 8, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		for sent.Load() < 4*maxInTransit {
			n, err := conn.Write(make([]byte, chunk))
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	conn, err := f.client.Dial(context.Background(), "tcp", f.endpoint.String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(err, qt.IsNil)
	for last := int64(-1); sent.Load() != last || last == 0; {
		last = sent.Load()
		time.Sleep(stableFor)
	}
	held := sent.Load()
	c.Check(held <= maxInTransit, qt.IsTrue, qt.Commentf("%d bytes sent to a caller that does not read", held))
	all, err := io.Copy(io.Discard, conn)
	c.Check(err, qt.IsNil)
	c.Check(all, qt.Equals, sent.Load())
}
