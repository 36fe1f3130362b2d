package grant_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/engineload"
	"github.com/bellgap/bellgap/internal/grant"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/result"
)

func newClient() *grant.Client {
	return grant.NewClient(grant.ClientConfig{HTTP: &http.Client{Transport: httpx.NewTransport(2)}, Scope: tally.NoopScope})
}

func startServer(c *qt.C, h http.Handler) netip.AddrPort {
	s := httptest.NewServer(h)
	c.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

func TestAcquire(t *testing.T) {
	granted := func(w http.ResponseWriter) { httpx.WriteJSON(w, http.StatusOK, map[string]any{"id": 7}) }
	for _, tt := range []struct {
		name   string
		answer func(w http.ResponseWriter, r *http.Request)
		want   result.Code
	}{
		{"granted at once", func(w http.ResponseWriter, _ *http.Request) { granted(w) }, result.OK},
		{"granted after a wait with keepalives", func(w http.ResponseWriter, _ *http.Request) {
			for range 10 {
				w.WriteHeader(http.StatusProcessing)
				time.Sleep(40 * time.Millisecond)
			}
			granted(w)
		}, result.OK},
		{"refused", func(w http.ResponseWriter, _ *http.Request) { result.New(result.TryNext, "").Write(w, "") }, result.TryNext},
		{"silent", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, result.OwnerSilent},
		{"answer is not valid JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("?")) }, result.OwnerSilent},
		{"not found on the other box", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }, result.OwnerSilent},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			address := startServer(c, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var req grant.Request
				c.Check(json.NewDecoder(r.Body).Decode(&req), qt.IsNil)
				c.Check(req.Engine, qt.Equals, "e-1")
				tt.answer(w, r)
			}))
			g, err := newClient().Acquire(c.Context(), address, grant.Request{Engine: "e-1"})
			if tt.want == result.OK {
				c.Assert(err, qt.IsNil)
				c.Check(g.End, qt.IsNotNil)
				return
			}
			c.Check(result.Is(err, tt.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// TestEndsAreSentTogether ends five grants from one owner. The owner must receive all ends, with the longest gaps of the streams. The client may combine several ends
// in one message.
func TestEndsAreSentTogether(t *testing.T) {
	c := qt.New(t)
	type endMessage struct {
		Ends []struct {
			ID  uint64        `json:"id"`
			End owner.End     `json:"end"`
			Gap time.Duration `json:"gap"`
		} `json:"ends"`
	}
	received := make(chan endMessage, 16)
	next := 0
	mux := http.NewServeMux()
	mux.HandleFunc("POST /peer/acquire", func(w http.ResponseWriter, _ *http.Request) {
		next++
		httpx.WriteJSON(w, http.StatusOK, map[string]any{"id": next})
	})
	mux.HandleFunc("POST /peer/end", func(w http.ResponseWriter, r *http.Request) {
		var m endMessage
		c.Check(json.NewDecoder(r.Body).Decode(&m), qt.IsNil)
		received <- m
		w.WriteHeader(http.StatusNoContent)
	})
	address := startServer(c, mux)
	client := newClient()
	ctx, cancel := context.WithCancel(c.Context())
	var group errgroup.Group
	group.Go(func() error { return client.Serve(ctx) })
	for range 5 {
		g, err := client.Acquire(ctx, address, grant.Request{Engine: "e-1"})
		c.Assert(err, qt.IsNil)
		g.RecordGap(450 * time.Millisecond)
		g.End(owner.EndBroken)
	}
	got := map[uint64]owner.End{}
	for len(got) < 5 {
		for _, e := range (<-received).Ends {
			got[e.ID] = e.End
			c.Check(e.Gap, qt.Equals, 450*time.Millisecond)
		}
	}
	c.Check(got, qt.DeepEquals, map[uint64]owner.End{1: owner.EndBroken, 2: owner.EndBroken, 3: owner.EndBroken, 4: owner.EndBroken, 5: owner.EndBroken})
	cancel()
	c.Check(group.Wait(), qt.ErrorIs, context.Canceled)
}

// TestServerRejectsUnownedEngine sends a request for an engine that the box doesn't own, and a message that is not valid JSON.
// The server must reject both.
func TestServerRejectsUnownedEngine(t *testing.T) {
	c := qt.New(t)
	mux := http.NewServeMux()
	grant.NewServer(grant.ServerConfig{Owners: owner.NewSet(owner.SetConfig{})}).Register(mux)
	address := startServer(c, mux)
	_, err := newClient().Acquire(c.Context(), address, grant.Request{Engine: "e-1"})
	c.Check(result.Is(err, result.NotOwner), qt.IsTrue, qt.Commentf("%v", err))
	resp, err := http.Post("http://"+address.String()+"/peer/acquire", "application/json", strings.NewReader("{"))
	c.Assert(err, qt.IsNil)
	c.Check(resp.Body.Close(), qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusBadRequest)
}

// TestLoadOfAnswersIsRecorded checks that a box records the load in grants and refusals, and ignores one that is malformed or of another
// engine.
func TestLoadOfAnswersIsRecorded(t *testing.T) {
	for _, test := range []struct {
		header string
		status int
		known  bool
	}{
		{`{"engine":"e-1","epoch":4,"seq":2,"rate":9000}`, http.StatusOK, true},
		{`{"engine":"e-1","epoch":4,"seq":2,"rate":9000}`, http.StatusServiceUnavailable, true},
		{`{"engine":"e-2","epoch":4,"seq":2,"rate":9000}`, http.StatusOK, false},
		{`{"engine":"e-1","epoch":4,"seq":2,"rate":-1}`, http.StatusOK, false},
		{`{"engine":7}`, http.StatusOK, false},
		{``, http.StatusOK, false},
	} {
		c := qt.New(t)
		address := startServer(c, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Bellgap-Engine-Load", test.header)
			httpx.WriteJSON(w, test.status, map[string]any{"id": 7})
		}))
		table := engineload.NewTable(engineload.TableConfig{Scope: tally.NoopScope})
		client := grant.NewClient(grant.ClientConfig{HTTP: &http.Client{Transport: httpx.NewTransport(2)}, Scope: tally.NoopScope, EngineLoads: table})
		// A call whose answer takes too long on a busy machine ends without one.
		_, err := client.Acquire(c.Context(), address, grant.Request{Engine: "e-1"})
		for err != nil && !strings.Contains(err.Error(), fmt.Sprint("status ", test.status)) {
			_, err = client.Acquire(c.Context(), address, grant.Request{Engine: "e-1"})
		}
		c.Check(err == nil, qt.Equals, test.status == http.StatusOK)
		r, _, ok := table.Get(time.Now(), "e-1", 0)
		c.Check(ok, qt.Equals, test.known, qt.Commentf("%s", test.header))
		c.Check(!ok || r.PrefillRate == 9000, qt.IsTrue)
	}
}

// TestGrantEndsWhileItsAnswerArrives guards against a data race between a box that gives a grant up, as it is cut off, and an answer that ends just then.
func TestGrantEndsWhileItsAnswerArrives(t *testing.T) {
	c := qt.New(t)
	address := startServer(c, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		httpx.WriteJSON(w, http.StatusOK, map[string]any{"id": 7})
	}))
	g, err := newClient().Acquire(c.Context(), address, grant.Request{Engine: "e-1"})
	c.Assert(err, qt.IsNil)
	var group errgroup.Group
	group.Go(func() error { g.RecordGap(time.Millisecond); return nil })
	g.End(owner.EndBroken)
	c.Check(group.Wait(), qt.IsNil)
}
