package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/slowpeer"
)

// TestCopyBody guards against taking a caller that does not read for a failure of the service.
func TestCopyBody(t *testing.T) {
	for _, tt := range []struct {
		name string
		body io.Reader
		want result.Code
	}{
		{"caller does not read", io.MultiReader(strings.NewReader(strings.Repeat("x", 64<<20)), iotest.ErrReader(io.ErrUnexpectedEOF)), result.CallerNotReading},
		{"service breaks off", iotest.ErrReader(io.ErrUnexpectedEOF), result.StreamCut},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			callers := slowpeer.New(slowpeer.Config{Limits: slowpeer.Limits{StallTimeout: 500 * time.Millisecond}})
			got := make(chan result.Code, 1)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				caller := callers.NewCaller(w)
				defer caller.Close()
				w.WriteHeader(http.StatusOK)
				c.Check(http.NewResponseController(w).Flush(), qt.IsNil)
				got <- copyBody(caller, tt.body).Code
				panic(http.ErrAbortHandler)
			}))
			defer s.Close()
			req, err := http.NewRequestWithContext(c.Context(), http.MethodGet, s.URL, nil)
			c.Assert(err, qt.IsNil)
			resp, err := http.DefaultClient.Do(req)
			c.Assert(err, qt.IsNil)
			c.Check(<-got, qt.Equals, tt.want)
			_, err = io.Copy(io.Discard, resp.Body)
			c.Check(err, qt.IsNotNil)
			c.Check(resp.Body.Close(), qt.IsNil)
		})
	}
}
