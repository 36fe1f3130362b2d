package origin_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/origin"
)

func record(attempt, version string, sequence int) origin.Record {
	return origin.Record{Attempt: attempt, Service: "s", Version: version, Sequence: sequence}
}

// TestRegister puts records in sequence and finds one of them.
func TestRegister(t *testing.T) {
	for _, test := range []struct {
		name    string
		put     []origin.Record
		after   time.Duration
		version string
		known   bool
	}{
		{name: "known", put: []origin.Record{record("a", "v1", 0)}, version: "v1", known: true},
		{name: "moved before its first event", put: []origin.Record{record("a", "v1", 0), record("a", "v2", 1)}, version: "v2", known: true},
		{name: "records arrive in the other order", put: []origin.Record{record("a", "v2", 1), record("a", "v1", 0)}, version: "v2", known: true},
		{name: "kept for the whole time", put: []origin.Record{record("a", "v1", 0)}, after: time.Minute, version: "v1", known: true},
		{name: "expired", put: []origin.Record{record("a", "v1", 0)}, after: 3 * time.Minute},
		{name: "without an attempt", put: []origin.Record{record("", "v1", 0)}},
		{name: "too long", put: []origin.Record{record("a", strings.Repeat("v", 1000), 0)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			g := origin.NewRegister(origin.RegisterConfig{MaxRecords: 100, TTL: time.Minute})
			now := time.Unix(1000, 0)
			for _, r := range test.put {
				g.Put(now, r, false)
			}
			found, _, known := g.Find(now.Add(test.after), "a")
			c.Check(known, qt.Equals, test.known)
			c.Check(found.Version, qt.Equals, test.version)
		})
	}
}

// TestRegisterIsBounded puts far more records than allowed. The newest one is always known.
func TestRegisterIsBounded(t *testing.T) {
	c := qt.New(t)
	g := origin.NewRegister(origin.RegisterConfig{MaxRecords: 100, TTL: time.Minute})
	now := time.Unix(1000, 0)
	for i := range 10_000 {
		attempt := fmt.Sprint("attempt-", i)
		g.Put(now, record(attempt, "v1", 0), false)
		_, _, known := g.Find(now, attempt)
		c.Assert(known, qt.IsTrue)
		c.Assert(g.Len() <= 100, qt.IsTrue)
	}
}

// fixedFleet is a fleet whose boxes all keep all records.
type fixedFleet []netip.AddrPort

// Keepers implements origin.Fleet.
func (f fixedFleet) Keepers(_ string, n int) []netip.AddrPort { return f[:min(n, len(f))] }

// IsArchived implements origin.Fleet.
func (f fixedFleet) IsArchived(string) (archived bool, era int64) { return false, 0 }

// Archivist implements origin.Fleet.
func (f fixedFleet) Archivist(string) (box netip.AddrPort, isHere, ok bool) {
	return netip.AddrPort{}, false, false
}

// ArchiveReaders implements origin.Fleet.
func (f fixedFleet) ArchiveReaders(string) []netip.AddrPort { return nil }

// TestFind asks keepers that know different records, none, or do not answer.
func TestFind(t *testing.T) {
	oldRelease := http.NotFoundHandler()
	silent := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// The context ends with the connection only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	malformed := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"known":true,"record":{"attempt":"b"}}`))
	})
	keeper := func(records ...origin.Record) http.Handler {
		g := origin.NewRegister(origin.RegisterConfig{MaxRecords: 100, TTL: time.Minute})
		for _, r := range records {
			g.Put(time.Now(), r, false)
		}
		mux := http.NewServeMux()
		origin.NewServer(origin.ServerConfig{Register: g}).Register(mux)
		return mux
	}
	for _, test := range []struct {
		name    string
		boxes   []http.Handler
		version string
		known   bool
	}{
		{"one knows", []http.Handler{keeper(), keeper(record("a", "v1", 0))}, "v1", true},
		{"none knows", []http.Handler{keeper(), keeper()}, "", false},
		{"no boxes", nil, "", false},
		{"two differ", []http.Handler{keeper(record("a", "v1", 0)), keeper(record("a", "v2", 1))}, "v2", true},
		{"one does not answer", []http.Handler{silent, keeper(record("a", "v1", 0))}, "v1", true},
		{"one is of an older release", []http.Handler{oldRelease, keeper(record("a", "v1", 0))}, "v1", true},
		{"answer about another attempt", []http.Handler{malformed}, "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var fleet fixedFleet
			for _, handler := range test.boxes {
				server := httptest.NewServer(handler)
				c.Cleanup(func() { server.CloseClientConnections(); server.Close() })
				fleet = append(fleet, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
			}
			client := origin.NewClient(origin.ClientConfig{
				HTTP: http.DefaultClient, Fleet: fleet, Scope: tally.NoopScope, Register: origin.NewRegister(origin.RegisterConfig{MaxRecords: 100, TTL: time.Minute}),
			})
			found, known := client.Find(t.Context(), "a")
			c.Check(known, qt.Equals, test.known)
			c.Check(found.Version, qt.Equals, test.version)
		})
	}
}

// TestRecordReachesKeepers records an attempt on one box and finds it on another one, which also knows it after the first is gone.
func TestRecordReachesKeepers(t *testing.T) {
	c := qt.New(t)
	kept := origin.NewRegister(origin.RegisterConfig{MaxRecords: 100, TTL: time.Minute})
	mux := http.NewServeMux()
	origin.NewServer(origin.ServerConfig{Register: kept}).Register(mux)
	server := httptest.NewServer(mux)
	c.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	client := origin.NewClient(origin.ClientConfig{
		HTTP: http.DefaultClient, Fleet: fixedFleet{netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}, Scope: tally.NoopScope,
		Register: origin.NewRegister(origin.RegisterConfig{MaxRecords: 100, TTL: time.Minute}),
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return client.Serve(ctx) })
	client.Record(record("a", "v1", 0))
	for deadline := time.Now().Add(5 * time.Second); kept.Len() == 0 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
	}
	found, firsthand, known := kept.Find(time.Now(), "a")
	c.Check(known, qt.IsTrue)
	c.Check(firsthand, qt.IsFalse)
	c.Check(found, qt.Equals, record("a", "v1", 0))
	cancel()
	c.Check(group.Wait(), qt.ErrorIs, context.Canceled)
}
