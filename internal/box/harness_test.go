package box_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/box"
	"github.com/bellgap/bellgap/internal/fakeengine"
	"github.com/bellgap/bellgap/internal/fakeplatform"
	"github.com/bellgap/bellgap/internal/fakeservice"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/settings"
)

const (
	baseModel = "plain-7b"
	zone      = "hall-a"
	adapter   = "boundary"
	modelName = "boundary@3"
)

// fleet consists of boxes that run in the test process on real sockets, with fakes of the platform, the engines and a service.
type fleet struct {
	c        *qt.C
	platform *fakeplatform.Store
	address  netip.AddrPort
	engines  []*fakeengine.Engine
	service  *fakeservice.Service
	boxes    []*runningBox
	// leave, if set, is the setting timing.leave of every box that is added, bodyBytes the setting request.body_bytes.
	leave     time.Duration
	bodyBytes int64
	// surplus returns what engines and services write to the connection of a request before they serve it, nil for nothing.
	surplus atomic.Pointer[func(r *http.Request) string]
	// torn returns the first bytes of the answers of engines and services, which then close the connection. Requests for which it returns
	// none are served.
	torn atomic.Pointer[func(r *http.Request) string]
}

type runningBox struct {
	*box.Box
	stop  context.CancelFunc
	group errgroup.Group
	// isCut cuts the box off from all engines and services.
	isCut *atomic.Bool
}

// fleetConfig configures a fleet.
type fleetConfig struct {
	boxes   int
	engines []fakeengine.Config
	// leave, if set, is the time of a planned stop.
	leave time.Duration
	// bodyBytes, if set, bounds the bytes of a request body. Bodies then have a minute to arrive.
	bodyBytes int64
}

func startFleet(c *qt.C, cfg fleetConfig) *fleet {
	f := &fleet{c: c, platform: fakeplatform.New(), service: fakeservice.New("titles"), leave: cfg.leave, bodyBytes: cfg.bodyBytes}
	f.address = f.startServer(f.platform.Handler())
	f.declare("downs", &resource.Cooperative{MaxInFlight: 1000})
	f.declare("gate", &resource.Priority{Urgency: 50, MaxWait: resource.Duration(time.Minute)})
	f.declare("titles", &resource.Service{
		Addresses: []netip.AddrPort{f.startServer(f.service.Handler())}, Timeout: resource.Duration(time.Minute), UnrepeatablePrefixes: []string{"/notice"},
	})
	for i, e := range cfg.engines {
		engine := fakeengine.New(e)
		f.engines = append(f.engines, engine)
		f.declare(fmt.Sprintf("engine-%d", i+1), &resource.Engine{
			Address: f.startServer(engine.Handler()), Box: fmt.Sprintf("host-%d", i+1), Zone: zone, BaseModel: baseModel, Slots: e.Slots, Batch: e.Batch, ChecksEpochs: e.ChecksEpochs,
		})
	}
	f.declareAdapter(modelName)
	for i := range cfg.boxes {
		f.addBox(fmt.Sprintf("box-%d", i+1))
	}
	f.waitUntilSettled(cfg.boxes, len(cfg.engines))
	return f
}

func smallEngine() fakeengine.Config {
	return fakeengine.Config{Slots: 4, Batch: 8, Step: time.Millisecond, ChecksEpochs: true}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func (f *fleet) startServer(h http.Handler) netip.AddrPort {
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if surplus := f.surplus.Load(); surplus != nil {
			if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok {
				// If the connection is broken, the answer that follows fails as well.
				_, _ = io.WriteString(conn, (*surplus)(r))
			}
		}
		if torn := f.torn.Load(); torn != nil {
			if answer := (*torn)(r); answer != "" {
				f.writeTorn(w, r, answer)
				return
			}
		}
		h.ServeHTTP(w, r)
	}))
	s.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	s.Start()
	f.c.Cleanup(s.CloseClientConnections)
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// writeTorn writes the first bytes of an answer and closes the connection.
func (f *fleet) writeTorn(w http.ResponseWriter, r *http.Request, answer string) {
	_, err := io.Copy(io.Discard, r.Body)
	f.c.Check(err, qt.IsNil)
	conn, _, err := http.NewResponseController(w).Hijack()
	f.c.Check(err, qt.IsNil)
	_, _ = io.WriteString(conn, answer)
	_ = conn.Close()
}

func (f *fleet) declare(name string, spec resource.Spec) {
	kinds := map[string]resource.Kind{
		"*resource.Adapter": resource.KindAdapter, "*resource.AdapterVersion": resource.KindAdapterVersion,
		"*resource.Priority": resource.KindPriority, "*resource.Cooperative": resource.KindCooperative,
		"*resource.Engine": resource.KindEngine, "*resource.Service": resource.KindService,
	}
	kind := kinds[fmt.Sprintf("%T", spec)]
	value, err := json.Marshal(resource.Resource{Kind: kind, Name: name, Spec: spec})
	f.c.Assert(err, qt.IsNil)
	ctx := context.Background()
	existing, err := f.platform.Get(ctx, string(kind), name)
	if err != nil {
		f.c.Assert(err, qt.ErrorIs, objects.ErrNotFound)
	}
	_, err = f.platform.Put(ctx, string(kind), name, existing.Version, value)
	f.c.Assert(err, qt.IsNil)
}

func (f *fleet) declareAdapter(model string) {
	name, _, _ := strings.Cut(model, "@")
	f.declare(name, &resource.Adapter{BaseModel: baseModel, Cooperative: "downs", Priority: "gate"})
	f.declare(model, &resource.AdapterVersion{Weights: model})
}

func (f *fleet) settings(name string) settings.Settings {
	s := settings.Default()
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	s.Box.Name, s.Box.Zone = name, zone
	s.Listen = settings.Listen{Caller: anyPort, Peer: anyPort, Operator: anyPort}
	s.Platform.Address = f.address
	s.Timing.Beat, s.Timing.LeaseTTL, s.Timing.Term = 50*time.Millisecond, 500*time.Millisecond, 500*time.Millisecond
	s.Timing.Leave = cmp.Or(f.leave, s.Timing.Leave)
	s.Loads = settings.Loads{PerSecond: 1000, MaxConcurrent: 16}
	s.Request.BodyBytes, s.Request.BodyTime = 64<<10, 200*time.Millisecond
	if f.bodyBytes > 0 {
		s.Request.BodyBytes, s.Request.BodyTime = f.bodyBytes, time.Minute
	}
	return s
}

func (f *fleet) addBox(name string) {
	isCut := &atomic.Bool{}
	b, err := box.New(box.Config{Settings: f.settings(name), DialEndpoint: func(ctx context.Context, network, address string) (net.Conn, error) {
		if isCut.Load() {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		}
		return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
	}})
	f.c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningBox{Box: b, stop: cancel, isCut: isCut}
	r.group.Go(func() error { return b.Run(ctx) })
	f.boxes = append(f.boxes, r)
	f.c.Cleanup(func() {
		cancel()
		f.c.Check(r.group.Wait(), qt.IsNil)
	})
}

// waitUntilSettled waits until every box knows all boxes and an owner of each engine.
func (f *fleet) waitUntilSettled(boxes, engines int) {
	for _, b := range f.boxes {
		f.waitUntil(func() bool {
			t := b.Topology()
			n := 0
			for _, m := range t.Boxes {
				if !m.Leaving {
					n++
				}
			}
			return n == boxes && len(t.ByModel[baseModel]) == engines
		})
	}
}

// waitUntil waits for a condition. It fails the test if the test's context ends first.
func (f *fleet) waitUntil(ok func() bool) {
	for !ok() {
		select {
		case <-f.c.Context().Done():
			f.c.Fatal("test ended before the awaited condition was met")
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// response is an HTTP response, as received by a caller.
type response struct {
	status int
	header http.Header
	body   string
}

// post sends a POST request to a box.
func (f *fleet) post(b *runningBox, path, body string, header ...string) response {
	return f.send(http.MethodPost, "http://"+b.CallerAddress().String()+path, strings.NewReader(body), header...)
}

func (f *fleet) send(method, url string, body io.Reader, header ...string) response {
	req, err := http.NewRequest(method, url, body)
	f.c.Assert(err, qt.IsNil)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	r, err := doRequest(req)
	f.c.Assert(err, qt.IsNil)
	return r
}

// trySend sends a request whose connection may end without an answer.
func (f *fleet) trySend(method, url string, body io.Reader) (response, error) {
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return response{}, err
	}
	return doRequest(req)
}

func doRequest(req *http.Request) (response, error) {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		b = append(b, []byte("\nbroken: "+err.Error())...)
	}
	return response{resp.StatusCode, resp.Header, string(b)}, nil
}

func completionBody(model string, tokens int, stream bool) string {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, `{"model":%q,"max_tokens":%d,"stream":%t,"prompt":"x"}`, model, tokens, stream)
	return b.String()
}
