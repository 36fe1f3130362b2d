package origin_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/origin"
)

const waitLimit = 5 * time.Second

// memoryStore is a store of one kind of objects.
type memoryStore struct {
	objects.API

	mu            sync.Mutex
	era, revision int64
	values        map[string]objects.Object
	// failures is how many of the next writes fail with failure. A write that fails with ErrOutcomeUnknown takes effect.
	failures int
	failure  error
	down     bool
	lists    int
}

func newMemoryStore() *memoryStore { return &memoryStore{era: 1, values: map[string]objects.Object{}} }

func (s *memoryStore) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// Get implements objects.API.
func (s *memoryStore) Get(_ context.Context, _, name string) (objects.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.values[name]
	if !ok {
		return objects.Object{Version: objects.NewPosition(s.era, 0)}, objects.ErrNotFound
	}
	return o, nil
}

// List implements objects.API. A page has two objects.
func (s *memoryStore) List(_ context.Context, kinds []string, after string) (objects.Changes, error) {
	const pageSize = 2
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.down {
		return objects.Changes{}, objects.ErrUnavailable
	}
	page := objects.Changes{Revision: objects.NewPosition(s.era, s.revision)}
	var names []string
	for name, o := range s.values {
		if o.Kind == kinds[0] && name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for i, name := range names {
		if i == pageSize {
			page.Next = names[i-1]
			break
		}
		page.Objects = append(page.Objects, s.values[name])
	}
	return page, nil
}

// Put implements objects.API.
func (s *memoryStore) Put(_ context.Context, kind, name string, expect objects.Position, value json.RawMessage) (objects.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, objects.ErrUnavailable
	}
	known, exists := s.values[name]
	if exists != expect.HasRevision() || exists && known.Version != expect {
		return 0, objects.ErrConflict
	}
	fails := s.failures > 0
	if fails {
		s.failures--
	}
	if fails && !errors.Is(s.failure, objects.ErrOutcomeUnknown) {
		return 0, s.failure
	}
	s.revision++
	version := objects.NewPosition(s.era, s.revision)
	s.values[name] = objects.Object{Kind: kind, Name: name, Version: version, Value: value}
	if fails {
		return 0, s.failure
	}
	return version, nil
}

// Delete implements objects.API.
func (s *memoryStore) Delete(_ context.Context, _, name string, expect objects.Position) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[name].Version != expect {
		return objects.ErrConflict
	}
	delete(s.values, name)
	return nil
}

// restore begins the next era of the store with its present content.
func (s *memoryStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for name, o := range s.values {
		o.Version = objects.NewPosition(s.era, o.Version.Revision())
		s.values[name] = o
	}
}

// runArchive runs the archive of a box. The returned function stops it and waits for its end.
func runArchive(store *memoryStore, box string, retention time.Duration) (archive *origin.Archive, stop func()) {
	archive = origin.NewArchive(origin.ArchiveConfig{
		API: store, Box: box, Interval: time.Millisecond, Retention: retention, IsCleaner: func() bool { return true }, Scope: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return archive.Serve(ctx) })
	return archive, func() {
		cancel()
		_ = group.Wait()
	}
}

// findAnew returns what a box that has just started finds in the archive.
func findAnew(store *memoryStore, attempt string) (version string, known bool, err error) {
	r, known, err := origin.NewArchive(origin.ArchiveConfig{API: store, Box: "new", Retention: time.Minute, Scope: tally.NoopScope}).Find(context.Background(), attempt)
	return r.Version, known, err
}

// TestArchiveOutlivesItsBox guards against records that are lost with the box that archived them: a new box finds them in the store.
func TestArchiveOutlivesItsBox(t *testing.T) {
	for _, tt := range []struct {
		name    string
		records []origin.Record
		prepare func(s *memoryStore)
		// then runs after the box has stopped.
		then    func(s *memoryStore)
		version string
		known   bool
		fails   bool
	}{
		{name: "one record", records: []origin.Record{record("a", "v1", 0)}, version: "v1", known: true},
		{name: "another attempt", records: []origin.Record{record("b", "v1", 0)}},
		{name: "moved before its first event", records: []origin.Record{record("a", "v1", 0), record("a", "v2", 1)}, version: "v2", known: true},
		{name: "two versions of one sequence", records: []origin.Record{record("a", "v1", 1), record("a", "v2", 1)}},
		{name: "too long", records: []origin.Record{record("a", strings.Repeat("v", 1000), 0)}},
		{
			name: "write refused", records: []origin.Record{record("a", "v1", 0)}, version: "v1", known: true,
			prepare: func(s *memoryStore) { s.failures, s.failure = 1, objects.ErrUnavailable },
		},
		{
			name: "answer of a write lost", records: []origin.Record{record("a", "v1", 0), record("b", "v1", 0)}, version: "v1", known: true,
			prepare: func(s *memoryStore) { s.failures, s.failure = 1, objects.ErrOutcomeUnknown },
		},
		{name: "store restored since", records: []origin.Record{record("a", "v1", 0)}, then: (*memoryStore).restore},
		{
			name: "store away", records: []origin.Record{record("a", "v1", 0)}, fails: true,
			then: func(s *memoryStore) { s.withLock(func() { s.down = true }) },
		},
		{
			name: "malformed object", records: []origin.Record{record("a", "v1", 0)}, version: "v1", known: true,
			prepare: func(s *memoryStore) {
				s.values["other-000"] = objects.Object{Kind: origin.ArchiveKind, Name: "other-000", Version: 1, Value: json.RawMessage(`{"groups":7}`)}
			},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			store := newMemoryStore()
			if tt.prepare != nil {
				tt.prepare(store)
			}
			archive, stop := runArchive(store, "box-1", time.Minute)
			for _, r := range tt.records {
				archive.Add(r)
			}
			for deadline := time.Now().Add(waitLimit); tt.known && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
				if _, known, _ := findAnew(store, "a"); known && archive.Len() == 0 {
					break
				}
			}
			stop()
			if tt.then != nil {
				tt.then(store)
			}
			version, known, err := findAnew(store, "a")
			c.Check(known, qt.Equals, tt.known)
			c.Check(err != nil, qt.Equals, tt.fails)
			if tt.known {
				c.Check(version, qt.Equals, tt.version)
			}
		})
	}
}

// TestRestartedBoxOverwritesNoRecentObject guards against a box that starts again under its name and overwrites what it archived before.
func TestRestartedBoxOverwritesNoRecentObject(t *testing.T) {
	c := qt.New(t)
	store := newMemoryStore()
	const processes, records = 5, 400
	for p := range processes {
		archive, stop := runArchive(store, "box-1", time.Minute)
		for i := range records {
			archive.Add(record(fmt.Sprint(p, "-", i), fmt.Sprint("v", p), 0))
		}
		stop()
	}
	for p := range processes {
		for _, i := range []int{0, records / 2, records - 1} {
			version, known, err := findAnew(store, fmt.Sprint(p, "-", i))
			c.Assert(err, qt.IsNil)
			c.Check(known, qt.IsTrue, qt.Commentf("record %d of process %d", i, p))
			c.Check(version, qt.Equals, fmt.Sprint("v", p))
		}
	}
}

// TestArchiveIsBounded guards against objects without number: a box writes a ring of them and keeps the newest records.
func TestArchiveIsBounded(t *testing.T) {
	c := qt.New(t)
	store := newMemoryStore()
	archive, stop := runArchive(store, "box-1", time.Minute)
	const records = 50_000
	for i := range records {
		archive.Add(record(fmt.Sprint(i), "v1", 0))
	}
	stop()
	store.withLock(func() {
		c.Check(len(store.values) <= 128, qt.IsTrue, qt.Commentf("%d objects", len(store.values)))
		for name, o := range store.values {
			c.Check(len(o.Value) < 4<<10, qt.IsTrue, qt.Commentf("%s has %d bytes", name, len(o.Value)))
		}
	})
	_, known, err := findAnew(store, fmt.Sprint(records-1))
	c.Check(err, qt.IsNil)
	c.Check(known, qt.IsTrue)
}

// TestExpiredObjectsAreDeleted guards against objects that stay for good, also those of boxes that are gone.
func TestExpiredObjectsAreDeleted(t *testing.T) {
	c := qt.New(t)
	store := newMemoryStore()
	gone, stop := runArchive(store, "gone", time.Minute)
	gone.Add(record("a", "v1", 0))
	stop()
	archive, stop := runArchive(store, "box-1", 100*time.Millisecond)
	defer stop()
	archive.Add(record("b", "v1", 0))
	count := func() (n int) {
		store.withLock(func() { n = len(store.values) })
		return n
	}
	c.Assert(count() > 0, qt.IsTrue)
	for deadline := time.Now().Add(waitLimit); count() > 0 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
	}
	c.Check(count(), qt.Equals, 0)
}

// TestReadsAreBounded guards against a call to the store for each caller that names an attempt which nobody knows.
func TestReadsAreBounded(t *testing.T) {
	for _, tt := range []struct {
		name string
		down bool
	}{{"store answers", false}, {"store away", true}} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			store := newMemoryStore()
			store.down = tt.down
			archive := origin.NewArchive(origin.ArchiveConfig{API: store, Box: "box-1", Retention: time.Minute, Scope: tally.NoopScope})
			for i := range 100 {
				_, known, err := archive.Find(t.Context(), fmt.Sprint("unknown-", i))
				c.Assert(known, qt.IsFalse)
				c.Assert(err != nil, qt.Equals, tt.down)
			}
			c.Check(store.lists <= 2, qt.IsTrue, qt.Commentf("%d reads", store.lists))
		})
	}
}
