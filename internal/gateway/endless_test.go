package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/endless"
	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/heapmeter"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/slowpeer"
)

// TestAnswersWithoutEndOfManyEngineCalls guards against engines that send answers without end to many calls at once and take all memory of
// the box, which reads an answer as a whole before it passes it on.
func TestAnswersWithoutEndOfManyEngineCalls(t *testing.T) {
	const (
		calls       = 500
		answerBytes = 1000 << 10
		// maxGrowth is the default limit on held bytes and 64 KiB a call.
		maxGrowth = 16<<20 + calls*64<<10
	)
	for _, tt := range []struct{ name, contentType, text string }{
		{"answer", "application/json", strings.Repeat("bytes", 1000)},
		{"event of data lines", "text/event-stream", "data: " + strings.Repeat("x", 1000) + "\n"},
		{"event of comments", "text/event-stream", ": " + strings.Repeat("x", 1000) + "\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			callers := slowpeer.New(slowpeer.Config{Scope: tally.NoopScope})
			g := New(Config{Callers: callers, Scope: tally.NoopScope})
			release := make(chan struct{})
			var still sync.WaitGroup
			still.Add(calls)
			heapGrowth := heapmeter.Start()
			var group errgroup.Group
			for range calls {
				group.Go(func() error {
					caller := callers.NewCaller(httptest.NewRecorder())
					defer caller.Close()
					body := endless.New(tt.text, answerBytes, still.Done, release)
					defer func() { _ = body.Close() }()
					resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {tt.contentType}}, Body: body}
					rerr := g.copyAnswer(caller, engine.NewAnswer(resp, resource.Ref{}, "run"))
					c.Check(rerr != nil && rerr.Code == result.StreamCut, qt.IsTrue, qt.Commentf("%v", rerr))
					return nil
				})
			}
			still.Wait()
			growth := heapGrowth()
			close(release)
			_ = group.Wait()
			c.Check(growth < maxGrowth, qt.IsTrue, qt.Commentf("the heap grew by %d bytes", growth))
		})
	}
}
