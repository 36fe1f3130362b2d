package relay

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/grant"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/places"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/slowpeer"
)

const (
	// slowBuffer is the size of the socket buffers in these tests. With the system's own, an answer of some MB counts as read.
	slowBuffer = 64 << 10
	// slowAnswer is the size of the answers that are not read.
	slowAnswer = 4 << 20
)

// patientWire is plainWire with a deadline that the tests do not reach.
type patientWire struct{ plainWire }

func (patientWire) ReadHead(h http.Header) (Head, error) {
	return Head{ID: h.Get("Id"), Deadline: time.Minute, Model: "base", Adapter: "a"}, nil
}

// slowWorld is a relay behind a real listener.
type slowWorld struct {
	c       *qt.C
	relay   *Relay
	scope   tally.TestScope
	address netip.AddrPort
	arrived atomic.Int64
}

// smallBuffers bounds the socket buffers of a connection.
func smallBuffers(c *qt.C, conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	c.Assert(ok, qt.IsTrue)
	c.Check(tcp.SetWriteBuffer(slowBuffer), qt.IsNil)
	c.Check(tcp.SetReadBuffer(slowBuffer), qt.IsNil)
}

func dialSmall(ctx context.Context, c *qt.C, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil {
		smallBuffers(c, conn)
	}
	return conn, err
}

// startSmall starts a server whose connections have small buffers.
func startSmall(c *qt.C, h http.Handler) netip.AddrPort {
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		smallBuffers(c, conn)
		return ctx
	}
	s.Start()
	c.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// serveSlow puts a relay with the given limits behind a listener.
func serveSlow(c *qt.C, r *Relay, limits slowpeer.Limits) *slowWorld {
	w := &slowWorld{c: c, relay: r, scope: tally.NewTestScope("", nil)}
	r.cfg.Wire, r.cfg.Scope, r.cfg.Callers = patientWire{}, w.scope, slowpeer.New(slowpeer.Config{Limits: limits, Scope: w.scope})
	transport := httpx.NewTransport(4)
	transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) { return dialSmall(ctx, c, address) }
	r.cfg.Endpoints = &http.Client{Transport: slowpeer.BoundWrites(transport, limits.StallTimeout)}
	ctx, cancel := context.WithCancel(c.Context())
	var group errgroup.Group
	group.Go(func() error { return r.cfg.Callers.Serve(ctx) })
	c.Cleanup(func() {
		cancel()
		c.Check(group.Wait(), qt.ErrorIs, context.Canceled)
	})
	w.address = startSmall(c, r)
	return w
}

// startSlowPlain starts a relay with one plain endpoint.
func startSlowPlain(c *qt.C, endpoint netip.AddrPort, limits slowpeer.Limits) *slowWorld {
	engines := startTwoEngines(c, func(*twoEngines, http.ResponseWriter, *grant.Request) {}, func(string) {})
	putObject(c, engines.catalog, 11, string(resource.KindEndpoint), "plain", &resource.Endpoint{Service: "p", Address: endpoint, Zone: "z", Slots: 1000})
	route := resource.Route{
		Name: "r", Host: "h", Prefix: "/", Kind: resource.RouteRepeatable, Attempts: 3, Timeout: resource.Duration(time.Minute),
		Objective: resource.Duration(30 * time.Second), Targets: []resource.Target{{Service: "p", Weight: 1}},
	}
	putObject(c, engines.catalog, 12, string(resource.KindRouting), catalog.RoutingName, &resource.Routing{Version: 2, Services: []resource.RouteService{{Name: "p"}}, Routes: []resource.Route{route}})
	engines.relay.cfg.Places = places.NewClient(places.ClientConfig{
		Locator: soleBoxCell{}, Keeper: places.NewKeeper(1), Scope: tally.NoopScope,
		Rates: ratelimit.NewRegistry(ratelimit.RegistryConfig{Boxes: func() int { return 1 }, Scope: tally.NoopScope}),
	})
	return serveSlow(c, engines.relay, limits)
}

// open sends a request and returns the connection, of which nothing has been read.
func (w *slowWorld) open(path string, body []byte) net.Conn {
	return w.openWithLength(path, body, len(body))
}

// openWithLength does the same with a body of which only the first bytes are sent.
func (w *slowWorld) openWithLength(path string, body []byte, length int) net.Conn {
	conn, err := dialSmall(w.c.Context(), w.c, w.address.String())
	w.c.Assert(err, qt.IsNil)
	w.c.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write(fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: h\r\nId: id\r\nContent-Length: %d\r\n\r\n%s", path, length, body))
	w.c.Assert(err, qt.IsNil)
	return conn
}

// read reads an answer. The error is that of an incomplete answer.
func read(conn net.Conn) (*http.Response, int64, error) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, 0, err
	}
	n, err := io.Copy(io.Discard, resp.Body)
	return resp, n, err
}

// count returns the value of a counter, or the number of requests with a result.
func (w *slowWorld) count(name string) int64 {
	for _, counter := range w.scope.Snapshot().Counters() {
		if counter.Name() == name || counter.Name() == "routed_requests" && counter.Tags()["result"] == name {
			return counter.Value()
		}
	}
	return 0
}

// awaitResult waits until all requests have ended, and checks that want of them had a result.
func (w *slowWorld) awaitResult(code result.Code, want int64) {
	for end := time.Now().Add(10 * time.Second); w.relay.InFlight() > 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
	}
	w.c.Check(w.relay.InFlight(), qt.Equals, 0)
	w.c.Check(w.count(code.String()), qt.Equals, want, qt.Commentf("%s", code))
	w.c.Check(w.relay.cfg.Callers.Status(time.Now()), qt.DeepEquals, slowpeer.Status{})
}

// serveBig sends an answer in pieces, and aborts it if a piece is not read within cutAfter, or in the middle if cutAfter is zero.
func (w *slowWorld) serveBig(rw http.ResponseWriter, cutAfter time.Duration) {
	w.arrived.Add(1)
	rw.Header().Set("Content-Length", fmt.Sprint(slowAnswer))
	piece := make([]byte, 64<<10)
	for i := range slowAnswer / len(piece) {
		if cutAfter == 0 && i == slowAnswer/len(piece)/2 {
			panic(http.ErrAbortHandler)
		}
		_ = http.NewResponseController(rw).SetWriteDeadline(time.Now().Add(cmp.Or(cutAfter, time.Minute)))
		if _, err := rw.Write(piece); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// TestCallerThatPauses guards against an answer that is cut although its caller reads again in time, against one that seems whole
// although it was cut, and against counting a cut of an unread answer as a failure of its endpoint.
func TestCallerThatPauses(t *testing.T) {
	for _, tt := range []struct {
		name                   string
		stall, cutAfter, pause time.Duration
		want                   result.Code
		leaving                bool
		wantEnded              int64
	}{
		{"reads again after 2 s", 5 * time.Second, time.Minute, 2 * time.Second, result.OK, false, 0},
		{"reads again after 2 s, leaving box", 5 * time.Second, time.Minute, 2 * time.Second, result.OK, true, 0},
		{"reads again too late", time.Second, time.Minute, 2 * time.Second, result.CallerNotReading, false, 1},
		{"reads again too late, leaving box", time.Second, time.Minute, 2 * time.Second, result.CallerNotReading, true, 1},
		{"reads again after the endpoint has cut the answer", 5 * time.Second, 1500 * time.Millisecond, 2500 * time.Millisecond, result.CallerNotReading, false, 0},
		{"endpoint cuts an answer that is read", 5 * time.Second, 0, 0, result.StreamCut, false, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var w *slowWorld
			endpoint := startSmall(c, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { w.serveBig(rw, tt.cutAfter) }))
			w = startSlowPlain(c, endpoint, slowpeer.Limits{StallTimeout: tt.stall})
			if tt.leaving {
				w.relay.cfg.AnswersEnd, w.relay.cfg.Closing = 2*time.Minute, func() bool { return false }
				w.relay.cfg.Leaving = func() time.Duration { return time.Second }
			}
			conn := w.open("/", nil)
			time.Sleep(tt.pause)
			_, n, err := read(conn)
			w.awaitResult(tt.want, 1)
			c.Check(w.count("slow_callers_ended"), qt.Equals, tt.wantEnded)
			if tt.want == result.OK {
				c.Check(err, qt.IsNil)
				c.Check(n, qt.Equals, int64(slowAnswer))
				return
			}
			c.Check(err, qt.IsNotNil)
			if tt.want == result.CallerNotReading {
				_, failures := w.relay.health.load("plain", time.Now())
				c.Check(failures, qt.Equals, 0.0)
				c.Check(w.arrived.Load(), qt.Equals, int64(1))
				c.Check(w.count("repeats"), qt.Equals, int64(0))
			}
		})
	}
}

// TestEndpointThatDoesNotRead guards against a request that hangs on an endpoint until its deadline, and against reporting that it
// did not run.
func TestEndpointThatDoesNotRead(t *testing.T) {
	for _, tt := range []struct {
		name   string
		limits slowpeer.Limits
		within time.Duration
	}{
		{"time limit", slowpeer.Limits{StallTimeout: time.Second}, 2 * time.Second},
		{"limit on held bytes", slowpeer.Limits{StallTimeout: 20 * time.Second, HoldBytes: 1 << 20}, 2 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			l, err := (&net.ListenConfig{}).Listen(c.Context(), "tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { c.Check(l.Close(), qt.IsNil) })
			// The connections stay in the queue of the listener, where nobody reads them.
			w := startSlowPlain(c, netip.MustParseAddrPort(l.Addr().String()), tt.limits)
			conn := w.open("/", bytes.Repeat([]byte("x"), 3900<<10))
			began := time.Now()
			resp, _, err := read(conn)
			c.Assert(err, qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, http.StatusBadGateway)
			c.Check(resp.Header.Get(result.HeaderCode), qt.Equals, "4010")
			c.Check(resp.Header.Get(result.HeaderRan), qt.Equals, "unknown")
			c.Check(time.Since(began) < tt.within, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
			w.awaitResult(result.EndpointNotReading, 1)
			c.Check(w.count("slow_endpoints_ended"), qt.Equals, int64(1))
		})
	}
}

// TestStreamThatIsNotRead guards against continuing the stream of a caller that does not read at another engine, and against
// reporting its grant as ended well.
func TestStreamThatIsNotRead(t *testing.T) {
	c := qt.New(t)
	var w *slowWorld
	ends := make(chan string, 4)
	engines := startTwoEngines(c, func(_ *twoEngines, rw http.ResponseWriter, _ *grant.Request) { grantRequest(rw) }, func(body string) { ends <- body })
	for name, e := range engines.engines {
		e.Address = startSmall(c, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			w.arrived.Add(1)
			rw.Header().Set("Content-Type", "text/event-stream")
			for event := []byte("data: " + strings.Repeat("x", 8<<10) + "\n\n"); r.Context().Err() == nil; {
				_, _ = rw.Write(event)
			}
		}))
		putObject(c, engines.catalog, 11, string(resource.KindEndpoint), name, e)
	}
	putObject(c, engines.catalog, 12, string(resource.KindRouting), catalog.RoutingName, &resource.Routing{
		Version: 2, Services: []resource.RouteService{{Name: "s", Engine: &resource.EngineClass{Batch: 4, KVTokens: 1000, AdapterSlots: 4, WeightsMB: 100}}},
		Routes: []resource.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: resource.RouteStream, Resumable: true, Attempts: 3, Timeout: resource.Duration(time.Minute),
			Objective: resource.Duration(time.Second), Targets: []resource.Target{{Service: "s", Weight: 1}},
		}},
	})
	ctx, cancel := context.WithCancel(c.Context())
	var group errgroup.Group
	group.Go(func() error { return engines.relay.cfg.Grants.Serve(ctx) })
	w = serveSlow(c, engines.relay, slowpeer.Limits{StallTimeout: 2500 * time.Millisecond})
	conn := w.open("/", nil)
	time.Sleep(3 * time.Second)
	w.awaitResult(result.CallerNotReading, 1)
	_, _, err := read(conn)
	c.Check(err, qt.IsNotNil)
	wholeEnd := fmt.Sprintf(`"end":%d`, owner.EndWhole)
	brokenEnd := fmt.Sprintf(`"end":%d`, owner.EndBroken)
	for end := range ends {
		c.Check(end, qt.Not(qt.Contains), wholeEnd)
		if strings.Contains(end, brokenEnd) {
			break
		}
	}
	cancel()
	c.Check(group.Wait(), qt.ErrorIs, context.Canceled)
	c.Check(w.arrived.Load(), qt.Equals, int64(1))
	c.Check(w.count("repeats"), qt.Equals, int64(0))
	for name := range engines.engines {
		_, failures := w.relay.health.load(name, time.Now())
		c.Check(failures, qt.Equals, 0.0)
	}
}

// TestManyCallersThatStopReading guards against callers that stop reading taking the memory of the box, or delaying others.
func TestManyCallersThatStopReading(t *testing.T) {
	const (
		slow, sound = 500, 4
		holdBytes   = 16 << 20
		// maxGrowth bounds the memory of this process, which here includes the callers and the endpoint: the held bytes, up to as much
		// again until the garbage collection, and 64 KiB for each of the 2,000 ends of connections.
		maxGrowth  = 2*holdBytes + 2000*(64<<10)
		maxLatency = 300 * time.Millisecond
	)
	c := qt.New(t)
	var w *slowWorld
	endpoint := startSmall(c, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/small" {
			_, _ = rw.Write([]byte("ok"))
			return
		}
		w.serveBig(rw, time.Minute)
	}))
	w = startSlowPlain(c, endpoint, slowpeer.Limits{StallTimeout: 2 * time.Second, HoldBytes: holdBytes})
	before := memoryInUse()
	ctx, cancel := context.WithCancel(c.Context())
	var group errgroup.Group
	latencies := make([][]time.Duration, sound)
	for i := range latencies {
		group.Go(func() error { return w.sendSound(ctx, &latencies[i]) })
	}
	for i := range slow {
		// Equal requests would wait for the first one of them.
		w.open(fmt.Sprint("/slow/", i), nil)
		// The callers and the endpoint share the processors with the relay; opening all connections at once would delay the sound
		// callers in any case.
		time.Sleep(2 * time.Millisecond)
	}
	peakMemory, peakHeld := uint64(0), int64(0)
	for end := time.Now().Add(30 * time.Second); w.relay.InFlight() > sound && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		peakMemory, peakHeld = max(peakMemory, memoryInUse()), max(peakHeld, w.relay.cfg.Callers.Status(time.Now()).HeldBytes)
	}
	cancel()
	c.Check(group.Wait(), qt.IsNil)
	all := slices.Concat(latencies...)
	slices.Sort(all)
	c.Assert(len(all) > 100, qt.IsTrue, qt.Commentf("%d sound requests", len(all)))
	p99 := all[len(all)*99/100]
	t.Logf("%d slow callers: memory %d KiB before, %d KiB at peak; held at peak %d KiB of %d; %d sound requests, median %v, p99 %v, longest %v",
		slow, before>>10, peakMemory>>10, peakHeld>>10, holdBytes>>10, len(all), all[len(all)/2], p99, all[len(all)-1])
	w.awaitResult(result.CallerNotReading, slow)
	c.Check(w.count("slow_callers_ended"), qt.Equals, int64(slow))
	c.Check(peakMemory < before+maxGrowth, qt.IsTrue)
	c.Check(p99 < maxLatency, qt.IsTrue)
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// sendSound sends small requests until ctx ends, and records their latencies.
func (w *slowWorld) sendSound(ctx context.Context, latencies *[]time.Duration) error {
	client := &http.Client{Transport: httpx.NewTransport(1)}
	for ; ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		req, err := http.NewRequestWithContext(w.c.Context(), http.MethodGet, "http://"+w.address.String()+"/small", nil)
		if err != nil {
			return err
		}
		req.Host = "h"
		req.Header.Set("Id", "id")
		began := time.Now()
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		httpx.Drain(resp.Body)
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		*latencies = append(*latencies, time.Since(began))
	}
	return nil
}
