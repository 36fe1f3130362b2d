package box_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/fakeengine"
	"github.com/bellgap/bellgap/internal/fakeservice"
	"github.com/bellgap/bellgap/internal/resource"
)

// noticeFleet is a fleet of three boxes, two engines and a service with two addresses, with callers that send requests until they are stopped.
type noticeFleet struct {
	*fleet
	engines  []*fakeengine.Engine
	services []*fakeservice.Service
	// atEngines and atServices record the requests at each engine and each address of the service.
	atEngines  []*requestCounter
	atServices []*requestCounter
	stop       chan struct{}
	callers    errgroup.Group
}

func startNoticeFleet(c *qt.C) *noticeFleet {
	f := &noticeFleet{fleet: startFleet(c, fleetConfig{boxes: 3}), stop: make(chan struct{})}
	var addresses []netip.AddrPort
	for i := range 2 {
		e, s := fakeengine.New(smallEngine()), fakeservice.New("lookup")
		f.engines, f.services = append(f.engines, e), append(f.services, s)
		f.atEngines, f.atServices = append(f.atEngines, &requestCounter{handler: e.Handler()}), append(f.atServices, &requestCounter{handler: s.Handler()})
		f.declare(fmt.Sprint("engine-", i), &resource.Engine{
			Address: f.startServer(f.atEngines[i]), Box: fmt.Sprint("host-", i), Zone: zone, BaseModel: baseModel, Slots: 4, Batch: 8, ChecksEpochs: true,
		})
		addresses = append(addresses, f.startServer(f.atServices[i]))
	}
	f.declare("lookup", &resource.Service{Addresses: addresses, Timeout: resource.Duration(time.Minute)})
	f.waitUntilSettled(3, 2)
	for i := range 6 {
		f.callers.Go(func() error {
			for call := 0; ; call++ {
				f.sendBoth(f.boxes[(i+call)%3], fmt.Sprint(i, call))
				select {
				case <-f.stop:
					return nil
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	return f
}

// sendBoth sends a completion request and a call of the service through a box.
func (f *noticeFleet) sendBoth(b *runningBox, id string) []response {
	return []response{
		f.post(b, "/v1/completions", completionBody(modelName, 2, true)),
		f.post(b, "/services/lookup/x", id, "Bellgap-Repeatable", "no"),
	}
}

func (f *noticeFleet) stopCallers(c *qt.C) {
	close(f.stop)
	c.Assert(f.callers.Wait(), qt.IsNil)
}

// checkRefused checks that requests which no back end accepts are refused at once, as not run and with a Retry-After header.
func (f *noticeFleet) checkRefused(c *qt.C, id, code string) {
	c.Helper()
	sent := time.Now()
	for _, a := range f.sendBoth(f.boxes[0], id) {
		c.Check(a.status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(a.header.Get("Bellgap-Code"), qt.Equals, code)
		c.Check(a.header.Get("Bellgap-Ran"), qt.Equals, "no")
		c.Check(a.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	}
	c.Check(time.Since(sent) < 500*time.Millisecond, qt.IsTrue)
}

// countSince returns the number of requests since a time.
func (a *requestCounter) countSince(from time.Time) int {
	n, _ := a.peakAndRate(from)
	return n
}

// TestLeavingEnginesAndServices makes an engine and an address of a service report that they are leaving. Both must get no more requests. Requests must
// be refused when the others leave too, and be served when an engine has restarted.
func TestLeavingEnginesAndServices(t *testing.T) {
	c := qt.New(t)
	f := startNoticeFleet(c)
	time.Sleep(500 * time.Millisecond)
	f.engines[0].SetFaults(fakeengine.Faults{Leaving: true})
	f.services[0].SetFaults(fakeservice.Faults{Leaving: true})
	time.Sleep(2 * time.Second)
	from := time.Now()
	time.Sleep(time.Second)
	c.Check(f.atEngines[0].countSince(from), qt.Equals, 0)
	c.Check(f.atServices[0].countSince(from), qt.Equals, 0)
	for _, a := range f.sendBoth(f.boxes[0], "one") {
		c.Check(a.header.Get("Bellgap-Code"), qt.Equals, "1000")
	}
	f.engines[1].SetFaults(fakeengine.Faults{Leaving: true})
	f.services[1].SetFaults(fakeservice.Faults{Leaving: true})
	time.Sleep(2 * time.Second)
	f.checkRefused(c, "two", "3015")
	f.engines[1].Restart()
	f.waitUntil(func() bool {
		return f.sendBoth(f.boxes[1], "three")[0].status == http.StatusOK
	})
	f.stopCallers(c)
}

// TestPausedEnginesAndServices makes an engine and an address of a service refuse requests and request a pause. Both must get no requests during the
// pause. Requests must be refused when the others pause too, and be served after the pause.
func TestPausedEnginesAndServices(t *testing.T) {
	c := qt.New(t)
	f := startNoticeFleet(c)
	time.Sleep(500 * time.Millisecond)
	f.engines[0].SetFaults(fakeengine.Faults{RetryAfter: "4"})
	f.services[0].SetFaults(fakeservice.Faults{RetryAfter: "4"})
	time.Sleep(1500 * time.Millisecond)
	from := time.Now()
	for i := range 2 {
		f.engines[i].SetFaults(fakeengine.Faults{})
		f.services[i].SetFaults(fakeservice.Faults{})
	}
	time.Sleep(time.Second)
	c.Check(f.atEngines[0].countSince(from), qt.Equals, 0)
	c.Check(f.atServices[0].countSince(from), qt.Equals, 0)
	for _, a := range f.sendBoth(f.boxes[0], "one") {
		c.Check(a.header.Get("Bellgap-Code"), qt.Equals, "1000")
	}
	f.engines[1].SetFaults(fakeengine.Faults{RetryAfter: "8"})
	f.services[1].SetFaults(fakeservice.Faults{RetryAfter: "8"})
	time.Sleep(500 * time.Millisecond)
	f.checkRefused(c, "two", "3014")
	f.waitUntil(func() bool {
		both := f.sendBoth(f.boxes[1], "three")
		return both[0].status == http.StatusOK && both[1].status == http.StatusOK
	})
	f.stopCallers(c)
}
