// Package fakeplatform implements a fake platform for tests, with an object API and a list of boxes.
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

// maxPageObjects is the maximum number of objects that a call of List returns.
const maxPageObjects = 500

// maxHistory is the maximum number of changes that are kept for watches.
const maxHistory = 4096

// Faults are the faults that the platform simulates. Tests set them directly or by POST /faults.
type Faults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// DropResponses is the number of upcoming writes that take effect, but whose callers receive no response.
	DropResponses int `json:"lose_answers"`
}

// Counts are the numbers of calls received so far.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

type key struct{ kind, name string }

// Store is an in-memory object store. It implements objects.API without a network.
type Store struct {
	mu      sync.Mutex
	objects map[key]objects.Object
	// history has the latest changes, for watches.
	history []objects.Object
	// lastDropped is the position of the latest change that the history does not contain.
	lastDropped objects.Position
	position    objects.Position
	// changed is closed at the next change.
	changed chan struct{}
	boxes   []objects.Box
	faults  Faults
	counts  Counts
	// cachedList is the latest result of listObjects, for the next pages of the same list. cachedListKinds are its kinds.
	cachedList      objects.Changes
	cachedListKinds string
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

// Counts returns the numbers of calls received so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Snapshot returns a copy of all stored objects, for use with Restore and Rewind.
func (s *Store) Snapshot() objects.Changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listObjects(nil)
}

// Restore replaces all objects and the position by those of an older snapshot, like a platform that is restored from a backup.
func (s *Store) Restore(c objects.Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = map[key]objects.Object{}
	for _, o := range c.Objects {
		s.objects[key{o.Kind, o.Name}] = o
	}
	s.history, s.lastDropped, s.position = nil, c.Revision, c.Revision
	s.cachedList = objects.Changes{}
	s.notifyWatchers()
}

// RestoreInNewEra restores an older snapshot and starts the next era.
func (s *Store) RestoreInNewEra(c objects.Changes) {
	s.mu.Lock()
	era := s.position.Era() + 1
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
	if err := s.beginCall(ctx, false); err != nil {
		return objects.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key{kind, name}]
	if !ok {
		return objects.Object{Version: objects.NewPosition(s.position.Era(), 0)}, objects.ErrNotFound
	}
	return o, nil
}

// List implements objects.API.
func (s *Store) List(ctx context.Context, kinds []string, after string) (objects.Changes, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return objects.Changes{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return pageAfter(s.listObjects(kinds), after), nil
}

// pageAfter returns the page that starts after the given path (kind and name). The objects must be sorted by path.
func pageAfter(all objects.Changes, after string) objects.Changes {
	path := func(o objects.Object) string { return o.Kind + "/" + o.Name }
	start, found := slices.BinarySearchFunc(all.Objects, after, func(o objects.Object, s string) int { return strings.Compare(path(o), s) })
	if found {
		start++
	}
	end := min(start+maxPageObjects, len(all.Objects))
	nextPage := objects.Changes{Revision: all.Revision, Objects: all.Objects[start:end]}
	if end < len(all.Objects) {
		nextPage.Next = path(all.Objects[end-1])
	}
	return nextPage
}

// listObjects returns all objects of some kinds sorted by path. If kinds is empty, it returns the objects of all kinds.
func (s *Store) listObjects(kinds []string) objects.Changes {
	if s.cachedList.Revision == s.position && s.cachedListKinds == strings.Join(kinds, ",") {
		return s.cachedList
	}
	c := objects.Changes{Revision: s.position}
	for _, o := range s.objects {
		if len(kinds) == 0 || slices.Contains(kinds, o.Kind) {
			c.Objects = append(c.Objects, o)
		}
	}
	slices.SortFunc(c.Objects, func(a, b objects.Object) int { return strings.Compare(a.Kind+"/"+a.Name, b.Kind+"/"+b.Name) })
	s.cachedList, s.cachedListKinds = c, strings.Join(kinds, ",")
	return c
}

// IsAuthoritative implements feed.Source.
func (s *Store) IsAuthoritative() bool { return true }

// Watch implements objects.API.
func (s *Store) Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return objects.Changes{}, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		c, err := s.changesSince(kinds, from)
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

// changesSince returns the changes after a position. It returns objects.ErrGone if the history does not contain all of them.
func (s *Store) changesSince(kinds []string, from objects.Position) (objects.Changes, error) {
	if from < s.lastDropped || from > s.position {
		return objects.Changes{}, objects.ErrGone
	}
	c := objects.Changes{Revision: s.position}
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

// write stores or deletes an object if its present version is the expected one.
func (s *Store) write(ctx context.Context, o objects.Object, expect objects.Position) (objects.Position, error) {
	if err := s.beginCall(ctx, true); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{o.Kind, o.Name}
	if current := s.objects[k].Version; current != expect && (current.HasRevision() || expect.HasRevision()) {
		return 0, objects.ErrConflict
	}
	s.position++
	o.Version = s.position
	if o.Deleted {
		delete(s.objects, k)
	} else {
		s.objects[k] = o
	}
	s.history = append(s.history, o)
	if len(s.history) > maxHistory {
		s.lastDropped = s.history[0].Version
		s.history = slices.Delete(s.history, 0, 1)
	}
	s.notifyWatchers()
	if s.faults.DropResponses > 0 {
		s.faults.DropResponses--
		return 0, objects.ErrOutcomeUnknown
	}
	return o.Version, nil
}

// Boxes implements objects.API.
func (s *Store) Boxes(ctx context.Context) ([]objects.Box, error) {
	if err := s.beginCall(ctx, false); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.boxes), nil
}

// beginCall counts the call and simulates the delay and the outage of the faults.
func (s *Store) beginCall(ctx context.Context, isWrite bool) error {
	s.mu.Lock()
	if isWrite {
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

// notifyWatchers makes all watches look for new changes.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}
