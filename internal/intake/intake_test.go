package intake_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/body"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/intake"
)

// waitTime bounds each step of a test.
const waitTime = 5 * time.Second

// world is a server whose connections share one Pool.
type world struct {
	c       *qt.C
	pool    *intake.Pool
	address string
}

func newWorld(c *qt.C, maxBytes int64, maxConns int, handler http.HandlerFunc) *world {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	w := &world{c: c, pool: intake.NewPool(intake.PoolConfig{MaxBytes: maxBytes}), address: l.Addr().String()}
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		return httpx.Serve(ctx, httpx.NewServer(handler), intake.NewListener(l, intake.ListenerConfig{Name: "test", Pool: w.pool, MaxConns: maxConns}))
	})
	c.Cleanup(func() {
		stop()
		_ = group.Wait()
	})
	return w
}

// dial opens a connection and writes text to it.
func (w *world) dial(text string) net.Conn {
	conn, err := net.Dial("tcp", w.address)
	w.c.Assert(err, qt.IsNil)
	w.c.Cleanup(func() { _ = conn.Close() })
	w.c.Assert(conn.SetDeadline(time.Now().Add(waitTime)), qt.IsNil)
	_, _ = io.WriteString(conn, text)
	return conn
}

// ok answers a request after it has read the body.
func ok(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// status reads an answer and returns its status, zero if the connection was closed without one.
func (w *world) status(conn net.Conn) int {
	b, err := io.ReadAll(io.LimitReader(conn, int64(len("HTTP/1.1 200"))))
	w.c.Check(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse, qt.Commentf("neither answered nor closed"))
	status := 0
	_, _ = fmt.Sscanf(string(b), "HTTP/1.1 %d", &status)
	return status
}

// TestCrowdOfConnectionsIsAnsweredOrClosed guards against connections that are neither served nor closed when there are more than a listener may
// have.
func TestCrowdOfConnectionsIsAnsweredOrClosed(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 1<<20, 96, ok)
	var group errgroup.Group
	var hanging atomic.Int64
	for range 300 {
		group.Go(func() error {
			for range 4 {
				conn, err := net.Dial("tcp", w.address)
				if err != nil {
					return err
				}
				_ = conn.SetDeadline(time.Now().Add(waitTime))
				_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:1\r\n", 2000))
				_, _ = io.WriteString(conn, "Content-Length: 0\r\n\r\n")
				if _, err := conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
					hanging.Add(1)
				}
				_ = conn.Close()
			}
			return nil
		})
	}
	c.Assert(group.Wait(), qt.IsNil)
	c.Check(hanging.Load(), qt.Equals, int64(0))
	c.Check(w.pool.Status().HeldBytes, qt.Equals, int64(0))
}

// bodyLimits are the limits with which the handlers of these tests read bodies.
var bodyLimits = body.Limits{Bytes: 4 << 20, Time: waitTime}

// holding answers requests after their bodies have been read and released is closed. started counts the requests whose bodies have been read.
func holding(started *atomic.Int64, released <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, rerr := body.Read(w, r, bodyLimits); rerr != nil {
			rerr.Write(w, "")
			return
		}
		started.Add(1)
		<-released
	}
}

// post returns the text of a request with a body of size bytes of which the last missing ones are left out.
func post(size, missing int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-missing))
}

// waitUntil waits until ok returns true.
func (w *world) waitUntil(ok func() bool) {
	for deadline := time.Now().Add(waitTime); !ok(); time.Sleep(time.Millisecond) {
		w.c.Assert(time.Now().Before(deadline), qt.IsTrue)
	}
}

// TestStalledRequestsGiveWay guards against clients that stop short of the end of their requests and so leave no room for others.
func TestStalledRequestsGiveWay(t *testing.T) {
	const size = 200 << 10
	for _, tt := range []struct{ name, text string }{
		{"bodies", post(size, 1)},
		{"heads", "POST / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:1\r\n", 1000)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(c, 1<<20, 0, ok)
			for range 4 {
				w.dial(tt.text)
			}
			w.waitUntil(func() bool { return w.pool.Status().HeldBytes > 3*size })
			time.Sleep(300 * time.Millisecond)
			c.Check(w.status(w.dial(post(size, 0))), qt.Equals, http.StatusOK)
			st := w.pool.Status()
			c.Check(st.Evicted > 0 && st.Evicted < 4, qt.IsTrue, qt.Commentf("%+v", st))
		})
	}
}

// TestSmallRequestsFindRoom guards against large requests that leave nothing to small ones, and against large ones that end although they have
// arrived. What is refused says that it did not run.
func TestSmallRequestsFindRoom(t *testing.T) {
	const size = 200 << 10
	c := qt.New(t)
	var started atomic.Int64
	released := make(chan struct{})
	w := newWorld(c, 1<<20, 0, holding(&started, released))
	var large []net.Conn
	for range 3 {
		large = append(large, w.dial(post(size, 0)))
	}
	w.waitUntil(func() bool { return started.Load() == 3 })
	for range 3 {
		c.Check(w.status(w.dial(post(size, 0))), qt.Equals, http.StatusServiceUnavailable)
	}
	c.Check(started.Load(), qt.Equals, int64(3))
	var small []net.Conn
	for range 20 {
		small = append(small, w.dial(post(1<<10, 0)))
	}
	w.waitUntil(func() bool { return started.Load() == 23 })
	close(released)
	for _, conn := range append(large, small...) {
		c.Check(w.status(conn), qt.Equals, http.StatusOK)
	}
	w.waitUntil(func() bool { return w.pool.Status().HeldBytes == 0 })
}

// TestLargeRequestAloneFits guards against a limit that a request meets which is alone.
func TestLargeRequestAloneFits(t *testing.T) {
	for _, tt := range []struct{ name, text string }{
		{"body", post(4<<20, 0)},
		{"head", "POST / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:1\r\n", 6000) + "Content-Length: 0\r\n\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(c, 100<<10, 0, func(rw http.ResponseWriter, r *http.Request) {
				if _, rerr := body.Read(rw, r, bodyLimits); rerr != nil {
					rerr.Write(rw, "")
				}
			})
			c.Check(w.status(w.dial(tt.text)), qt.Equals, http.StatusOK)
		})
	}
}

// TestIdleConnectionsGiveWay guards against connections without requests that keep others out, and against requests in work that end for new
// connections.
func TestIdleConnectionsGiveWay(t *testing.T) {
	c := qt.New(t)
	var started atomic.Int64
	released := make(chan struct{})
	w := newWorld(c, 0, 4, holding(&started, released))
	busy := w.dial(post(10, 0))
	w.waitUntil(func() bool { return started.Load() == 1 })
	var idle []net.Conn
	for range 20 {
		idle = append(idle, w.dial(""))
	}
	other := w.dial(post(10, 0))
	w.waitUntil(func() bool { return started.Load() == 2 })
	for _, conn := range idle[:10] {
		c.Check(w.status(conn), qt.Equals, 0)
	}
	close(released)
	c.Check(w.status(busy), qt.Equals, http.StatusOK)
	c.Check(w.status(other), qt.Equals, http.StatusOK)
}

// TestConnectionsAreRefusedWhileAllAreBusy guards against more connections than a listener may have.
func TestConnectionsAreRefusedWhileAllAreBusy(t *testing.T) {
	c := qt.New(t)
	var started atomic.Int64
	released := make(chan struct{})
	w := newWorld(c, 0, 4, holding(&started, released))
	var busy []net.Conn
	for range 4 {
		busy = append(busy, w.dial(post(10, 0)))
	}
	w.waitUntil(func() bool { return started.Load() == 4 })
	c.Check(w.status(w.dial(post(10, 0))), qt.Equals, 0)
	c.Check(w.pool.Status().Connections, qt.Equals, 4)
	close(released)
	for _, conn := range busy {
		c.Check(w.status(conn), qt.Equals, http.StatusOK)
	}
}
