package relay

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/endless"
	"github.com/bellgap/bellgap/internal/heapmeter"
	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/slowpeer"
)

// TestEventsWithoutEndOfManyStreams guards against endpoints that send events without end on many streams at once and take all memory of the
// box, and against sound streams that suffer from it.
func TestEventsWithoutEndOfManyStreams(t *testing.T) {
	const (
		streams    = 500
		eventBytes = 1000 << 10
		// maxGrowth is the default limit on held bytes and 64 KiB a stream.
		maxGrowth = 16<<20 + streams*64<<10
	)
	for _, tt := range []struct{ name, text string }{
		{"one line", strings.Repeat("bytes", 1000)},
		{"data lines", "data: " + strings.Repeat("x", 1000) + "\n"},
		{"comments", ": " + strings.Repeat("x", 1000) + "\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			callers := slowpeer.New(slowpeer.Config{Scope: tally.NoopScope})
			copyStream := func(body io.ReadCloser) *result.Error {
				caller := callers.NewCaller(httptest.NewRecorder())
				defer caller.Close()
				defer func() { _ = body.Close() }()
				resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body, TransferEncoding: []string{"chunked"}}
				_, rerr := (&output{w: caller}).copyEvents(noWire{}, resp, "")
				return rerr
			}
			release := make(chan struct{})
			var still sync.WaitGroup
			still.Add(streams)
			heapGrowth := heapmeter.Start()
			var group errgroup.Group
			for range streams {
				group.Go(func() error {
					rerr := copyStream(endless.New(tt.text, eventBytes, still.Done, release))
					c.Check(rerr != nil && rerr.Code == result.StreamCut, qt.IsTrue, qt.Commentf("%v", rerr))
					return nil
				})
			}
			still.Wait()
			sound := fmt.Sprintf("id: 1\ndata: %s\n\n", strings.Repeat("x", 16<<10))
			rerr := copyStream(io.NopCloser(strings.NewReader(strings.Repeat(sound, 100))))
			c.Check(rerr == nil, qt.IsTrue, qt.Commentf("%v", rerr))
			growth := heapGrowth()
			close(release)
			_ = group.Wait()
			c.Check(growth < maxGrowth, qt.IsTrue, qt.Commentf("the heap grew by %d bytes", growth))
			c.Check(callers.Status(time.Now()).HeldBytes, qt.Equals, int64(0))
		})
	}
}
