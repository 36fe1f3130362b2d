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

// backAfter is how long a back end that has ended is away: longer than what one box sees of an end lies from what another does.
const backAfter = 1200 * time.Millisecond

// ending is a back end that ends when it begins to run a deadly request, and comes back at its address under its name.
type ending struct {
	c       *qt.C
	handler http.Handler
	address netip.AddrPort
	ends    atomic.Int64
	group   errgroup.Group
}

func startEnding(c *qt.C, h http.Handler) *ending {
	e := &ending{c: c, handler: h}
	c.Cleanup(func() { _ = e.group.Wait() })
	e.listen("127.0.0.1:0")
	return e
}

func (e *ending) listen(at string) {
	l, err := net.Listen("tcp", at)
	e.c.Assert(err, qt.IsNil)
	s := httptest.NewUnstartedServer(nil)
	_ = s.Listener.Close()
	s.Listener = l
	s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		content, _ := io.ReadAll(r.Body)
		if strings.Contains(string(content), "deadly") {
			e.end(s)
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(content))
		e.handler.ServeHTTP(w, r)
	})
	if !e.address.IsValid() {
		// Requests come from the start on, and end it.
		e.address = netip.MustParseAddrPort(l.Addr().String())
	}
	s.Start()
	e.c.Cleanup(s.CloseClientConnections)
}

// end ends the process, which comes back after a while.
func (e *ending) end(s *httptest.Server) {
	e.ends.Add(1)
	_ = s.Listener.Close()
	e.group.Go(func() error {
		s.CloseClientConnections()
		time.Sleep(backAfter)
		e.listen(e.address.String())
		return nil
	})
}

// TestDeadlyRequestsOnOwnInterface: what holds for requests on routes holds for completions, also where another box owns the engine, and for calls of
// services. An operator sees the request and lets it pass.
func TestDeadlyRequestsOnOwnInterface(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetConfig{boxes: 2})
	engine, service := startEnding(c, fakeengine.New(smallEngine()).Handler()), startEnding(c, f.service.Handler())
	f.declare("engine-1", &resource.Engine{Address: engine.address, Box: "host-1", Zone: zone, BaseModel: baseModel, Slots: 4, Batch: 8, ChecksEpochs: true})
	f.declare("deadly", &resource.Service{Addresses: []netip.AddrPort{service.address}, Timeout: resource.Duration(time.Minute)})
	f.settle(2, 1)
	completionBody := fmt.Sprintf(`{"model":%q,"max_tokens":3,"stream":true,"prompt":"deadly"}`, modelName)
	for i := range 7 {
		f.ask(f.boxes[i%2], "/v1/completions", completionBody)
		f.ask(f.boxes[i%2], "/services/deadly/x", "deadly")
		time.Sleep(backAfter + 300*time.Millisecond)
	}
	c.Check(engine.ends.Load(), qt.Equals, int64(3))
	c.Check(service.ends.Load(), qt.Equals, int64(3))
	for _, b := range f.boxes {
		for _, a := range []answer{f.ask(b, "/v1/completions", completionBody), f.ask(b, "/services/deadly/x", "deadly")} {
			c.Check(a.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", a.body))
			c.Check(a.header.Get("Bellgap-Code"), qt.Equals, "3012")
			c.Check(a.header.Get("Bellgap-Ran"), qt.Equals, "no")
		}
		c.Check(f.ask(b, "/v1/completions", completion(modelName, 3, false)).status, qt.Equals, http.StatusOK)
	}
	list := f.tool(0, "quarantine")
	c.Check(list, qt.Matches, `(?s)FINGERPRINT +ENDED +HELD SINCE +REQUEST\n[0-9a-f]{32} +3 +20.*POST /v1/completions of downs.*`)
	c.Check(list, qt.Matches, `(?s).*POST /services/deadly/x of service/deadly\n.*`)
	c.Check(f.tool(1, "status"), qt.Matches, `(?s).*requests in quarantine: 2: .*`)
	for line := range strings.Lines(list) {
		if fingerprint := strings.Fields(line)[0]; fingerprint != "FINGERPRINT" {
			c.Check(f.tool(1, "quarantine", "release", fingerprint), qt.Equals, fingerprint+" passes again\n")
		}
	}
	c.Check(f.tool(0, "quarantine"), qt.Equals, "FINGERPRINT  ENDED  HELD SINCE  REQUEST\n")
	before := service.ends.Load()
	f.ask(f.boxes[0], "/services/deadly/x", "deadly")
	c.Check(service.ends.Load(), qt.Equals, before+1)
	c.Check(f.tool(0, "quarantine", "release", "00"), qt.Matches, `(?s).*bad_request.*`)
}

// tool runs the tool against a box and returns what it prints.
func (f *fleet) tool(box int, args ...string) string {
	var out bytes.Buffer
	cli.Tool(append([]string{"bellgap", "--box", f.boxes[box].OperatorAddress().String()}, args...), &out, &out)
	return out.String()
}
