package box_test

import (
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/fakeengine"
	"github.com/bellgap/bellgap/internal/fakeservice"
	"github.com/bellgap/bellgap/internal/resource"
)

const (
	// rateEffectiveAfter is the time after a back end first reports a rate limit until all boxes must observe it. After that, the back end may get at
	// most 1.5 times the requests that the limit allows, plus five, in any rateWindow. Both limits are requirements of the users.
	rateEffectiveAfter = 3 * time.Second
	rateWindow         = 4 * time.Second
)

// requestCounter records the times at which a back end receives requests.
type requestCounter struct {
	handler  http.Handler
	mu       sync.Mutex
	arrivals []time.Time
}

// ServeHTTP implements http.Handler.
func (a *requestCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && r.URL.Path != "/orders" {
		a.mu.Lock()
		a.arrivals = append(a.arrivals, time.Now())
		a.mu.Unlock()
	}
	a.handler.ServeHTTP(w, r)
}

// peakAndRate returns the maximum number of requests in any rateWindow since a time, and the requests per second since then.
func (a *requestCounter) peakAndRate(from time.Time) (peak int, perSecond float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	recent := slices.DeleteFunc(slices.Clone(a.arrivals), func(at time.Time) bool { return at.Before(from) })
	first := 0
	for i, at := range recent {
		for at.Sub(recent[first]) >= rateWindow {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak, float64(len(recent)) / time.Since(from).Seconds()
}

// checkRate checks that a back end got no more requests than its rate limit allows, and at least 60% of them.
func (a *requestCounter) checkRate(c *qt.C, from time.Time, rate float64) {
	peak, perSecond := a.peakAndRate(from)
	c.Logf("rate limit %v per second: at most %d requests in %v, %.2f per second on average", rate, peak, rateWindow, perSecond)
	c.Check(peak <= int(math.Floor(1.5*rate*rateWindow.Seconds()+5)), qt.IsTrue)
	c.Check(perSecond >= 0.6*rate, qt.IsTrue)
}

// TestRateLimitsOfEnginesAndServices makes engines and addresses of a service report rate limits. The limits must hold for completions and service
// calls through all boxes, as they do for requests on routes, even if another box owns the engine.
func TestRateLimitsOfEnginesAndServices(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetConfig{boxes: 3})
	var engines []*fakeengine.Engine
	var services []*fakeservice.Service
	var arrivals []*requestCounter
	var addresses []netip.AddrPort
	for i := range 2 {
		e, s := fakeengine.New(smallEngine()), fakeservice.New("limited")
		engines, services = append(engines, e), append(services, s)
		atEngine, atService := &requestCounter{handler: e.Handler()}, &requestCounter{handler: s.Handler()}
		arrivals = append(arrivals, atEngine, atService)
		f.declare(fmt.Sprint("engine-", i), &resource.Engine{
			Address: f.startServer(atEngine), Box: fmt.Sprint("host-", i), Zone: zone, BaseModel: baseModel, Slots: 4, Batch: 8, ChecksEpochs: true,
		})
		addresses = append(addresses, f.startServer(atService))
	}
	f.declare("limited", &resource.Service{Addresses: addresses, Timeout: resource.Duration(time.Minute)})
	f.waitUntilSettled(3, 2)
	var mu sync.Mutex
	codes := map[string]int{}
	stop := make(chan struct{})
	var group errgroup.Group
	for i := range 9 {
		group.Go(func() error {
			for n := 0; ; n++ {
				b := f.boxes[(i+n)%3]
				for _, a := range []response{
					f.post(b, "/v1/completions", completionBody(modelName, 2, true)),
					f.post(b, "/services/limited/x", fmt.Sprint(i, n), "Bellgap-Repeatable", "no"),
				} {
					mu.Lock()
					codes[a.header.Get("Bellgap-Code")]++
					mu.Unlock()
				}
				select {
				case <-stop:
					return nil
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(time.Second)
	engines[0].SetFaults(fakeengine.Faults{RateLimit: "2"})
	services[0].SetFaults(fakeservice.Faults{RateLimit: "1.5"})
	from := time.Now().Add(rateEffectiveAfter)
	time.Sleep(rateEffectiveAfter + rateWindow)
	arrivals[0].checkRate(c, from, 2)
	arrivals[1].checkRate(c, from, 1.5)
	c.Check(f.runTool(0, "status"), qt.Matches, `(?s).*endpoints that name rates: 2: .* 1.5/s for \d+s engine-0 2/s for \d+s.*`)
	mu.Lock()
	c.Check(codes, qt.HasLen, 1, qt.Commentf("%v", codes))
	clear(codes)
	mu.Unlock()
	// With rate limits on all back ends, excess requests are refused at once and callers retry later.
	engines[1].SetFaults(fakeengine.Faults{RateLimit: "2"})
	services[1].SetFaults(fakeservice.Faults{RateLimit: "1.5"})
	from = time.Now().Add(rateEffectiveAfter)
	time.Sleep(rateEffectiveAfter + rateWindow)
	for i, rate := range []float64{2, 1.5, 2, 1.5} {
		arrivals[i].checkRate(c, from, rate)
	}
	// Each of the two addresses can accumulate a burst of at most four calls. All other calls are refused.
	refused := 0
	for i := range 30 {
		a := f.post(f.boxes[0], "/services/limited/x", fmt.Sprint("refused-", i))
		if a.status == http.StatusOK {
			continue
		}
		refused++
		c.Check(a.status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(a.header.Get("Bellgap-Code"), qt.Equals, "3013")
		c.Check(a.header.Get("Bellgap-Ran"), qt.Equals, "no")
		c.Check(a.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	}
	c.Check(refused >= 20, qt.IsTrue, qt.Commentf("%d of 30 refused", refused))
	close(stop)
	c.Assert(group.Wait(), qt.IsNil)
	c.Check(codes["3013"] > codes["1000"], qt.IsTrue, qt.Commentf("%v", codes))
	// Without rate limits, all requests are served again.
	for i := range engines {
		engines[i].SetFaults(fakeengine.Faults{})
		services[i].SetFaults(fakeservice.Faults{})
	}
	f.waitUntil(func() bool {
		return f.post(f.boxes[1], "/v1/completions", completionBody(modelName, 2, true)).status == http.StatusOK &&
			f.post(f.boxes[2], "/services/limited/x", "again").status == http.StatusOK
	})
}
