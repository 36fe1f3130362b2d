package places

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/ratelimit"
)

// transportLatency is the longest time that a message takes in one direction.
const transportLatency = 5 * time.Millisecond

// keeperBoxes are boxes without sockets that count the requests at endpoints, by their addresses. They implement http.RoundTripper.
type keeperBoxes map[string]http.Handler

func (k keeperBoxes) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(rand.N(transportLatency))
	w := httptest.NewRecorder()
	k[r.URL.Host].ServeHTTP(w, r)
	time.Sleep(rand.N(transportLatency))
	return w.Result(), nil
}

// movingKeeper locates a keeper that changes to the next box after each period. Every second asking box learns of each change only
// after delay.
type movingKeeper struct {
	boxes         []netip.AddrPort
	start         time.Time
	period, delay time.Duration
}

func (m movingKeeper) BoxFor(string) (address netip.AddrPort, here, ok bool) {
	return m.boxes[int(max(0, clock.Since(m.start)-m.delay)/m.period)%len(m.boxes)], false, true
}

// forBox returns the locator of an asking box.
func (m movingKeeper) forBox(box int) movingKeeper {
	if box%2 == 0 {
		m.delay = 0
	}
	return m
}

// newMovingKeeper returns boxes that can be the keeper, and a locator that names one after the other.
func newMovingKeeper(keepers int, period, delay time.Duration) (keeperBoxes, movingKeeper) {
	boxes, locator := keeperBoxes{}, movingKeeper{start: clock.Now(), period: period, delay: delay}
	for i := range keepers {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 80)
		mux := http.NewServeMux()
		NewServer(ServerConfig{Keeper: NewKeeper(uint64(i) << 32)}).Register(mux)
		boxes[address.String()] = mux
		locator.boxes = append(locator.boxes, address)
	}
	return boxes, locator
}

// acquireFor requests places at an endpoint for six boxes until the duration has passed. It returns the times of the granted requests,
// sorted.
func acquireFor(c *qt.C, duration time.Duration, rate float64, boxes keeperBoxes, locator movingKeeper) []time.Time {
	const (
		askingBoxes = 6
		// askInterval is the mean time between two requests by one box.
		askInterval = 60 * time.Millisecond
	)
	start := clock.Now()
	var mu sync.Mutex
	var granted []time.Time
	var group errgroup.Group
	for box := range askingBoxes {
		rates := ratelimit.NewRegistry(ratelimit.RegistryConfig{Boxes: func() int { return askingBoxes }, Scope: tally.NoopScope})
		rates.Record(start, "e", ratelimit.Report{Limited: true, Rate: rate})
		client := NewClient(ClientConfig{HTTP: &http.Client{Transport: boxes}, Locator: locator.forBox(box), Keeper: NewKeeper(0), Rates: rates, Scope: tally.NoopScope})
		group.Go(func() error {
			for clock.Since(start) < duration {
				time.Sleep(rand.N(2 * askInterval))
				if place, _ := client.Acquire(context.Background(), Request{Endpoint: "e", Slots: UnlimitedSlots}); place != nil {
					mu.Lock()
					granted = append(granted, clock.Now())
					mu.Unlock()
				}
			}
			return nil
		})
	}
	c.Assert(group.Wait(), qt.IsNil)
	return granted
}

// maxWithin returns the largest number of the sorted times that lie within one window.
func maxWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestRateHoldsWhenKeeperReturns guards against boxes that become the keeper again and grant what has accrued while another box was the
// keeper. That happens when heartbeats are late: a box is hidden and shown again within a fraction of a second. The rate must also
// still be used.
func TestRateHoldsWhenKeeperReturns(t *testing.T) {
	const (
		// In any window, an endpoint may receive at most excess times the requests that its rate allows, plus margin.
		window = 4 * time.Second
		excess = 1.5
		margin = 5
		// minUsed is the part of the rate that must be used at least.
		minUsed  = 0.8
		duration = 20 * time.Second
	)
	for _, tt := range []struct {
		rate    float64
		keepers int
		period  time.Duration
		delay   time.Duration
	}{
		{5, 1, time.Second, 0},
		{5, 2, 100 * time.Millisecond, 0},
		{5, 2, 300 * time.Millisecond, 0},
		{5, 2, 700 * time.Millisecond, 0},
		{5, 2, 1500 * time.Millisecond, 0},
		{5, 6, 100 * time.Millisecond, 0},
		{5, 6, 300 * time.Millisecond, 0},
		{1.9, 3, 200 * time.Millisecond, 0},
		{1.9, 2, time.Second, 0},
		{40, 2, 100 * time.Millisecond, 0},
		{5, 2, 300 * time.Millisecond, 100 * time.Millisecond},
		{5, 3, 300 * time.Millisecond, 150 * time.Millisecond},
		{5, 6, 300 * time.Millisecond, 100 * time.Millisecond},
		{5, 6, 300 * time.Millisecond, 300 * time.Millisecond},
		{5, 6, 500 * time.Millisecond, 250 * time.Millisecond},
		{20, 6, 300 * time.Millisecond, 150 * time.Millisecond},
	} {
		name := fmt.Sprintf("%v, %d keepers, %v", tt.rate, tt.keepers, tt.period)
		if tt.delay > 0 {
			name += fmt.Sprintf(", half of the boxes %v late", tt.delay)
		}
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				boxes, locator := newMovingKeeper(tt.keepers, tt.period, tt.delay)
				granted := acquireFor(c, duration, tt.rate, boxes, locator)
				most, allowed := maxWithin(granted, window), int(excess*tt.rate*window.Seconds()+margin)
				used := float64(len(granted)) / duration.Seconds()
				c.Logf("at most %d in %v of %d allowed, %.2f per second used", most, window, allowed, used)
				c.Check(most <= allowed, qt.IsTrue, qt.Commentf("%d in %v, %d allowed", most, window, allowed))
				c.Check(used >= minUsed*tt.rate, qt.IsTrue, qt.Commentf("%.2f per second used", used))
			})
		})
	}
}
