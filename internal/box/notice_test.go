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

// noticeFleet is a fleet of three boxes before two engines and a service with two addresses.
type noticeFleet struct {
	*fleet
	engines  []*fakeengine.Engine
	services []*fakeservice.Service
	// atEngines and atServices note what comes to each.
	atEngines  []*counting
	atServices []*counting
	stop       chan struct{}
	callers    errgroup.Group
}

func startNoticeFleet(c *qt.C) *noticeFleet {
	f := &noticeFleet{fleet: startFleet(c, fleetConfig{boxes: 3}), stop: make(chan struct{})}
	var addresses []netip.AddrPort
	for i := range 2 {
		e, s := fakeengine.New(smallEngine()), fakeservice.New("lookup")
		f.engines, f.services = append(f.engines, e), append(f.services, s)
		f.atEngines, f.atServices = append(f.atEngines, &counting{handler: e.Handler()}), append(f.atServices, &counting{handler: s.Handler()})
		f.declare(fmt.Sprint("engine-", i), &resource.Engine{
			Address: f.listen(f.atEngines[i]), Box: fmt.Sprint("host-", i), Zone: zone, BaseModel: baseModel, Slots: 4, Batch: 8, ChecksEpochs: true,
		})
		addresses = append(addresses, f.listen(f.atServices[i]))
	}
	f.declare("lookup", &resource.Service{Addresses: addresses, Timeout: resource.Duration(time.Minute)})
	f.settle(3, 2)
	for i := range 6 {
		f.callers.Go(func() error {
			for n := 0; ; n++ {
				f.both(f.boxes[(i+n)%3], fmt.Sprint(i, n))
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

// both sends one request for an engine and one call of the service through a box.
func (f *noticeFleet) both(b *running, id string) []answer {
	return []answer{
		f.ask(b, "/v1/completions", completion(modelName, 2, true)),
		f.ask(b, "/services/lookup/x", id, "Bellgap-Repeatable", "no"),
	}
}

func (f *noticeFleet) end(c *qt.C) {
	close(f.stop)
	c.Assert(f.callers.Wait(), qt.IsNil)
}

// checkRefused checks that what nobody takes is refused at once as not run, with a time to come back.
func (f *noticeFleet) checkRefused(c *qt.C, id, code string) {
	c.Helper()
	sent := time.Now()
	for _, a := range f.both(f.boxes[0], id) {
		c.Check(a.status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(a.header.Get("Bellgap-Code"), qt.Equals, code)
		c.Check(a.header.Get("Bellgap-Ran"), qt.Equals, "no")
		c.Check(a.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	}
	c.Check(time.Since(sent) < 500*time.Millisecond, qt.IsTrue)
}

// since returns how many requests came from a time on.
func (a *counting) since(from time.Time) int {
	n, _ := a.most(from)
	return n
}

// TestLeavingOnOwnInterface: an engine and an address of a service say that they leave; then all do. An engine that starts again is used again.
func TestLeavingOnOwnInterface(t *testing.T) {
	c := qt.New(t)
	f := startNoticeFleet(c)
	time.Sleep(500 * time.Millisecond)
	f.engines[0].SetFaults(fakeengine.Faults{Leaving: true})
	f.services[0].SetFaults(fakeservice.Faults{Leaving: true})
	time.Sleep(2 * time.Second)
	from := time.Now()
	time.Sleep(time.Second)
	c.Check(f.atEngines[0].since(from), qt.Equals, 0)
	c.Check(f.atServices[0].since(from), qt.Equals, 0)
	for _, a := range f.both(f.boxes[0], "one") {
		c.Check(a.header.Get("Bellgap-Code"), qt.Equals, "1000")
	}
	f.engines[1].SetFaults(fakeengine.Faults{Leaving: true})
	f.services[1].SetFaults(fakeservice.Faults{Leaving: true})
	time.Sleep(2 * time.Second)
	f.checkRefused(c, "two", "3015")
	f.engines[1].Restart()
	f.until(func() bool {
		return f.both(f.boxes[1], "three")[0].status == http.StatusOK
	})
	f.end(c)
}

// TestRestOnOwnInterface: an engine and an address of a service turn away what comes and ask for rest; then all do. After it they are used again.
func TestRestOnOwnInterface(t *testing.T) {
	c := qt.New(t)
	f := startNoticeFleet(c)
	time.Sleep(500 * time.Millisecond)
	f.engines[0].SetFaults(fakeengine.Faults{Rest: "4"})
	f.services[0].SetFaults(fakeservice.Faults{Rest: "4"})
	time.Sleep(1500 * time.Millisecond)
	from := time.Now()
	for i := range 2 {
		f.engines[i].SetFaults(fakeengine.Faults{})
		f.services[i].SetFaults(fakeservice.Faults{})
	}
	time.Sleep(time.Second)
	c.Check(f.atEngines[0].since(from), qt.Equals, 0)
	c.Check(f.atServices[0].since(from), qt.Equals, 0)
	for _, a := range f.both(f.boxes[0], "one") {
		c.Check(a.header.Get("Bellgap-Code"), qt.Equals, "1000")
	}
	f.engines[1].SetFaults(fakeengine.Faults{Rest: "8"})
	f.services[1].SetFaults(fakeservice.Faults{Rest: "8"})
	time.Sleep(500 * time.Millisecond)
	f.checkRefused(c, "two", "3014")
	f.until(func() bool {
		both := f.both(f.boxes[1], "three")
		return both[0].status == http.StatusOK && both[1].status == http.StatusOK
	})
	f.end(c)
}
