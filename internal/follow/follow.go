// Package follow keeps a catalog up to date with kinds of objects that are each listed and watched on their own.
package follow

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/part"
)

// Source lists and watches objects of one kind at a time. It is an interface at the network boundary.
type Source interface {
	List(ctx context.Context, kinds []string, after string) (objects.Changes, error)
	Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error)
}

// Kind says how one kind of objects is followed.
type Kind struct {
	Name string
	// Pace is the least time between two calls: kinds that change all the time are taken in as often as that.
	Pace time.Duration
	// Wait is how long a watch waits for changes.
	Wait time.Duration
	// Lapses says that objects of the kind may be missing for a while after an outage of the store though nothing has
	// removed them; Config.Grace is how long they are kept then.
	Lapses bool
	// With names kinds that come and go with this one, under the same names.
	With []string
	// Relayed kinds are passed on to other boxes.
	Relayed bool
	// Confirmed kinds are told to other boxes with the age of what is known of them.
	Confirmed bool
	// TellWait is how long a watch waits on a box that tells others, if not zero: their word is as old as its last watch, and more.
	TellWait time.Duration
	// Ours says that the objects of the kind are this fleet's own: those that an older copy of the store lacks stay in force until others take their place.
	Ours bool
	// Probes says that while the store is lost, calls for this kind alone find out whether it is back: each call is paid for, also
	// one that fails. Without such a kind all go on calling.
	Probes bool
}

// Config configures a Follower.
type Config struct {
	Source  Source
	Catalog *catalog.Catalog
	Kinds   []Kind
	// RelayFor is how long changes taken from another box stand in for calls of this one; zero always calls.
	RelayFor time.Duration
	// FirstWatch is how long after its first list a kind is not watched yet. Heartbeats begin meanwhile and bring what has changed since; when
	// all boxes start at once, each change of the cell map would wake the watch of every one of them (five calls a box).
	FirstWatch time.Duration
	// TellRate is how many bytes of large changes are passed on in a second, over all boxes; zero stands for defaultTellRate.
	TellRate float64
	// Grace is how long after an outage missing objects of kinds that lapse are kept.
	Grace time.Duration
	Scope tally.Scope
}

const (
	// minBackoff and maxBackoff bound the pause after a failed call: short enough for a change to be in force a second after
	// the store is back, long enough not to press a store that is refusing calls.
	minBackoff = 250 * time.Millisecond
	maxBackoff = time.Second
	// minPause is the least pause after a failed call.
	minPause = 100 * time.Millisecond
	// probeWait is how long a watch waits that is to find out whether the store is back: waiting for a change would keep the other
	// kinds from calling for as long.
	probeWait = time.Millisecond
	// relayLook is how often a follower whose changes come through another box looks whether they still do.
	relayLook = 100 * time.Millisecond
	// relayAge is how old the other box's own knowledge may be: a second and a bit is what a look at the endpoints takes when
	// the store does not answer.
	relayAge = 1300 * time.Millisecond
)

// errWoken ends a watch that is to be begun again because another call has shown that it may hear nothing.
var errWoken = errors.New("follow: woken")

// errCut ends a watch that was cut while it waited, once: the next call shows whether the store is there.
var errCut = errors.New("follow: watch cut while it waited")

// Follower is the part that follows, with a goroutine for each kind.
type Follower struct {
	cfg   Config
	done  chan struct{}
	ready chan struct{}
	store *storeState
	// probes says that one of the kinds does.
	probes bool

	mu sync.Mutex
	// kinds holds what is known of each kind, by name.
	kinds map[string]*knowledge
	// unlisted counts the kinds that have not been listed yet.
	unlisted int
	// relayed is until when another box's changes stand in for calls, takenAt when one last told anything.
	relayed time.Time
	takenAt time.Time
	// restored is the last restore of the store that was heard of, restoredAt when.
	restored   Restored
	restoredAt time.Time
	// late holds the changes that were taken in later than the store made them.
	late []lateChange
	// told bounds what other boxes are told, toldAt is when one last was.
	told   allowance
	toldAt time.Time
}

// New returns a Follower; its Serve has to run.
func New(cfg Config) *Follower {
	return &Follower{
		probes: slices.ContainsFunc(cfg.Kinds, func(k Kind) bool { return k.Probes }),
		cfg:    cfg, done: make(chan struct{}), ready: make(chan struct{}), store: newStoreState(cfg.Scope), kinds: map[string]*knowledge{},
		unlisted: len(cfg.Kinds), told: allowance{rate: cmp.Or(cfg.TellRate, defaultTellRate)},
	}
}

// Done is closed when Serve has ended.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Ready is closed once every kind has been listed.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// IsReady reports whether every kind has been listed.
func (f *Follower) IsReady() bool {
	select {
	case <-f.ready:
		return true
	default:
		return false
	}
}

// Serve follows until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	defer part.CloseAtEnd(ctx, f.done)
	var group errgroup.Group
	for _, k := range f.cfg.Kinds {
		group.Go(func() error {
			f.follow(ctx, newKindState(k))
			return nil
		})
	}
	// The followers return no errors.
	_ = group.Wait()
	return ctx.Err()
}

// follow lists a kind and then watches it.
func (f *Follower) follow(ctx context.Context, k *kindState) {
	backoff := minBackoff
	for ctx.Err() == nil {
		f.admit(k.Name, clock.Now())
		relayed := f.isRelayed(clock.Now())
		if relayed && !f.isAsked(k.Name) {
			k.relayed = true
			part.Sleep(ctx, relayLook)
			continue
		}
		if f.probes && !k.Probes && !relayed && f.store.isAway() {
			part.Sleep(ctx, relayLook)
			continue
		}
		if !relayed && clock.Now().Before(k.holdUntil) {
			part.Sleep(ctx, relayLook)
			continue
		}
		f.resume(k)
		began := clock.Now()
		err := f.step(ctx, k)
		err = k.judge(clock.Since(began), err)
		pause := k.Pace - clock.Since(began)
		f.noteCall(k.Name, err)
		switch {
		case err == nil:
			backoff = minBackoff
			f.store.answered(clock.Now())
		case errors.Is(err, objects.ErrGone):
			klog.InfoS("history gone; listing", "kind", k.Name, "revision", k.revision)
			k.revision, k.listed = 0, false
			pause = 0
			f.store.answered(clock.Now())
			// What one kind missed the others may have missed too, and their watches may never hear of it.
			f.store.wakeAll()
		case errors.Is(err, errWoken), errors.Is(err, errCut):
			pause = 0
		case ctx.Err() == nil:
			f.store.failed(clock.Now(), k.Name, err)
			f.cfg.Scope.Counter("follow_failures").Inc(1)
			// A call that has hung for long has kept its distance from the next.
			pause = max(minPause, backoff/2+rand.N(backoff)-clock.Since(began))
			backoff = min(2*backoff, maxBackoff)
		}
		if pause > 0 {
			part.Sleep(ctx, pause)
		}
	}
}

// resume goes on with calls after another box's changes have stood in for them. What that box has told up to a revision need not be
// listed again.
func (f *Follower) resume(k *kindState) {
	if !k.relayed {
		return
	}
	k.relayed = false
	clear(k.missing)
	known := f.Known()[k.Name]
	if k.listed = k.Relayed && known > 0; k.listed {
		k.revision = known
		k.know(f.cfg.Catalog.Names(k.Name))
		k.listAt = time.Time{}
		if len(k.With) > 0 {
			// What goes with a kind is not relayed and has been dropped: only a list brings it back. Lists are paid for by the page, so
			// that waits until heartbeats have been missing for longer than one of them takes to be lost.
			k.listAt = clock.Now().Add(k.Pace)
		}
	}
}

// step makes one call: a list until there has been one, then watches, and a list after one that was not answered.
func (f *Follower) step(ctx context.Context, k *kindState) error {
	if !k.listed || k.relist || k.listIsDue(clock.Now()) {
		return f.list(ctx, k)
	}
	f.cfg.Scope.Counter("follow_watches").Inc(1)
	wait := k.Wait
	if k.TellWait > 0 && f.tells(clock.Now()) {
		wait = k.TellWait
	}
	if due, ok := k.nextExpiry(clock.Now()); ok {
		wait = min(wait, due)
	}
	if f.store.isAway() {
		wait = probeWait
	}
	waiting, cancel := f.store.whileThere(ctx)
	defer cancel()
	began := clock.Now()
	ch, err := f.cfg.Source.Watch(waiting, []string{k.Name}, k.revision, wait)
	if err != nil && waiting.Err() != nil && ctx.Err() == nil {
		return errWoken
	}
	if err != nil {
		return err
	}
	f.apply(k, k.changes(clock.Now(), ch, f.graceUntil(k)))
	f.confirm(k.Name, began)
	return nil
}

func (f *Follower) list(ctx context.Context, k *kindState) error {
	f.cfg.Scope.Counter("follow_lists").Inc(1)
	began := clock.Now()
	all, err := f.pages(ctx, k)
	if err != nil {
		return err
	}
	f.cross(k.Name, all.Revision)
	k.know(f.cfg.Catalog.Names(k.Name))
	f.apply(k, k.replace(clock.Now(), all, f.keepUntil(k)))
	f.confirm(k.Name, began)
	k.listed, k.listAt = true, time.Time{}
	if f.noteListed(k.Name) {
		k.holdUntil = clock.Now().Add(f.cfg.FirstWatch)
	}
	return nil
}

// pages reads the whole list of a kind. One that is to find out whether the store is back is given up when something else has shown it.
func (f *Follower) pages(ctx context.Context, k *kindState) (objects.Changes, error) {
	waiting, cancel := ctx, context.CancelFunc(func() {})
	if f.store.isAway() {
		waiting, cancel = f.store.whileThere(ctx)
	}
	defer cancel()
	var all objects.Changes
	after := ""
	for {
		ch, err := f.cfg.Source.List(waiting, []string{k.Name}, after)
		if err != nil && waiting.Err() != nil && ctx.Err() == nil {
			return all, errWoken
		}
		if err != nil {
			return all, err
		}
		if after == "" {
			all.Revision = ch.Revision
		}
		if ch.Revision.Era() != all.Revision.Era() {
			// The pages are of two copies.
			return all, objects.ErrGone
		}
		all.Objects = append(all.Objects, ch.Objects...)
		if after = ch.Next; after == "" {
			return all, nil
		}
	}
}

// graceUntil returns until when missing objects of a kind are kept.
func (f *Follower) graceUntil(k *kindState) time.Time {
	if !k.Lapses {
		return time.Time{}
	}
	return f.store.backSince().Add(f.cfg.Grace)
}

// apply takes changes in. The catalog has them before the revision counts as known: another box that is told the one must be able
// to have the other.
func (f *Follower) apply(k *kindState, ch objects.Changes) {
	k.revision = max(k.revision, ch.Revision)
	if len(ch.Objects) > 0 {
		changed, gone := told(ch.Objects)
		klog.V(1).InfoS("objects changed", "kind", k.Name, "revision", ch.Revision, "changed", changed, "gone", gone)
		f.notePassedOver(k.Name, ch.Revision, f.cfg.Catalog.Apply(ch))
	}
	for _, name := range k.returned {
		f.cfg.Catalog.Touch(k.Name, name)
	}
	k.returned = nil
	f.mu.Lock()
	defer f.mu.Unlock()
	own := f.of(k.Name)
	own.known, own.kept = k.revision, len(k.missing)
	f.late = noteLate(f.late, k, ch, clock.Now())
}

// notePassedOver tells of objects that were not taken in since a later version of them is held.
func (f *Follower) notePassedOver(kind string, revision objects.Position, older int) {
	if older == 0 {
		return
	}
	f.cfg.Scope.Counter("objects_passed_over").Inc(int64(older))
	klog.V(1).InfoS("objects passed over", "kind", kind, "revision", revision, "older", older)
}

// maxNamesTold bounds the names in a line.
const maxNamesTold = 8

// told returns the names of objects for the log, bounded.
func told(all []objects.Object) (changed, gone []string) {
	for _, o := range all {
		switch {
		case o.Deleted && len(gone) < maxNamesTold:
			gone = append(gone, o.Name)
		case !o.Deleted && len(changed) < maxNamesTold:
			changed = append(changed, o.Name)
		}
	}
	return changed, gone
}

// StoreAge returns the age of what this box knows: the time since the store last answered it, or the box that tells it of changes.
func (f *Follower) StoreAge() time.Duration { return f.store.age(clock.Now()) }

// noteListed notes that a kind has been listed and reports whether it was for the first time.
func (f *Follower) noteListed(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.of(kind)
	k.listedAt = clock.Now()
	if k.listed {
		return false
	}
	k.listed = true
	f.unlisted--
	if f.unlisted == 0 {
		klog.InfoS("all kinds listed", "kinds", slices.Collect(kindNames(f.cfg.Kinds)))
		close(f.ready)
	}
	return true
}

func kindNames(kinds []Kind) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for _, k := range kinds {
			if !yield(k.Name) {
				return
			}
		}
	}
}
