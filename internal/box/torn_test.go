package box_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/fakeengine"
	"github.com/bellgap/bellgap/internal/resource"
)

// TestTornAnswersAreNotWhole guards against callers of bellgap's own interface that take an answer for whole though its engine or service
// stopped in the middle of the head or the body and closed the connection.
func TestTornAnswersAreNotWhole(t *testing.T) {
	const (
		step     = 5
		endEvent = "data: [DONE]\n\n"
	)
	event := fmt.Sprintf(`data: {"id":"RUN","model":%q}`+"\n\n", modelName)
	for _, tt := range []struct {
		name, path, request, contentType, body string
	}{
		{"service", "/services/titles/lots", "call", "text/plain", "the whole answer"},
		{"engine, stream", "/v1/completions", completionBody(modelName, 4, true), "text/event-stream", event + event + endEvent},
		{"engine, answer", "/v1/completions", completionBody(modelName, 4, false), "application/json", fmt.Sprintf(`{"id":"RUN","model":%q}`, modelName)},
	} {
		for _, framing := range []struct {
			name         string
			frame        func(body string) (headers, framed string)
			isTornInBody bool
		}{
			{"with a length", func(body string) (string, string) { return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body }, true},
			{"in chunks", func(body string) (string, string) {
				return "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
			}, true},
			{"without a length", func(body string) (string, string) { return "", body }, false},
		} {
			t.Run(tt.name+", "+framing.name, func(t *testing.T) {
				c := qt.New(t)
				f := startFleet(c, fleetConfig{boxes: 1, engines: []fakeengine.Config{smallEngine()}})
				c.Assert(f.post(f.boxes[0], "/v1/completions", completionBody(modelName, 1, false)).status, qt.Equals, http.StatusOK)
				at, sent := 0, 0
				answer := func(r *http.Request) (head, body string) {
					headers, framed := framing.frame(strings.ReplaceAll(tt.body, "RUN", r.Header.Get("X-Request-Id")))
					return fmt.Sprintf("HTTP/1.1 200 OK\r\nBellgap-Call-Id: %s\r\nContent-Type: %s\r\n%s\r\n", r.Header.Get("Bellgap-Call-Id"), tt.contentType, headers), framed
				}
				end := 0
				torn := func(r *http.Request) string {
					if !strings.HasPrefix(r.URL.Path, "/v1/") && !strings.HasPrefix(r.URL.Path, "/lots") {
						return ""
					}
					head, body := answer(r)
					sent++
					end = len(head)
					if framing.isTornInBody {
						end += len(body)
					}
					if i := strings.Index(body, endEvent); i >= 0 && framing.isTornInBody {
						// What follows the end event is only framing.
						end = len(head) + i + len(endEvent)
					}
					return (head + body)[:at]
				}
				f.torn.Store(&torn)
				for at = 1; at == 1 || at < end; at += step {
					before := sent
					resp, err := http.Post("http://"+f.boxes[0].CallerAddress().String()+tt.path, "text/plain", strings.NewReader(tt.request))
					c.Check(sent > before, qt.IsTrue, qt.Commentf("the request came to no endpoint"))
					if err != nil {
						continue
					}
					got, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					isWhole := err == nil && resp.StatusCode == http.StatusOK && !strings.Contains(string(got), "error")
					c.Check(isWhole, qt.IsFalse, qt.Commentf("torn after %d bytes, answered with %q", at, got))
				}
			})
		}
	}
}

// TestUnframedAnswerOfCrashedServiceIsNotWhole guards against callers of bellgap's own interface that take an answer for whole though its
// service crashed in the middle of it: without length or chunks it ends like a whole one.
func TestUnframedAnswerOfCrashedServiceIsNotWhole(t *testing.T) {
	for _, tt := range []struct {
		name      string
		crashes   bool
		wantWhole bool
	}{
		{"service crashes", true, false},
		{"service closes the connection", false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			f := startFleet(c, fleetConfig{boxes: 1})
			var server *httptest.Server
			server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				c.Check(err, qt.IsNil)
				if tt.crashes {
					_ = server.Listener.Close()
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBellgap-Call-Id: %s\r\nConnection: close\r\n\r\nthe first half", r.Header.Get("Bellgap-Call-Id"))
				_ = conn.Close()
			}))
			defer server.Close()
			f.declare("lists", &resource.Service{Addresses: []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}, Timeout: resource.Duration(time.Minute)})
			url := "http://" + f.boxes[0].CallerAddress().String() + "/services/lists/all"
			var got []byte
			var err error
			f.waitUntil(func() bool {
				var resp *http.Response
				if resp, err = http.Post(url, "text/plain", strings.NewReader("call")); err != nil {
					return true
				}
				defer func() { _ = resp.Body.Close() }()
				got, err = io.ReadAll(resp.Body)
				return resp.StatusCode != http.StatusNotFound
			})
			c.Check(err == nil, qt.Equals, tt.wantWhole, qt.Commentf("answered with %q", got))
		})
	}
}
