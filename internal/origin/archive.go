package origin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/singleflight"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/part"
)

// ArchiveKind is the object kind of the stream archive.
const ArchiveKind = "StreamOrigins"

const (
	// archiveSlots is the number of objects that a box writes in turn.
	archiveSlots = 128
	// maxQueuedRecords limits the records that wait while the store is away: as many as all objects of the box hold.
	maxQueuedRecords = archiveSlots * maxSegmentRecords
	// archiveCallTimeout limits one call to the store, readTimeout the read of the whole archive.
	archiveCallTimeout = time.Second
	readTimeout        = 3 * time.Second
	// readInterval is the shortest time between two reads of the archive.
	readInterval = 250 * time.Millisecond
	// writeRetryDelay is how long the archive waits after a failed write.
	writeRetryDelay = 100 * time.Millisecond
	// finalWriteTimeout limits the last write of a box that stops.
	finalWriteTimeout = 500 * time.Millisecond
	// maxWriteRate limits the writes per second of all boxes together, without those of full objects.
	maxWriteRate = 60
	// sweepsPerRetention is how often expired objects are looked for within the retention time.
	sweepsPerRetention = 4
)

// ArchiveConfig configures an Archive.
type ArchiveConfig struct {
	API objects.API
	// Box names this box. It is the prefix of the names of the objects that the box writes.
	Box string
	// Interval is the shortest time between two writes of an object that is not full. It is longer in a fleet with many archives.
	Interval time.Duration
	// Retention is how long records are kept in the store at least.
	Retention time.Duration
	// Writers returns the number of boxes that write the archive; nil means that only this box does.
	Writers func() int
	// IsCleaner reports whether this box deletes expired objects of other boxes; nil means that it does not.
	IsCleaner func() bool
	Scope     tally.Scope
}

// slot is an object that this box writes.
type slot struct {
	version   objects.Position
	writtenAt time.Time
}

// foreignObject is an object of another box.
type foreignObject struct {
	version objects.Position
	// readAt is when this version was first read.
	readAt time.Time
}

// Archive keeps records in the platform's store, where they outlive all boxes. Each box writes a ring of objects of its own and reads
// those of all boxes. It is safe for concurrent use. Serve must run while the Archive is in use.
type Archive struct {
	cfg   ArchiveConfig
	done  chan struct{}
	added chan struct{}
	reads singleflight.Group

	// Only the loop of Serve uses the fields below.
	current *segment
	// dirty is set while current has records that are not stored.
	dirty     bool
	slotIndex int
	// hasSlots is set once the own objects of an earlier process are known.
	hasSlots bool
	slots    [archiveSlots]slot
	foreign  map[string]foreignObject

	mu     sync.Mutex
	queued []Record
	// snapshot is the archive as it was last read, nil if the read failed. The read began at readBegun.
	snapshot  *snapshot
	readBegun time.Time
}

// NewArchive returns an Archive.
func NewArchive(cfg ArchiveConfig) *Archive {
	return &Archive{cfg: cfg, done: make(chan struct{}), added: make(chan struct{}, 1), foreign: map[string]foreignObject{}}
}

// Done returns a channel that is closed when Serve has returned.
func (a *Archive) Done() <-chan struct{} { return a.done }

// Len returns the number of records that wait to be written.
func (a *Archive) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.queued)
}

// Add queues a record. It does not block: if too many records wait, the oldest one is dropped.
func (a *Archive) Add(r Record) {
	if !r.isValid() {
		return
	}
	a.mu.Lock()
	if len(a.queued) >= maxQueuedRecords {
		a.queued = a.queued[1:]
		a.cfg.Scope.Counter("stream_archive_dropped").Inc(1)
	}
	a.queued = append(a.queued, r)
	a.mu.Unlock()
	select {
	case a.added <- struct{}{}:
	default:
	}
}

// errNotRead is returned by Find if a recent read of the archive has failed.
var errNotRead = eris.New("origin: the archive could not be read")

// Find returns the archived record of an attempt. If the last read is not recent, it reads the archive and waits for it until ctx ends.
func (a *Archive) Find(ctx context.Context, attempt string) (Record, bool, error) {
	a.mu.Lock()
	last, isRecent := a.snapshot, clock.Since(a.readBegun) < readInterval
	a.mu.Unlock()
	if isRecent && last == nil {
		return Record{}, false, errNotRead
	}
	if !isRecent {
		var err error
		if last, err = a.readShared(ctx); err != nil {
			return Record{}, false, err
		}
	}
	r, ok := last.find(attempt)
	return r, ok, nil
}

// readShared reads the archive together with other callers, and waits for it until ctx ends. The read goes on then: its result serves the
// next caller.
func (a *Archive) readShared(ctx context.Context) (*snapshot, error) {
	result := a.reads.DoChan("", func() (any, error) {
		_, err := a.read(context.WithoutCancel(ctx))
		return nil, err
	})
	select {
	case r := <-result:
		if r.Err != nil {
			return nil, r.Err
		}
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "origin: read the archive")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.snapshot == nil {
		return nil, errNotRead
	}
	return a.snapshot, nil
}

// read reads all objects of the archive.
func (a *Archive) read(ctx context.Context) (*snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	begun := clock.Now()
	s, err := a.list(ctx)
	a.mu.Lock()
	a.snapshot, a.readBegun = s, begun
	a.mu.Unlock()
	if err != nil {
		a.cfg.Scope.Counter("stream_archive_reads_failed").Inc(1)
		klog.InfoS("stream archive not read", "err", err)
		return nil, eris.Wrap(err, "origin: read the archive")
	}
	a.cfg.Scope.Counter("stream_archive_reads").Inc(1)
	klog.InfoS("stream archive read", "objects", len(s.versions), "records", len(s.records), "era", s.era, "took", clock.Since(begun))
	return s, nil
}

// list lists all objects of the archive, page by page.
func (a *Archive) list(ctx context.Context) (*snapshot, error) {
	page, err := a.cfg.API.List(ctx, []string{ArchiveKind}, "")
	if err != nil {
		return nil, err
	}
	s := newSnapshot(page.Revision.Era())
	for {
		for _, o := range page.Objects {
			s.addObject(o)
		}
		if page.Next == "" {
			return s, nil
		}
		if page, err = a.cfg.API.List(ctx, []string{ArchiveKind}, page.Next); err != nil {
			return nil, err
		}
	}
}

// Serve writes queued records until ctx ends.
func (a *Archive) Serve(ctx context.Context) error {
	defer part.CloseIfEnded(ctx, a.done)
	sweep := time.NewTicker(a.cfg.Retention / sweepsPerRetention)
	defer sweep.Stop()
	for {
		select {
		case <-a.added:
			begun := clock.Now()
			pause := a.interval()
			if !a.writeQueued(ctx) {
				pause = max(pause, writeRetryDelay)
			}
			_ = part.Sleep(ctx, pause-clock.Since(begun))
		case <-sweep.C:
			a.deleteExpired(ctx)
		case <-ctx.Done():
			final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalWriteTimeout)
			a.writeQueued(final)
			cancel()
			return ctx.Err()
		}
	}
}

// interval returns the shortest time between two writes of an object that is not full.
func (a *Archive) interval() time.Duration {
	if a.cfg.Writers == nil {
		return a.cfg.Interval
	}
	return max(a.cfg.Interval, time.Duration(a.cfg.Writers())*time.Second/maxWriteRate)
}

// writeQueued writes all queued records. It returns false if a write failed; the records are then written with the next ones.
func (a *Archive) writeQueued(ctx context.Context) bool {
	if !a.hasSlots && !a.adoptSlots(ctx) {
		a.wake()
		return false
	}
	for a.fillSegment() {
		if !a.writeSegment(ctx) {
			a.wake()
			return false
		}
		if a.current.isFull() && !a.dirty {
			a.current = nil
		}
	}
	return true
}

// wake makes Serve write again.
func (a *Archive) wake() {
	select {
	case a.added <- struct{}{}:
	default:
	}
}

// fillSegment moves queued records to the current object, and reports whether the object has to be written.
func (a *Archive) fillSegment() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queued) == 0 {
		return a.dirty
	}
	if a.current == nil {
		a.current, a.slotIndex = newSegment(), a.nextSlot()
	}
	n := 0
	for n < len(a.queued) && !a.current.isFull() {
		a.current.add(a.queued[n])
		n++
	}
	a.queued = slices.Clone(a.queued[n:])
	a.dirty = true
	return true
}

// nextSlot returns the object to write next: an unused one, or the one that was written first.
func (a *Archive) nextSlot() int {
	oldest := 0
	for i, s := range a.slots {
		if s.writtenAt.Before(a.slots[oldest].writtenAt) {
			oldest = i
		}
	}
	if at := a.slots[oldest].writtenAt; !at.IsZero() && clock.Since(at) < a.cfg.Retention {
		a.cfg.Scope.Counter("stream_archive_overwritten").Inc(1)
	}
	return oldest
}

func (a *Archive) slotName(i int) string { return fmt.Sprintf("%s-%03d", a.cfg.Box, i) }

// writeSegment writes the current object.
func (a *Archive) writeSegment(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, archiveCallTimeout)
	defer cancel()
	s := &a.slots[a.slotIndex]
	a.current.Era = s.version.Era()
	value, err := json.Marshal(a.current)
	if err == nil {
		var version objects.Position
		version, err = a.cfg.API.Put(ctx, ArchiveKind, a.slotName(a.slotIndex), s.version, value)
		if err == nil {
			s.version, s.writtenAt = version, clock.Now()
			// Readers ignore what was written for an earlier era.
			a.dirty = version.Era() != a.current.Era
			a.cfg.Scope.Counter("stream_archive_writes").Inc(1)
			return true
		}
	}
	a.cfg.Scope.Counter("stream_archive_writes_failed").Inc(1)
	klog.V(1).InfoS("stream archive not written", "object", a.slotName(a.slotIndex), "err", err)
	if errors.Is(err, objects.ErrConflict) || errors.Is(err, objects.ErrOutcomeUnknown) {
		// The object differs from what this box knows, for example because a write without an answer has taken effect.
		o, err := a.cfg.API.Get(ctx, ArchiveKind, a.slotName(a.slotIndex))
		if err == nil || errors.Is(err, objects.ErrNotFound) {
			s.version = o.Version
		}
	}
	return false
}

// adoptSlots finds the objects that an earlier process of this box has written, so that they are not overwritten at once.
func (a *Archive) adoptSlots(ctx context.Context) bool {
	s, err := a.read(ctx)
	if err != nil {
		return false
	}
	now := clock.Now()
	for i := range a.slots {
		if version, ok := s.versions[a.slotName(i)]; ok {
			a.slots[i] = slot{version, now}
		} else {
			a.slots[i].version = objects.NewPosition(s.era, 0)
		}
	}
	a.hasSlots = true
	return true
}

// deleteExpired deletes the objects that have not been written for the retention time.
func (a *Archive) deleteExpired(ctx context.Context) {
	if a.hasSlots {
		for i := range a.slots {
			s := &a.slots[i]
			isCurrent := i == a.slotIndex && a.current != nil
			if isCurrent && a.dirty || s.writtenAt.IsZero() || clock.Since(s.writtenAt) < a.cfg.Retention {
				continue
			}
			if isCurrent {
				a.current = nil
			}
			a.deleteObject(ctx, a.slotName(i), s.version)
			*s = slot{version: objects.NewPosition(s.version.Era(), 0)}
		}
	}
	if a.cfg.IsCleaner == nil || !a.cfg.IsCleaner() {
		return
	}
	s, err := a.read(ctx)
	if err != nil {
		return
	}
	now := clock.Now()
	foreign := map[string]foreignObject{}
	for name, version := range s.versions {
		known, ok := a.foreign[name]
		if !ok || known.version != version {
			known = foreignObject{version, now}
		}
		if now.Sub(known.readAt) >= a.cfg.Retention && !a.isOwn(name) {
			a.deleteObject(ctx, name, version)
			continue
		}
		foreign[name] = known
	}
	a.foreign = foreign
}

// isOwn reports whether this process writes an object.
func (a *Archive) isOwn(name string) bool {
	for i := range a.slots {
		if a.hasSlots && !a.slots[i].writtenAt.IsZero() && a.slotName(i) == name {
			return true
		}
	}
	return false
}

// deleteObject deletes a version of an object. An object that was written meanwhile stays.
func (a *Archive) deleteObject(ctx context.Context, name string, version objects.Position) {
	ctx, cancel := context.WithTimeout(ctx, archiveCallTimeout)
	defer cancel()
	if err := a.cfg.API.Delete(ctx, ArchiveKind, name, version); err != nil {
		klog.V(1).InfoS("expired object of the stream archive not deleted", "object", name, "err", err)
		return
	}
	a.cfg.Scope.Counter("stream_archive_deleted").Inc(1)
}
