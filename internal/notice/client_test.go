package notice

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/httpx"
)

// testBox is a box that can be disconnected from the others.
type testBox struct {
	board   *Board
	client  *Client
	address netip.AddrPort
	// transport sends the calls of this box.
	transport    http.RoundTripper
	disconnected atomic.Bool
}

// errDisconnected is returned for calls of a disconnected box.
var errDisconnected = errors.New("box is disconnected")

// RoundTrip implements http.RoundTripper. A disconnected box can neither send requests nor receive answers, not even to requests
// that it sent before.
func (b *testBox) RoundTrip(req *http.Request) (*http.Response, error) {
	if b.disconnected.Load() {
		return nil, errDisconnected
	}
	resp, err := b.transport.RoundTrip(req)
	if err == nil && b.disconnected.Load() {
		_ = resp.Body.Close()
		return nil, errDisconnected
	}
	return resp, err
}

// startBoxes starts n boxes that have each other's addresses.
func startBoxes(t *testing.T, n int) []*testBox {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	boxes := make([]*testBox, n)
	for i := range boxes {
		b := &testBox{transport: httpx.NewSingleUseTransport()}
		b.board = NewBoard(BoardConfig{Scope: tally.NoopScope, OnLeaving: func(e Endpoint, direct bool) {
			if direct {
				b.client.ReportLeaving(e)
			}
		}})
		mux := http.NewServeMux()
		NewServer(ServerConfig{Board: b.board}).Register(mux)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if b.disconnected.Load() {
				panic(http.ErrAbortHandler)
			}
			mux.ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		b.address = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		boxes[i] = b
	}
	for i, b := range boxes {
		b.client = NewClient(ClientConfig{
			HTTP: &http.Client{Transport: b}, Board: b.board, Scope: tally.NoopScope,
			OtherBoxes: func() []netip.AddrPort {
				var others []netip.AddrPort
				for j, other := range boxes {
					if i != j {
						others = append(others, other.address)
					}
				}
				return others
			},
		})
		group.Go(func() error { return b.client.Serve(ctx) })
	}
	return boxes
}

func (b *testBox) hasLeaving(e Endpoint) bool { return b.board.IsLeaving(clock.Now(), e) }

// awaitLeaving waits until all boxes know that an endpoint is leaving and returns how long that took. It fails the test after
// limit.
func awaitLeaving(c *qt.C, limit time.Duration, e Endpoint, boxes ...*testBox) time.Duration {
	began := time.Now()
	for _, b := range boxes {
		for !b.hasLeaving(e) {
			if time.Since(began) > limit {
				c.Fatalf("a box does not know after %v that the endpoint is leaving", limit)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began)
}

// TestLeavingReachesAllBoxes lets one box receive the announcement while some others are disconnected. These must get it once
// they are connected again.
func TestLeavingReachesAllBoxes(t *testing.T) {
	c := qt.New(t)
	boxes := startBoxes(t, 30)
	e := Endpoint{Name: "e", Started: 7}
	disconnected := boxes[20:]
	for _, b := range disconnected {
		b.disconnected.Store(true)
	}
	boxes[0].board.RecordNotices(clock.Now(), e, HeaderNotices{Leaving: true})
	c.Logf("all connected boxes know after %v", awaitLeaving(c, time.Second, e, boxes[:20]...))
	for _, b := range disconnected {
		c.Check(b.hasLeaving(e), qt.IsFalse)
		b.disconnected.Store(false)
	}
	c.Logf("the reconnected boxes know %v later", awaitLeaving(c, 3*time.Second, e, disconnected...))
}

// TestCompareMergesBothHalves gives each half of the boxes a different leaving endpoint, as after a network partition. Comparing
// must bring both to all.
func TestCompareMergesBothHalves(t *testing.T) {
	c := qt.New(t)
	boxes := startBoxes(t, 10)
	for i, b := range boxes {
		b.board.MergeLeaving(clock.Now(), []LeavingEndpoint{{Endpoint: fmt.Sprint("e", i%2)}})
	}
	awaitLeaving(c, 3*time.Second, Endpoint{Name: "e0"}, boxes...)
	awaitLeaving(c, 3*time.Second, Endpoint{Name: "e1"}, boxes...)
}
