package box_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

const (
	// longUpload is the size in bytes of a body that no socket buffers as a whole.
	longUpload = 3 << 20
	// maxResetDelay is the longest time from an early answer to the reset of its connection.
	maxResetDelay = 4 * time.Millisecond
)

// TestEarlyServiceAnswerThatIsResetIsNotWhole guards against callers of bellgap's own interface that take a part of an answer for the whole one: a
// service answers a long upload at once, without a length, and resets the connection while the upload is still being written.
func TestEarlyServiceAnswerThatIsResetIsNotWhole(t *testing.T) {
	const (
		calls     = 150
		firstPart = "first part"
	)
	for _, repeatable := range []string{"yes", "no"} {
		t.Run("repeatable "+repeatable, func(t *testing.T) {
			c := qt.New(t)
			f := startFleet(c, fleetConfig{boxes: 1, bodyBytes: 2 * longUpload})
			service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBellgap-Call-Id: %s\r\n\r\n%s", r.Header.Get(result.HeaderCall), firstPart)
				time.Sleep(time.Duration(rand.Int64N(int64(maxResetDelay))))
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				_ = conn.Close()
			}))
			c.Cleanup(service.Close)
			f.declare("early", &resource.Service{Addresses: []netip.AddrPort{netip.MustParseAddrPort(service.Listener.Addr().String())}, Timeout: resource.Duration(time.Minute)})
			url := "http://" + f.boxes[0].CallerAddress().String() + "/services/early/x"
			f.waitUntil(func() bool {
				a, err := f.trySend(http.MethodPost, url, strings.NewReader("probe"))
				return err != nil || a.status != http.StatusNotFound
			})
			body := strings.Repeat("x", longUpload)
			var whole atomic.Int64
			var group errgroup.Group
			group.SetLimit(4)
			for range calls {
				group.Go(func() error {
					req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
					if err != nil {
						return err
					}
					req.Header.Set("Bellgap-Repeatable", repeatable)
					// doRequest appends the error of a body that breaks off.
					a, err := doRequest(req)
					if err == nil && a.status == http.StatusOK && a.body == firstPart {
						whole.Add(1)
					}
					return nil
				})
			}
			c.Assert(group.Wait(), qt.IsNil)
			c.Check(whole.Load(), qt.Equals, int64(0), qt.Commentf("parts of answers that counted as whole, of %d", calls))
		})
	}
}
