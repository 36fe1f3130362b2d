package slowpeer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/slowpeer"
)

// TestAnswerThatEndsLate guards against cutting the end of an answer that the handler completes more than the stall timeout after
// its last write.
func TestAnswerThatEndsLate(t *testing.T) {
	const stallTimeout = 100 * time.Millisecond
	for _, tt := range []struct{ name, body string }{
		{"event", "data: x\n\n"},
		{"empty", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			tracker := slowpeer.New(slowpeer.Config{Limits: slowpeer.Limits{StallTimeout: stallTimeout}})
			server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				caller := tracker.NewCaller(rw)
				defer caller.Close()
				if tt.body != "" {
					_, err := caller.Write([]byte(tt.body))
					c.Check(err, qt.IsNil)
					c.Check(caller.FlushError(), qt.IsNil)
				}
				time.Sleep(2 * stallTimeout)
				if tt.body == "" {
					caller.WriteHeader(http.StatusOK)
				}
			}))
			defer server.Close()
			req, err := http.NewRequestWithContext(c.Context(), http.MethodGet, server.URL, nil)
			c.Assert(err, qt.IsNil)
			resp, err := server.Client().Do(req)
			c.Assert(err, qt.IsNil)
			defer func() { c.Check(resp.Body.Close(), qt.IsNil) }()
			body, err := io.ReadAll(resp.Body)
			c.Check(err, qt.IsNil)
			c.Check(string(body), qt.Equals, tt.body)
		})
	}
}

// TestEndpointThatReadsSlowly guards against ending a request because the transport has not read its next piece for the stall
// timeout, although the endpoint may take bytes of the last one, and against a limit on held bytes that no longer ends it.
func TestEndpointThatReadsSlowly(t *testing.T) {
	const stallTimeout, wait = 100 * time.Millisecond, time.Second
	for _, tt := range []struct {
		name      string
		holdBytes int64
		want      error
	}{
		{"below the limit on held bytes", 1 << 20, nil},
		{"above the limit on held bytes", 1 << 10, slowpeer.ErrEndpointNotReading},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			tracker := slowpeer.New(slowpeer.Config{Limits: slowpeer.Limits{StallTimeout: stallTimeout, HoldBytes: tt.holdBytes}})
			ctx, cancel := context.WithCancel(c.Context())
			var group errgroup.Group
			group.Go(func() error { return tracker.Serve(ctx) })
			caller := tracker.NewCaller(httptest.NewRecorder())
			body := strings.Repeat("x", 16<<10)
			incoming := caller.WithBody(httptest.NewRequestWithContext(ctx, http.MethodPost, "/", strings.NewReader(body)))
			_, err := io.Copy(io.Discard, incoming.Body)
			c.Assert(err, qt.IsNil)
			sendCtx, content, endSend := caller.Send(ctx, strings.NewReader(body))
			_, err = content.Read(make([]byte, 1<<10))
			c.Assert(err, qt.IsNil)
			select {
			case <-sendCtx.Done():
			case <-time.After(wait):
			}
			c.Check(slowpeer.SendError(sendCtx, nil), qt.Equals, tt.want)
			endSend()
			caller.Close()
			cancel()
			c.Check(group.Wait(), qt.ErrorIs, context.Canceled)
		})
	}
}
