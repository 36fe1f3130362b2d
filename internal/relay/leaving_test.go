package relay

import (
	"encoding/json"
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

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/grant"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/resource"
)

// plainWire sends no headers but the request's id and takes every answer for the endpoint's own.
type plainWire struct{}

func (plainWire) ReadHead(h http.Header) (Head, error) {
	return Head{ID: h.Get("Id"), Deadline: 5 * time.Second, Model: "base", Adapter: "a", Prompt: 10, Output: 10}, nil
}
func (plainWire) WriteAttempt(http.Header, Attempt) {}
func (plainWire) ReadAnswer(int, http.Header) AnswerHead {
	return AnswerHead{ID: "id", Sealed: true}
}
func (plainWire) WriteRetryAfter(http.Header, time.Duration) {}
func (plainWire) EventID([]byte) string                      { return "" }

// servedAddress starts a server and returns where it listens.
func servedAddress(c *qt.C, h http.Handler) netip.AddrPort {
	s := httptest.NewServer(h)
	c.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// put stores an object of the fleet in a catalog.
func put(c *qt.C, cat *catalog.Catalog, version int64, kind, name string, value any) {
	if spec, ok := value.(resource.Spec); ok {
		value = resource.Resource{Kind: resource.Kind(kind), Name: name, Generation: version, Spec: spec}
	}
	raw, err := json.Marshal(value)
	c.Assert(err, qt.IsNil)
	cat.Apply(objects.Changes{Revision: version, Objects: []objects.Object{{Kind: kind, Name: name, Version: version, Value: raw}}})
}

// TestNothingIsSentToAnEngineThatBeganToLeave: the grant of the first engine asked comes when the engine has begun to leave.
func TestNothingIsSentToAnEngineThatBeganToLeave(t *testing.T) {
	c := qt.New(t)
	cat := catalog.New()
	var arrived [2]atomic.Int64
	var left atomic.Int64
	left.Store(-1)
	version := int64(10)
	engines := map[string]*resource.Endpoint{}
	owners := coordinator.Map{Cell: "c", Generation: 1}
	for i := range arrived {
		address := servedAddress(c, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			arrived[i].Add(1)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = w.Write([]byte("data: x\n\n"))
		}))
		name := fmt.Sprint("e", i)
		engines[name] = &resource.Endpoint{Service: "s", Address: address, Zone: "z", Slots: 4, BaseModel: "base"}
		owners.Owners = append(owners.Owners, coordinator.Ownership{Engine: name, Owner: "far", Epoch: 1})
	}
	far := http.NewServeMux()
	far.HandleFunc("POST /peer/end", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	far.HandleFunc("POST /peer/acquire", func(w http.ResponseWriter, r *http.Request) {
		var ask grant.Ask
		c.Check(json.NewDecoder(r.Body).Decode(&ask), qt.IsNil)
		if left.CompareAndSwap(-1, int64(ask.Engine[1]-'0')) {
			leaving := *engines[ask.Engine]
			leaving.Leaving = true
			put(c, cat, version+1, string(resource.KindEndpoint), ask.Engine, &leaving)
		}
		httpx.WriteJSON(w, http.StatusOK, map[string]any{"id": 1})
	})
	owners.Members = []coordinator.Member{{Box: "far", Zone: "z", Peer: servedAddress(c, far)}}
	put(c, cat, 1, string(resource.KindRouting), catalog.RoutingName, &resource.Routing{
		Version: 1, Services: []resource.RouteService{{Name: "s", Engine: &resource.EngineClass{Batch: 4, KVTokens: 1000, AdapterSlots: 4, WeightsMB: 100}}},
		Routes: []resource.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: resource.RouteStream, Attempts: 2, Timeout: resource.Duration(5 * time.Second),
			Objective: resource.Duration(time.Second), Targets: []resource.Target{{Service: "s", Weight: 1}},
		}},
	})
	for name, e := range engines {
		put(c, cat, version, string(resource.KindEndpoint), name, e)
	}
	put(c, cat, 1, coordinator.MapKind, "c", owners)
	r := New(Config{
		Box: "near", Zone: "z", Catalog: cat, Owners: owner.NewSet(owner.SetConfig{}), Wire: plainWire{}, Scope: tally.NoopScope,
		Grants:    grant.NewClient(grant.ClientConfig{HTTP: &http.Client{Transport: httpx.NewTransport(2)}, Scope: tally.NoopScope}),
		Endpoints: &http.Client{Transport: httpx.NewTransport(2)}, Budget: BudgetConfig{Allowance: 10, Boxes: func() int { return 1 }},
		Leaving: func() time.Duration { return 0 }, StoreAge: func() time.Duration { return 0 },
	})
	in := httptest.NewRequest(http.MethodPost, "http://h/x", strings.NewReader("prompt"))
	in.Header.Set("Id", "id")
	w := httptest.NewRecorder()
	r.ServeHTTP(w, in)
	c.Check(w.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", w.Body))
	c.Assert(left.Load() >= 0, qt.IsTrue)
	c.Check(arrived[left.Load()].Load(), qt.Equals, int64(0))
	c.Check(arrived[1-left.Load()].Load(), qt.Equals, int64(1))
}
