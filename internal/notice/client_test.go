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

// testBox is a box that others can be cut off from.
type testBox struct {
	board   *Board
	client  *Client
	address netip.AddrPort
	// transport is that of its calls.
	transport http.RoundTripper
	cut       atomic.Bool
}

// errCut ends calls of a box that is cut off.
var errCut = errors.New("cut off")

// RoundTrip implements http.RoundTripper: a box that is cut off hears no answer either, also not to what it asked before.
func (b *testBox) RoundTrip(req *http.Request) (*http.Response, error) {
	if b.cut.Load() {
		return nil, errCut
	}
	resp, err := b.transport.RoundTrip(req)
	if err == nil && b.cut.Load() {
		_ = resp.Body.Close()
		return nil, errCut
	}
	return resp, err
}

// startBoxes starts boxes that know each other.
func startBoxes(t *testing.T, n int) []*testBox {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	boxes := make([]*testBox, n)
	for i := range boxes {
		b := &testBox{transport: httpx.NewOnceTransport()}
		b.board = NewBoard(BoardConfig{Scope: tally.NoopScope, Leaves: func(e Endpoint, heard bool) {
			if heard {
				b.client.Leaves(e)
			}
		}})
		mux := http.NewServeMux()
		NewServer(ServerConfig{Board: b.board}).Register(mux)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if b.cut.Load() {
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
			Others: func() []netip.AddrPort {
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

func (b *testBox) knows(e Endpoint) bool { return b.board.Leaves(clock.Now(), e) }

// within waits until all boxes know, and returns how long that took.
func within(c *qt.C, limit time.Duration, e Endpoint, boxes ...*testBox) time.Duration {
	began := time.Now()
	for _, b := range boxes {
		for !b.knows(e) {
			if time.Since(began) > limit {
				c.Fatalf("a box does not know after %v", limit)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(began)
}

// TestAllBoxesKnowSoon: one box hears it; others are cut off at that moment, and know it once they are back.
func TestAllBoxesKnowSoon(t *testing.T) {
	c := qt.New(t)
	boxes := startBoxes(t, 30)
	e := Endpoint{Name: "e", Started: 7}
	cut := boxes[20:]
	for _, b := range cut {
		b.cut.Store(true)
	}
	boxes[0].board.Heard(clock.Now(), e, Word{Leaving: true})
	c.Logf("all others know after %v", within(c, time.Second, e, boxes[:20]...))
	for _, b := range cut {
		c.Check(b.knows(e), qt.IsFalse)
		b.cut.Store(false)
	}
	c.Logf("those that were cut off know %v after that", within(c, 3*time.Second, e, cut...))
}

// TestNewsFromTwoSides: two halves hear of different endpoints while they are cut from each other.
func TestNewsFromTwoSides(t *testing.T) {
	c := qt.New(t)
	boxes := startBoxes(t, 10)
	for i, b := range boxes {
		b.board.Told(clock.Now(), []Left{{Endpoint: fmt.Sprint("e", i%2)}})
	}
	within(c, 3*time.Second, Endpoint{Name: "e0"}, boxes...)
	within(c, 3*time.Second, Endpoint{Name: "e1"}, boxes...)
}
