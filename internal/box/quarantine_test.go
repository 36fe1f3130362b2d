package box_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/cli"
	"github.com/bellgap/bellgap/internal/fakeengine"
	"github.com/bellgap/bellgap/internal/resource"
)

// restartDelay is how long a crashed back end is unavailable. It is longer than the delay between two boxes' observations of the same crash.
const restartDelay = 1200 * time.Millisecond

// crashingBackend is a back end that crashes when it receives a deadly request, and restarts later with the same address and name.
type crashingBackend struct {
	c       *qt.C
	handler http.Handler
	address netip.AddrPort
	crashes atomic.Int64
	group   errgroup.Group
}

func startCrashingBackend(c *qt.C, h http.Handler) *crashingBackend {
	e := &crashingBackend{c: c, handler: h}
	c.Cleanup(func() { _ = e.group.Wait() })
	e.start("127.0.0.1:0")
	return e
}

func (e *crashingBackend) start(address string) {
	l, err := net.Listen("tcp", address)
	e.c.Assert(err, qt.IsNil)
	s := httptest.NewUnstartedServer(nil)
	_ = s.Listener.Close()
	s.Listener = l
	s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, _ := io.ReadAll(r.Body)
		if strings.Contains(string(content), "deadly") {
			e.crash(s)
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(content))
		e.handler.ServeHTTP(w, r)
	})
	if !e.address.IsValid() {
		// Set the address before the start, because requests may arrive and crash the back end as soon as it runs.
		e.address = netip.MustParseAddrPort(l.Addr().String())
	}
	s.Start()
	e.c.Cleanup(s.CloseClientConnections)
}

// crash closes the server and all its connections, and restarts it after restartDelay.
func (e *crashingBackend) crash(s *httptest.Server) {
	e.crashes.Add(1)
	_ = s.Listener.Close()
	e.group.Go(func() error {
		s.CloseClientConnections()
		time.Sleep(restartDelay)
		e.start(e.address.String())
		return nil
	})
}

// TestCrashingRequestsAreQuarantined sends a completion and a service call that crash their back ends, through both boxes. Both must be quarantined
// after three crashes, as requests on routes are. An operator must be able to list and release them.
func TestCrashingRequestsAreQuarantined(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetConfig{boxes: 2})
	engine, service := startCrashingBackend(c, fakeengine.New(smallEngine()).Handler()), startCrashingBackend(c, f.service.Handler())
	f.declare("engine-1", &resource.Engine{Address: engine.address, Box: "host-1", Zone: zone, BaseModel: baseModel, Slots: 4, Batch: 8, ChecksEpochs: true})
	f.declare("deadly", &resource.Service{Addresses: []netip.AddrPort{service.address}, Timeout: resource.Duration(time.Minute)})
	f.waitUntilSettled(2, 1)
	crashingBody := fmt.Sprintf(`{"model":%q,"max_tokens":3,"stream":true,"prompt":"deadly"}`, modelName)
	for i := range 7 {
		f.post(f.boxes[i%2], "/v1/completions", crashingBody)
		f.post(f.boxes[i%2], "/services/deadly/x", "deadly")
		time.Sleep(restartDelay + 300*time.Millisecond)
	}
	c.Check(engine.crashes.Load(), qt.Equals, int64(3))
	c.Check(service.crashes.Load(), qt.Equals, int64(3))
	for _, b := range f.boxes {
		for _, a := range []response{f.post(b, "/v1/completions", crashingBody), f.post(b, "/services/deadly/x", "deadly")} {
			c.Check(a.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", a.body))
			c.Check(a.header.Get("Bellgap-Code"), qt.Equals, "3012")
			c.Check(a.header.Get("Bellgap-Ran"), qt.Equals, "no")
		}
		c.Check(f.post(b, "/v1/completions", completionBody(modelName, 3, false)).status, qt.Equals, http.StatusOK)
	}
	list := f.runTool(0, "quarantine")
	c.Check(list, qt.Matches, `(?s)FINGERPRINT +ENDED +HELD SINCE +REQUEST\n[0-9a-f]{32} +3 +20.*POST /v1/completions of downs.*`)
	c.Check(list, qt.Matches, `(?s).*POST /services/deadly/x of service/deadly\n.*`)
	c.Check(f.runTool(1, "status"), qt.Matches, `(?s).*requests in quarantine: 2: .*`)
	for line := range strings.Lines(list) {
		if fingerprint := strings.Fields(line)[0]; fingerprint != "FINGERPRINT" {
			c.Check(f.runTool(1, "quarantine", "release", fingerprint), qt.Equals, fingerprint+" passes again\n")
		}
	}
	c.Check(f.runTool(0, "quarantine"), qt.Equals, "FINGERPRINT  ENDED  HELD SINCE  REQUEST\n")
	before := service.crashes.Load()
	f.post(f.boxes[0], "/services/deadly/x", "deadly")
	c.Check(service.crashes.Load(), qt.Equals, before+1)
	c.Check(f.runTool(0, "quarantine", "release", "00"), qt.Matches, `(?s).*bad_request.*`)
}

// runTool runs the command-line tool against a box and returns its output.
func (f *fleet) runTool(box int, args ...string) string {
	var out bytes.Buffer
	cli.Tool(append([]string{"bellgap", "--box", f.boxes[box].OperatorAddress().String()}, args...), &out, &out)
	return out.String()
}
