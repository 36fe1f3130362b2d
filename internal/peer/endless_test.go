package peer_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/endless"
	"github.com/bellgap/bellgap/internal/heapmeter"
	"github.com/bellgap/bellgap/internal/peer"
)

// heldAnswers answers each call with a body that stands still before its end.
type heldAnswers struct {
	status  int
	still   func()
	release chan struct{}
}

// RoundTrip implements http.RoundTripper.
func (h *heldAnswers) RoundTrip(r *http.Request) (*http.Response, error) {
	body := endless.New(strings.Repeat("bytes", 1000), 1000<<10, h.still, h.release)
	return &http.Response{StatusCode: h.status, Header: http.Header{}, Body: body, Request: r}, nil
}

// TestErrorsWithoutEndToManyCalls guards against boxes that answer many calls at once with errors without end and take all memory of this one.
func TestErrorsWithoutEndToManyCalls(t *testing.T) {
	const (
		calls = 500
		// maxGrowth is 96 KiB a call.
		maxGrowth = calls * 96 << 10
	)
	c := qt.New(t)
	var still sync.WaitGroup
	still.Add(calls)
	answers := &heldAnswers{status: http.StatusInternalServerError, still: still.Done, release: make(chan struct{})}
	client := peer.NewClient(peer.ClientConfig{HTTP: &http.Client{Transport: answers}})
	heapGrowth := heapmeter.Start()
	var group errgroup.Group
	for range calls {
		group.Go(func() error {
			_, err := client.LostObjects(c.Context(), "127.0.0.1:1")
			c.Check(err, qt.IsNotNil)
			return nil
		})
	}
	still.Wait()
	growth := heapGrowth()
	close(answers.release)
	_ = group.Wait()
	c.Check(growth < maxGrowth, qt.IsTrue, qt.Commentf("the heap grew by %d bytes", growth))
}
