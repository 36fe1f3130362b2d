package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
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

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/grant"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/placement"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// plainWire sends no headers except the request id and accepts every answer as coming from the endpoint.
type plainWire struct{}

func (plainWire) ReadHead(h http.Header) (Head, error) {
	return Head{ID: h.Get("Id"), Deadline: 5 * time.Second, Model: "base", Adapter: "a", Prompt: 10, Output: 10}, nil
}
func (plainWire) ID(h http.Header) string           { return h.Get("Id") }
func (plainWire) WriteAttempt(http.Header, Attempt) {}
func (plainWire) ReadAnswer(int, http.Header) AnswerHead {
	return AnswerHead{ID: "id", Signed: true}
}
func (plainWire) WriteRetryAfter(http.Header, time.Duration) {}
func (plainWire) EventID([]byte) string                      { return "" }

// startServer starts a server and returns its address.
func startServer(c *qt.C, h http.Handler) netip.AddrPort {
	s := httptest.NewServer(h)
	c.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// putObject applies one object of the fleet to a catalog.
func putObject(c *qt.C, cat *catalog.Catalog, version objects.Position, kind, name string, value any) {
	if spec, ok := value.(resource.Spec); ok {
		value = resource.Resource{Kind: resource.Kind(kind), Name: name, Generation: int64(version), Spec: spec}
	}
	raw, err := json.Marshal(value)
	c.Assert(err, qt.IsNil)
	cat.Apply(objects.Changes{Revision: version, Objects: []objects.Object{{Kind: kind, Name: name, Version: version, Value: raw}}})
}

// twoEngines is a relay with two engines that are owned by another box.
type twoEngines struct {
	c       *qt.C
	catalog *catalog.Catalog
	relay   *Relay
	engines map[string]*resource.Endpoint
	arrived [2]atomic.Int64
}

// startTwoEngines starts two engines and the box that owns them. That box calls answer for each request for a grant, and
// onEnd for each report of ended grants.
func startTwoEngines(c *qt.C, answer func(w *twoEngines, rw http.ResponseWriter, req *grant.Request), onEnd func(body string)) *twoEngines {
	w := &twoEngines{c: c, catalog: catalog.New(), engines: map[string]*resource.Endpoint{}}
	owners := coordinator.Map{Cell: "c", Generation: 1}
	for i := range w.arrived {
		address := startServer(c, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			w.arrived[i].Add(1)
			rw.Header().Set("Content-Type", "text/event-stream")
			_, _ = rw.Write([]byte("data: x\n\n"))
		}))
		name := fmt.Sprint("e", i)
		w.engines[name] = &resource.Endpoint{Service: "s", Address: address, Zone: "z", Slots: 4, BaseModel: "base"}
		owners.Owners = append(owners.Owners, coordinator.Ownership{Engine: name, Owner: "far", Epoch: 1})
	}
	ownerPeer := http.NewServeMux()
	ownerPeer.HandleFunc("POST /peer/end", func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		c.Check(err, qt.IsNil)
		onEnd(string(body))
		rw.WriteHeader(http.StatusNoContent)
	})
	ownerPeer.HandleFunc("POST /peer/acquire", func(rw http.ResponseWriter, r *http.Request) {
		var req grant.Request
		c.Check(json.NewDecoder(r.Body).Decode(&req), qt.IsNil)
		answer(w, rw, &req)
	})
	owners.Members = []coordinator.Member{{Box: "far", Zone: "z", Peer: startServer(c, ownerPeer)}}
	putObject(c, w.catalog, 1, string(resource.KindRouting), catalog.RoutingName, &resource.Routing{
		Version: 1, Services: []resource.RouteService{{Name: "s", Engine: &resource.EngineClass{Batch: 4, KVTokens: 1000, AdapterSlots: 4, WeightsMB: 100}}},
		Routes: []resource.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: resource.RouteStream, Attempts: 2, Timeout: resource.Duration(5 * time.Second),
			Objective: resource.Duration(time.Second), Targets: []resource.Target{{Service: "s", Weight: 1}},
		}},
	})
	for name, e := range w.engines {
		putObject(c, w.catalog, 10, string(resource.KindEndpoint), name, e)
	}
	putObject(c, w.catalog, 1, coordinator.MapKind, "c", owners)
	w.relay = New(Config{
		Box: "near", Zone: "z", Catalog: w.catalog, Owners: owner.NewSet(owner.SetConfig{}), Wire: plainWire{}, Scope: tally.NoopScope,
		Grants:    grant.NewClient(grant.ClientConfig{HTTP: &http.Client{Transport: httpx.NewTransport(2)}, Scope: tally.NoopScope}),
		Endpoints: &http.Client{Transport: httpx.NewTransport(2)}, Budget: BudgetConfig{Allowance: 10, Boxes: func() int { return 1 }},
		Leaving: func() time.Duration { return 0 }, StoreAge: func() time.Duration { return 0 },
		Quarantine: quarantine.NewClient(quarantine.ClientConfig{
			Register: quarantine.NewRegister(quarantine.RegisterConfig{CrashLimit: 3, HoldTime: time.Minute}), Fleet: soleBoxFleet{}, Scope: tally.NoopScope,
		}),
	})
	return w
}

// soleBoxFleet is a fleet that consists of a single box.
type soleBoxFleet struct{}

func (soleBoxFleet) Keepers(quarantine.Fingerprint) (others []netip.AddrPort, here bool) {
	return nil, true
}

func (soleBoxFleet) OtherBoxes() []netip.AddrPort { return nil }

func (soleBoxFleet) Coordinator() (netip.AddrPort, bool) { return netip.AddrPort{}, false }

func (soleBoxFleet) PublishedHeld() (all []quarantine.Held, changed bool) { return nil, false }

// sendRequest sends one request through the relay and returns the answer.
func (w *twoEngines) sendRequest() *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	w.serveRequest(recorder)
	return recorder
}

// serveRequest sends one request through the relay, which writes the answer to rw.
func (w *twoEngines) serveRequest(rw http.ResponseWriter) {
	req := httptest.NewRequest(http.MethodPost, "http://h/x", strings.NewReader("prompt"))
	req.Header.Set("Id", "id")
	w.relay.ServeHTTP(rw, req)
}

// checkOnlyOtherReached checks that no request reached the engine untouched and that one request reached the other
// engine.
func (w *twoEngines) checkOnlyOtherReached(untouched int64) {
	w.c.Assert(untouched >= 0, qt.IsTrue)
	w.c.Check(w.arrived[untouched].Load(), qt.Equals, int64(0))
	w.c.Check(w.arrived[1-untouched].Load(), qt.Equals, int64(1))
}

// TestNoRequestIsSentToEngineThatStartedLeaving guards against using a grant that arrives after its engine has
// started to leave.
func TestNoRequestIsSentToEngineThatStartedLeaving(t *testing.T) {
	c := qt.New(t)
	var leavingEngine atomic.Int64
	leavingEngine.Store(-1)
	w := startTwoEngines(c, func(w *twoEngines, rw http.ResponseWriter, req *grant.Request) {
		if leavingEngine.CompareAndSwap(-1, int64(req.Engine[1]-'0')) {
			leaving := *w.engines[req.Engine]
			leaving.Leaving = true
			putObject(c, w.catalog, 11, string(resource.KindEndpoint), req.Engine, &leaving)
		}
		httpx.WriteJSON(rw, http.StatusOK, map[string]any{"id": 1})
	}, func(string) {})
	answer := w.sendRequest()
	c.Check(answer.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", answer.Body))
	w.checkOnlyOtherReached(leavingEngine.Load())
}

// TestRequestTriesNextEngineWhenAdapterLoadFails guards against failing a request when another engine can serve it.
// Both engines offer to load the adapter, and the load at the chosen engine fails.
func TestRequestTriesNextEngineWhenAdapterLoadFails(t *testing.T) {
	c := qt.New(t)
	var failedEngine atomic.Int64
	failedEngine.Store(-1)
	w := startTwoEngines(c, func(_ *twoEngines, rw http.ResponseWriter, req *grant.Request) {
		switch {
		case req.LocalOnly:
			offer := result.New(result.TryNext, "")
			offer.RetryAfter = 300 * time.Millisecond
			offer.Write(rw, "")
		case failedEngine.CompareAndSwap(-1, int64(req.Engine[1]-'0')):
			result.New(result.LoadFailed, "").Write(rw, "")
		default:
			httpx.WriteJSON(rw, http.StatusOK, map[string]any{"id": 1})
		}
	}, func(string) {})
	answer := w.sendRequest()
	c.Check(answer.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", answer.Body))
	w.checkOnlyOtherReached(failedEngine.Load())
}

// TestRequestWaitsForOwnersOfOtherEngines guards against refusing a request for the wait at one engine while the other
// engines change their owners. The owner of the first engine cannot start it in time; the second engine has no owner at
// first.
func TestRequestWaitsForOwnersOfOtherEngines(t *testing.T) {
	for _, tt := range []struct {
		name string
		// ownedAfter is when the second engine gets its owner, zero for never.
		ownedAfter time.Duration
		wantStatus int
		// minTime and maxTime limit the time until the answer. Requests look for owners for half of their objective of 1 s.
		minTime, maxTime time.Duration
	}{
		{name: "owner in time", ownedAfter: 200 * time.Millisecond, wantStatus: http.StatusOK, minTime: 200 * time.Millisecond, maxTime: time.Second},
		{name: "no owner", wantStatus: http.StatusServiceUnavailable, minTime: 300 * time.Millisecond, maxTime: time.Second},
		{name: "owned and busy", ownedAfter: time.Nanosecond, wantStatus: http.StatusServiceUnavailable, maxTime: 300 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := startTwoEngines(c, func(_ *twoEngines, rw http.ResponseWriter, req *grant.Request) {
				if req.Engine == "e1" && tt.wantStatus == http.StatusOK {
					httpx.WriteJSON(rw, http.StatusOK, map[string]any{"id": 1})
					return
				}
				offer := result.New(result.TryNext, "")
				offer.RetryAfter = 6 * time.Second
				offer.Write(rw, "")
			}, func(string) {})
			both, _, found := w.catalog.Map("c")
			c.Assert(found, qt.IsTrue)
			first := both
			first.Generation, first.Owners = 2, both.Owners[:1]
			putObject(c, w.catalog, 2, coordinator.MapKind, "c", first)
			both.Generation = 3
			setOwner := func() { putObject(c, w.catalog, 3, coordinator.MapKind, "c", both) }
			if tt.ownedAfter > 0 {
				timer := time.AfterFunc(tt.ownedAfter, setOwner)
				defer timer.Stop()
			}
			begun := time.Now()
			answer := w.sendRequest()
			took := time.Since(begun)
			c.Check(answer.Code, qt.Equals, tt.wantStatus, qt.Commentf("%s", answer.Body))
			c.Check(took >= tt.minTime && took <= tt.maxTime, qt.IsTrue, qt.Commentf("answered after %s", took))
		})
	}
}

// TestCrashedEngineDoesNotSpendRetryBudget guards against failed requests when many engines crash at once, for
// example a sixth of them. Nothing listens at the first granted engine, and the retry budget is used up. Because the
// request has not arrived anywhere, it must go to the next engine, and the owner must be notified of the reason.
func TestCrashedEngineDoesNotSpendRetryBudget(t *testing.T) {
	c := qt.New(t)
	endReports := make(chan string, 4)
	w := startTwoEngines(c, func(_ *twoEngines, rw http.ResponseWriter, _ *grant.Request) {
		httpx.WriteJSON(rw, http.StatusOK, map[string]any{"id": 1})
	}, func(body string) { endReports <- body })
	closed := httptest.NewServer(nil)
	address := netip.MustParseAddrPort(strings.TrimPrefix(closed.URL, "http://"))
	closed.Close()
	for _, name := range []string{"e0", "e1"} {
		if placement.Rank("base.a@1", []string{"e0", "e1"})[0] == name {
			crashed := *w.engines[name]
			crashed.Address = address
			putObject(c, w.catalog, 11, string(resource.KindEndpoint), name, &crashed)
		}
	}
	w.relay.budgets = newBudgets(BudgetConfig{Boxes: func() int { return 1 << 20 }})
	w.relay.budgets.earn("s")
	for w.relay.budgets.spend("s") {
		c.Logf("took one retry from the budget")
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return w.relay.cfg.Grants.Serve(ctx) })
	answer := w.sendRequest()
	c.Check(answer.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", answer.Body))
	c.Check(w.arrived[0].Load()+w.arrived[1].Load(), qt.Equals, int64(1))
	c.Check(<-endReports, qt.Contains, fmt.Sprintf(`"end":%d`, owner.EndNotListening))
	cancel()
	c.Check(group.Wait(), qt.ErrorIs, context.Canceled)
}
