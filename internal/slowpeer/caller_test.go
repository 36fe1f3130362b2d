package slowpeer_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
