package origin_test

import (
	"context"
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

	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/origin"
)

// waitStored waits until the archive contains an attempt, and returns how long that took.
func waitStored(c *qt.C, store *memoryStore, attempt string) time.Duration {
	begun := time.Now()
	for time.Since(begun) < waitLimit {
		if _, known, _ := findAnew(store, attempt); known {
			return time.Since(begun)
		}
		time.Sleep(time.Millisecond)
	}
	c.Fatalf("%s is not stored", attempt)
	return 0
}

// TestMovedStreamIsNotFoundAtItsFirstVersion guards against a stream that is resumed at the version of the first endpoint that it was sent
// to, although its first event came from another one. The request is sent to an engine of v1, which turns it away later; the
// store takes no writes from then on; an engine of v2 writes the first events; all boxes end.
func TestMovedStreamIsNotFoundAtItsFirstVersion(t *testing.T) {
	c := qt.New(t)
	store := newMemoryStore()
	archive, stop := runArchive(store, "box-1", time.Minute)
	fleet := releaseFleet{&atomic.Bool{}}
	fleet.hasTwoVersions.Store(true)
	client := origin.NewClient(origin.ClientConfig{
		HTTP: http.DefaultClient, Scope: tally.NoopScope, Fleet: fleet, Archive: archive,
		Register: origin.NewRegister(origin.RegisterConfig{MaxRecords: 100, TTL: time.Minute}),
	})
	client.Record(record("a", "v1", 0))
	client.Record(record("b", "v1", 0))
	client.Begin(record("b", "v1", 0))
	waitStored(c, store, "b")
	store.withLock(func() { store.down = true })
	client.Record(record("a", "v2", 1))
	client.Begin(record("a", "v2", 1))
	time.Sleep(200 * time.Millisecond)
	stop()
	store.withLock(func() { store.down = false })
	version, known, err := findAnew(store, "a")
	c.Assert(err, qt.IsNil)
	c.Check(!known || version == "v2", qt.IsTrue, qt.Commentf("found at %s", version))
}

// TestArchiveGoesOnAfterAFailedWrite guards against an archive that writes nothing for long after a single failed write, so that all streams
// that begin meanwhile are unknown if all boxes end.
func TestArchiveGoesOnAfterAFailedWrite(t *testing.T) {
	const longest = 250 * time.Millisecond
	for _, failure := range []error{objects.ErrOutcomeUnknown, objects.ErrUnavailable} {
		t.Run(failure.Error(), func(t *testing.T) {
			c := qt.New(t)
			store := newMemoryStore()
			archive, stop := runArchive(store, "box-1", time.Minute)
			defer stop()
			archive.Add(record("first", "v1", 0))
			waitStored(c, store, "first")
			store.withLock(func() { store.failures, store.failure = 1, failure })
			archive.Add(record("a", "v1", 0))
			time.Sleep(20 * time.Millisecond)
			archive.Add(record("b", "v1", 0))
			took := waitStored(c, store, "b")
			c.Check(took <= longest, qt.IsTrue, qt.Commentf("%v", took))
		})
	}
}

// TestRecentRecordIsFound guards against a reader that does not find for long what was archived after its last read, as while boxes are lost
// one after the other. Callers resume their streams within some 100 ms.
func TestRecentRecordIsFound(t *testing.T) {
	const longest = 400 * time.Millisecond
	c := qt.New(t)
	store := newMemoryStore()
	archive, stop := runArchive(store, "box-1", time.Minute)
	defer stop()
	reader, stopReader := runArchive(store, "box-2", time.Minute)
	defer stopReader()
	_, known, err := reader.Find(t.Context(), "unknown")
	c.Assert(err, qt.IsNil)
	c.Assert(known, qt.IsFalse)
	archive.Add(record("a", "v1", 0))
	waitStored(c, store, "a")
	begun := time.Now()
	for known = false; !known && time.Since(begun) < waitLimit; time.Sleep(10 * time.Millisecond) {
		_, known, err = reader.Find(t.Context(), "a")
		c.Assert(err, qt.IsNil)
	}
	c.Check(time.Since(begun) <= longest, qt.IsTrue, qt.Commentf("%v", time.Since(begun)))
}

// slowListStore takes listTime for each list.
type slowListStore struct {
	*memoryStore
	listTime time.Duration
}

// List implements objects.API.
func (s slowListStore) List(ctx context.Context, kinds []string, after string) (objects.Changes, error) {
	time.Sleep(s.listTime)
	return s.memoryStore.List(ctx, kinds, after)
}

// largeFleet is a fleet in which another box keeps all records and reads the archive.
type largeFleet struct{ other netip.AddrPort }

func (f largeFleet) Keepers(string, int) []netip.AddrPort          { return []netip.AddrPort{f.other} }
func (f largeFleet) IsArchived(string) (archived bool, era int64)  { return true, 1 }
func (f largeFleet) ArchiveReaders(string) []netip.AddrPort        { return []netip.AddrPort{f.other} }
func (f largeFleet) Archivist(string) (netip.AddrPort, bool, bool) { return f.other, false, true }

// TestSlowReadOfTheArchiveHidesNoRecords guards against a box that counts as unresponsive, and is not asked for what it keeps, because its
// read of the archive takes longer than a question may.
func TestSlowReadOfTheArchiveHidesNoRecords(t *testing.T) {
	c := qt.New(t)
	store := slowListStore{newMemoryStore(), 200 * time.Millisecond}
	kept := origin.NewRegister(origin.RegisterConfig{MaxRecords: 100, TTL: time.Minute})
	kept.Put(time.Now(), record("kept", "v1", 0), false)
	mux := http.NewServeMux()
	origin.NewServer(origin.ServerConfig{
		Register: kept, Archive: origin.NewArchive(origin.ArchiveConfig{API: store, Box: "other", Retention: time.Minute, Scope: tally.NoopScope}),
	}).Register(mux)
	server := httptest.NewServer(mux)
	c.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	client := origin.NewClient(origin.ClientConfig{
		HTTP: http.DefaultClient, Scope: tally.NoopScope, Register: origin.NewRegister(origin.RegisterConfig{MaxRecords: 100, TTL: time.Minute}),
		Fleet:   largeFleet{netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))},
		Archive: origin.NewArchive(origin.ArchiveConfig{API: store, Box: "this", Retention: time.Minute, Scope: tally.NoopScope}),
	})
	_, known := client.Find(t.Context(), "kept")
	c.Assert(known, qt.IsTrue)
	_, known = client.Find(t.Context(), "unknown")
	c.Assert(known, qt.IsFalse)
	_, known = client.Find(t.Context(), "kept")
	c.Check(known, qt.IsTrue)
}

// releaseFleet is a fleet of one box. Its records are archived once a second version serves.
type releaseFleet struct{ hasTwoVersions *atomic.Bool }

func (f releaseFleet) Keepers(string, int) []netip.AddrPort { return nil }
func (f releaseFleet) IsArchived(string) (archived bool, era int64) {
	return f.hasTwoVersions.Load(), 1
}
func (f releaseFleet) ArchiveReaders(string) []netip.AddrPort { return nil }
func (f releaseFleet) Archivist(string) (netip.AddrPort, bool, bool) {
	return netip.AddrPort{}, true, true
}

// TestEarlierStreamsAreArchivedWithoutNewOnes guards against streams that are lost with all boxes because their box begins no other stream of
// the service after the second version has appeared. A box of a large fleet serves some services once in ten seconds.
func TestEarlierStreamsAreArchivedWithoutNewOnes(t *testing.T) {
	c := qt.New(t)
	store := newMemoryStore()
	archive, stop := runArchive(store, "box-1", time.Minute)
	defer stop()
	fleet := releaseFleet{&atomic.Bool{}}
	client := origin.NewClient(origin.ClientConfig{
		HTTP: http.DefaultClient, Scope: tally.NoopScope, Fleet: fleet, Archive: archive,
		Register: origin.NewRegister(origin.RegisterConfig{MaxRecords: 100, TTL: time.Minute}),
	})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return client.Serve(ctx) })
	client.Record(record("a", "v1", 0))
	client.Begin(record("a", "v1", 0))
	fleet.hasTwoVersions.Store(true)
	time.Sleep(time.Second)
	_, known, err := findAnew(store, "a")
	c.Assert(err, qt.IsNil)
	c.Check(known, qt.IsTrue)
	cancel()
	_ = group.Wait()
}
