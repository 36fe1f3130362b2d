package detour_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/httpx"
)

// TestDetoursEndSoonAfterCut guards against idle connections through another box being used for as long as there are requests after the endpoint can be
// reached directly again, so that requests fail with the other box.
func TestDetoursEndSoonAfterCut(t *testing.T) {
	const (
		pause = 10 * time.Millisecond
		// settleTime is the time after the end of a cut from which everything is as before.
		settleTime = time.Second
		// avoidTime is how long a box does not connect to an endpoint directly after a failure.
		avoidTime = time.Second
	)
	c := qt.New(t)
	f := newFleet(c, 8, answerRequests)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return f.client.Serve(ctx) })
	request := func() {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.endpoint.String(), nil)
		c.Assert(err, qt.IsNil)
		resp, err := f.transport.RoundTrip(req)
		c.Assert(err, qt.IsNil)
		httpx.Drain(resp.Body)
	}
	request()
	c.Assert(f.client.Open(), qt.Equals, 1)
	f.cut.Store(false)
	for end := time.Now().Add(avoidTime + settleTime); time.Now().Before(end); time.Sleep(pause) {
		request()
	}
	c.Check(f.client.Open(), qt.Equals, 0)
	cancel()
	_ = group.Wait()
}

// answerRequests answers all requests of a connection but the first, which its caller has read.
func answerRequests(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	reader := bufio.NewReader(conn)
	for {
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
	}
}
