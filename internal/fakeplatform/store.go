// Package fakeplatform stands in for the platform: the object API and the box list.
package fakeplatform

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/objects"
)

// pageSize is how many objects a List returns at most.
const pageSize = 500

// historyLimit is how many changes are kept for watches.
const historyLimit = 4096

// Faults are switched on by tests and by POST /faults.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// LoseAnswers lets this many writes take effect and loses their answers.
	LoseAnswers int `json:"lose_answers"`
}

// Counts are the calls taken so far.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

type key struct{ kind, name string }

// Store is the in-memory object store. It implements objects.API without a network.
type Store struct {
	mu       sync.Mutex
	objects  map[key]objects.Object
	history  []objects.Object
	dropped  objects.Position
	revision objects.Position
	changed  chan struct{}
	boxes    []objects.Box
	faults   Faults
	counts   Counts
	// listed is the last list made, for the next page of it.
	listed      objects.Changes
	listedKinds string
}

var _ objects.API = (*Store)(nil)

// New returns an empty Store.
func New() *Store {
	return &Store{objects: map[key]objects.Object{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetBoxes replaces the box list.
func (s *Store) SetBoxes(boxes []objects.Box) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boxes = slices.Clone(boxes)
}

// Counts returns the calls taken so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Snapshot returns a copy of all that is stored, for Restore.
func (s *Store) Snapshot() objects.Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list(nil)
}

// Restore puts an older copy back, as a platform restored from a backup does.
func (s *Store) Restore(c objects.Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = map[key]objects.Object{}
	for _, o := range c.Objects {
		s.objects[key{o.Kind, o.Name}] = o
	}
	s.history, s.dropped, s.revision = nil, c.Revision, c.Revision
	s.listed = objects.Changes{}
	s.wake()
}

// Rewind puts an older copy back and begins the next era.
func (s *Store) Rewind(c objects.Changes) {
	s.mu.Lock()
	era := s.revision.Era() + 1
	s.mu.Unlock()
	next := objects.Changes{Revision: objects.NewPosition(era, c.Revision.Revision())}
	for _, o := range c.Objects {
		o.Version = objects.NewPosition(era, o.Version.Revision())
		next.Objects = append(next.Objects, o)
	}
	s.Restore(next)
}

// Get implements objects.API.
func (s *Store) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if err := s.enter(ctx, false); err != nil {
		return objects.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key{kind, name}]
	if !ok {
		return objects.Object{Version: objects.NewPosition(s.revision.Era(), 0)}, objects.ErrNotFound
	}
	return o, nil
}

// List implements objects.API.
func (s *Store) List(ctx context.Context, kinds []string, after string) (objects.Changes, error) {
	if err := s.enter(ctx, false); err != nil {
		return objects.Changes{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return page(s.list(kinds), after), nil
}

// page cuts the page after a name out of a list in the order of kind and name.
func page(all objects.Changes, after string) objects.Changes {
	path := func(o objects.Object) string { return o.Kind + "/" + o.Name }
	from, found := slices.BinarySearchFunc(all.Objects, after, func(o objects.Object, s string) int { return strings.Compare(path(o), s) })
	if found {
		from++
	}
	to := min(from+pageSize, len(all.Objects))
	out := objects.Changes{Revision: all.Revision, Objects: all.Objects[from:to]}
	if to < len(all.Objects) {
		out.Next = path(all.Objects[to-1])
	}
	return out
}

func (s *Store) list(kinds []string) objects.Changes {
	if s.listed.Revision == s.revision && s.listedKinds == strings.Join(kinds, ",") {
		return s.listed
	}
	c := objects.Changes{Revision: s.revision}
	for _, o := range s.objects {
		if len(kinds) == 0 || slices.Contains(kinds, o.Kind) {
			c.Objects = append(c.Objects, o)
		}
	}
	slices.SortFunc(c.Objects, func(a, b objects.Object) int { return strings.Compare(a.Kind+"/"+a.Name, b.Kind+"/"+b.Name) })
	s.listed, s.listedKinds = c, strings.Join(kinds, ",")
	return c
}

// IsAuthoritative implements feed.Source.
func (s *Store) IsAuthoritative() bool { return true }

// Watch implements objects.API.
func (s *Store) Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	if err := s.enter(ctx, false); err != nil {
		return objects.Changes{}, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		c, err := s.since(kinds, from)
		changed, down := s.changed, s.faults.Down
		s.mu.Unlock()
		if down {
			return objects.Changes{}, objects.ErrUnavailable
		}
		if err != nil || len(c.Objects) > 0 {
			return c, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return c, nil
		case <-ctx.Done():
			return c, objects.ErrUnavailable
		}
	}
}

func (s *Store) since(kinds []string, from objects.Position) (objects.Changes, error) {
	if from < s.dropped || from > s.revision {
		return objects.Changes{}, objects.ErrGone
	}
	c := objects.Changes{Revision: s.revision}
	for _, o := range s.history {
		if o.Version > from && slices.Contains(kinds, o.Kind) {
			c.Objects = append(c.Objects, o)
		}
	}
	return c, nil
}

// Put implements objects.API.
func (s *Store) Put(ctx context.Context, kind, name string, expect objects.Position, value json.RawMessage) (objects.Position, error) {
	return s.write(ctx, objects.Object{Kind: kind, Name: name, Value: value}, expect)
}

// Delete implements objects.API.
func (s *Store) Delete(ctx context.Context, kind, name string, expect objects.Position) error {
	_, err := s.write(ctx, objects.Object{Kind: kind, Name: name, Deleted: true}, expect)
	return err
}

func (s *Store) write(ctx context.Context, o objects.Object, expect objects.Position) (objects.Position, error) {
	if err := s.enter(ctx, true); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{o.Kind, o.Name}
	if have := s.objects[k].Version; have != expect && (have.HasRevision() || expect.HasRevision()) {
		return 0, objects.ErrConflict
	}
	s.revision++
	o.Version = s.revision
	if o.Deleted {
		delete(s.objects, k)
	} else {
		s.objects[k] = o
	}
	s.history = append(s.history, o)
	if len(s.history) > historyLimit {
		s.dropped = s.history[0].Version
		s.history = slices.Delete(s.history, 0, 1)
	}
	s.wake()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return 0, objects.ErrOutcomeUnknown
	}
	return o.Version, nil
}

// Boxes implements objects.API.
func (s *Store) Boxes(ctx context.Context) ([]objects.Box, error) {
	if err := s.enter(ctx, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.boxes), nil
}

// enter counts the call and applies the delay and the outage.
func (s *Store) enter(ctx context.Context, write bool) error {
	s.mu.Lock()
	if write {
		s.counts.Writes++
	} else {
		s.counts.Reads++
	}
	f := s.faults
	s.mu.Unlock()
	if f.Down || ctx.Err() != nil {
		return objects.ErrUnavailable
	}
	if f.Delay <= 0 {
		return nil
	}
	select {
	case <-time.After(f.Delay):
		return nil
	case <-ctx.Done():
		return objects.ErrUnavailable
	}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
