package body_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/body"
	"github.com/bellgap/bellgap/internal/result"
)

func TestRead(t *testing.T) {
	for _, tt := range []struct {
		name string
		body func() io.Reader
		want result.Code
	}{
		{"whole", func() io.Reader { return strings.NewReader("12345678") }, result.OK},
		{"content length too large", func() io.Reader { return strings.NewReader("123456789") }, result.BodyTooLarge},
		{"body too large without content length", func() io.Reader { return io.MultiReader(strings.NewReader("12345"), strings.NewReader("6789")) }, result.BodyTooLarge},
		{"body does not arrive", func() io.Reader { r, _ := io.Pipe(); return r }, result.SlowBody},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			got := make(chan result.Code, 1)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				b, rerr := body.Read(w, r, body.Limits{Bytes: 8, Time: 50 * time.Millisecond})
				if rerr != nil {
					got <- rerr.Code
					rerr.Write(w, "")
					return
				}
				c.Check(string(b), qt.Equals, "12345678")
				got <- result.OK
			}))
			defer s.Close()
			req, err := http.NewRequestWithContext(c.Context(), http.MethodPost, s.URL, tt.body())
			c.Assert(err, qt.IsNil)
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				c.Check(resp.Body.Close(), qt.IsNil)
			}
			c.Check(<-got, qt.Equals, tt.want)
		})
	}
}
