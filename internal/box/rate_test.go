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
	// rateHeard is how long after a back end first names a rate all boxes go by it; in no rateWindow may it get more than one and a half times what
	// the rate allows, and five. Both are the users' bounds.
	rateHeard  = 3 * time.Second
	rateWindow = 4 * time.Second
)

// counting notes when requests come to a back end.
type counting struct {
	handler http.Handler
	mu      sync.Mutex
	came    []time.Time
}

// ServeHTTP implements http.Handler.
func (a *counting) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && r.URL.Path != "/orders" {
		a.mu.Lock()
		a.came = append(a.came, time.Now())
		a.mu.Unlock()
	}
	a.handler.ServeHTTP(w, r)
}

// most returns the most requests that came in some rateWindow from a time on, and how many came a second.
func (a *counting) most(from time.Time) (most int, second float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	later := slices.DeleteFunc(slices.Clone(a.came), func(at time.Time) bool { return at.Before(from) })
	first := 0
	for i, at := range later {
		for at.Sub(later[first]) >= rateWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, float64(len(later)) / time.Since(from).Seconds()
}

// check checks that a back end got no more than it names, and most of that.
func (a *counting) check(c *qt.C, from time.Time, rate float64) {
	most, second := a.most(from)
	c.Logf("names %v a second: at most %d in %v, %.2f a second", rate, most, rateWindow, second)
	c.Check(most <= int(math.Floor(1.5*rate*rateWindow.Seconds()+5)), qt.IsTrue)
	c.Check(second >= 0.6*rate, qt.IsTrue)
}

// TestRatesOnOwnInterface: what holds for requests on routes holds for completions and for calls of services, also where another box owns the engine.
func TestRatesOnOwnInterface(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetConfig{boxes: 3})
	var engines []*fakeengine.Engine
	var services []*fakeservice.Service
	var arrivals []*counting
	var addresses []netip.AddrPort
	for i := range 2 {
		e, s := fakeengine.New(smallEngine()), fakeservice.New("limited")
		engines, services = append(engines, e), append(services, s)
		atEngine, atService := &counting{handler: e.Handler()}, &counting{handler: s.Handler()}
		arrivals = append(arrivals, atEngine, atService)
		f.declare(fmt.Sprint("engine-", i), &resource.Engine{
			Address: f.listen(atEngine), Box: fmt.Sprint("host-", i), Zone: zone, BaseModel: baseModel, Slots: 4, Batch: 8, ChecksEpochs: true,
		})
		addresses = append(addresses, f.listen(atService))
	}
	f.declare("limited", &resource.Service{Addresses: addresses, Timeout: resource.Duration(time.Minute)})
	f.settle(3, 2)
	var mu sync.Mutex
	codes := map[string]int{}
	stop := make(chan struct{})
	var group errgroup.Group
	for i := range 9 {
		group.Go(func() error {
			for n := 0; ; n++ {
				b := f.boxes[(i+n)%3]
				for _, a := range []answer{
					f.ask(b, "/v1/completions", completion(modelName, 2, true)),
					f.ask(b, "/services/limited/x", fmt.Sprint(i, n), "Bellgap-Repeatable", "no"),
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
	engines[0].SetFaults(fakeengine.Faults{Rate: "2"})
	services[0].SetFaults(fakeservice.Faults{Rate: "1.5"})
	from := time.Now().Add(rateHeard)
	time.Sleep(rateHeard + rateWindow)
	arrivals[0].check(c, from, 2)
	arrivals[1].check(c, from, 1.5)
	c.Check(f.tool(0, "status"), qt.Matches, `(?s).*endpoints that name rates: 2: .* 1.5/s for \d+s engine-0 2/s for \d+s.*`)
	mu.Lock()
	c.Check(codes, qt.HasLen, 1, qt.Commentf("%v", codes))
	clear(codes)
	mu.Unlock()
	// All name rates: what cannot be served is refused at once and comes back later.
	engines[1].SetFaults(fakeengine.Faults{Rate: "2"})
	services[1].SetFaults(fakeservice.Faults{Rate: "1.5"})
	from = time.Now().Add(rateHeard)
	time.Sleep(rateHeard + rateWindow)
	for i, rate := range []float64{2, 1.5, 2, 1.5} {
		arrivals[i].check(c, from, rate)
	}
	// Two addresses save up four calls each at the most; whatever is not served is refused.
	refused := 0
	for i := range 30 {
		a := f.ask(f.boxes[0], "/services/limited/x", fmt.Sprint("refused-", i))
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
	// It goes away: all is served again.
	for i := range engines {
		engines[i].SetFaults(fakeengine.Faults{})
		services[i].SetFaults(fakeservice.Faults{})
	}
	f.until(func() bool {
		return f.ask(f.boxes[1], "/v1/completions", completion(modelName, 2, true)).status == http.StatusOK &&
			f.ask(f.boxes[2], "/services/limited/x", "again").status == http.StatusOK
	})
}
