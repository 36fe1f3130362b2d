// Package follow keeps a catalog up to date by listing and watching each kind of object separately.
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

// Source lists and watches the objects of one kind at a time. It is an interface because its calls cross the network.
type Source interface {
	List(ctx context.Context, kinds []string, after string) (objects.Changes, error)
	Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error)
}

// Kind configures how one kind of object is followed.
type Kind struct {
	Name string
	// MinInterval is the minimum time between the starts of two calls. It limits how often kinds that change constantly are read.
	MinInterval time.Duration
	// Wait is how long a watch waits for changes before it returns without any.
	Wait time.Duration
	// MayExpire marks an expiring kind: after a store outage, its objects may be missing for a while although nobody removed them.
	// They are then kept for Config.Grace.
	MayExpire bool
	// CompanionKinds names the companion kinds. Their objects exist only together with the object of this kind that has the same name.
	CompanionKinds []string
	// Relayed is set if changes of the kind are sent to other boxes.
	Relayed bool
	// SendsConfirmations is set if other boxes are also sent the age of this box's data of the kind.
	SendsConfirmations bool
	// RelayingWait, if not zero, replaces Wait on a box that relays changes. The data of the receiving boxes is at least as old as
	// the last watch of the relaying box.
	RelayingWait time.Duration
	// FleetOwned is set if the objects of the kind belong to this fleet alone. Objects that an older copy of the store lacks then stay
	// in force until others replace them.
	FleetOwned bool
	// ProbesLostStore is set if, while the store is lost, calls for this kind test whether it is back and the other kinds make no calls.
	// Every call is charged, even one that fails. If there is no such kind, all kinds continue to make calls.
	ProbesLostStore bool
}

// Config configures a Follower.
type Config struct {
	Source  Source
	Catalog *catalog.Catalog
	Kinds   []Kind
	// RelayTimeout is how long changes received from another box replace this box's own calls. Zero means that this box always calls
	// the store.
	RelayTimeout time.Duration
	// FirstWatchDelay is the delay between the first list of a kind and its first watch. Heartbeats begin in this time and bring the
	// changes made since the list. Without the delay, when all boxes start at once, each change of the cell map would end the
	// watch of every box (five calls per box).
	FirstWatchDelay time.Duration
	// RelayRate limits the bytes of large changes that are sent per second, summed over all receiving boxes. Zero means
	// defaultRelayRate.
	RelayRate float64
	// Grace is how long missing objects are kept: those of expiring kinds after an outage, and those of all kinds after the
	// store was restored from an older copy.
	Grace time.Duration
	Scope tally.Scope
}

const (
	// minBackoff and maxBackoff bound the pause after a failed call. They are short enough for a change to apply within a second
	// of the store's return, and long enough not to overload a store that refuses calls.
	minBackoff = 250 * time.Millisecond
	maxBackoff = time.Second
	// minPause is the minimum pause after a failed call. A watch that fails sooner than this was refused, not cut while it
	// waited.
	minPause = 100 * time.Millisecond
	// probeWait is how long a watch waits while the store is lost. The other kinds make no calls until the watch returns, so it
	// must not wait for changes.
	probeWait = time.Millisecond
	// relayCheckInterval is how often a follower that makes no calls checks whether it has to make calls again.
	relayCheckInterval = 100 * time.Millisecond
	// maxRelayedAge is the maximum age of the other box's data for which relayed changes replace calls. It allows for one call
	// for the endpoints, which takes slightly more than a second when the store does not answer.
	maxRelayedAge = 1300 * time.Millisecond
)

// errInterrupted is the result of a call that was canceled because another call showed that it may never be answered. The
// canceled call is retried.
var errInterrupted = errors.New("follow: call interrupted")

// errWatchCut is the result of a watch whose connection is lost while it waits, unless this happened to the previous watch too.
// The next call shows whether the store is lost.
var errWatchCut = errors.New("follow: watch connection lost while waiting")

// Follower keeps a catalog up to date. It runs one goroutine for each kind.
type Follower struct {
	cfg   Config
	done  chan struct{}
	ready chan struct{}
	store *storeState
	// hasProbingKind is set if calls for at least one kind test whether a lost store is back.
	hasProbingKind bool

	mu sync.Mutex
	// statuses holds the status of each kind, by name.
	statuses map[string]*kindStatus
	// unlistedKinds counts the kinds that have not been listed yet.
	unlistedKinds int
	// relayedUntil is the time until which relayed changes replace calls. Every receipt of changes extends it. lastReceivedAt is
	// when changes were last received.
	relayedUntil   time.Time
	lastReceivedAt time.Time
	// lastRestore describes the last restore of the store that this box detected, lastRestoreAt is when it did.
	lastRestore   RestoreStatus
	lastRestoreAt time.Time
	// lateChanges holds the changes that were applied later than the store made them.
	lateChanges []lateChange
	// relayLimiter limits the bytes sent to other boxes. lastRelayedAt is when another box last requested changes.
	relayLimiter  byteLimiter
	lastRelayedAt time.Time
}

// New returns a Follower. The caller must run Serve.
func New(cfg Config) *Follower {
	return &Follower{
		hasProbingKind: slices.ContainsFunc(cfg.Kinds, func(k Kind) bool { return k.ProbesLostStore }),
		cfg:            cfg, done: make(chan struct{}), ready: make(chan struct{}),
		store: newStoreState(cfg.Scope), statuses: map[string]*kindStatus{},
		unlistedKinds: len(cfg.Kinds), relayLimiter: byteLimiter{rate: cmp.Or(cfg.RelayRate, defaultRelayRate)},
	}
}

// Done returns a channel that is closed when Serve has ended.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Ready returns a channel that is closed once every kind has been listed.
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

// Serve keeps the catalog up to date until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	defer part.CloseIfEnded(ctx, f.done)
	var group errgroup.Group
	for _, k := range f.cfg.Kinds {
		group.Go(func() error {
			f.followKind(ctx, newKindWatcher(k))
			return nil
		})
	}
	// The goroutines return no errors.
	_ = group.Wait()
	return ctx.Err()
}

// followKind lists a kind and then watches it until ctx ends.
func (f *Follower) followKind(ctx context.Context, k *kindWatcher) {
	backoff := minBackoff
	for ctx.Err() == nil {
		f.admitWithheld(k.Name, clock.Now())
		relayed := f.isRelayed(clock.Now())
		if relayed && !f.mustCallStore(k.Name) {
			k.wasRelayed = true
			part.Sleep(ctx, relayCheckInterval)
			continue
		}
		if f.hasProbingKind && !k.ProbesLostStore && !relayed && f.store.isLost() {
			part.Sleep(ctx, relayCheckInterval)
			continue
		}
		if !relayed && clock.Now().Before(k.firstWatchAt) {
			part.Sleep(ctx, relayCheckInterval)
			continue
		}
		f.resumeCalls(k)
		began := clock.Now()
		err := f.callOnce(ctx, k)
		err = k.classifyResult(clock.Since(began), err)
		pause := k.MinInterval - clock.Since(began)
		f.recordCall(k.Name, err)
		switch {
		case err == nil:
			backoff = minBackoff
			f.store.recordAnswer(clock.Now())
		case errors.Is(err, objects.ErrGone):
			klog.InfoS("store history lost; listing the kind again", "kind", k.Name, "revision", k.revision)
			k.revision, k.listed = 0, false
			pause = 0
			f.store.recordAnswer(clock.Now())
			// Other kinds may have missed changes too, and their watches may never return them.
			f.store.interruptAll()
		case errors.Is(err, errInterrupted), errors.Is(err, errWatchCut):
			pause = 0
		case ctx.Err() == nil:
			f.store.recordFailure(clock.Now(), k.Name, err)
			f.cfg.Scope.Counter("follow_failures").Inc(1)
			// The time that the failed call took counts toward the pause.
			pause = max(minPause, backoff/2+rand.N(backoff)-clock.Since(began))
			backoff = min(2*backoff, maxBackoff)
		}
		if pause > 0 {
			part.Sleep(ctx, pause)
		}
	}
}

// resumeCalls prepares a kind for calls after relayed changes have replaced them. Objects that were received up to a known
// revision need not be listed again.
func (f *Follower) resumeCalls(k *kindWatcher) {
	if !k.wasRelayed {
		return
	}
	k.wasRelayed = false
	clear(k.missing)
	known := f.KnownRevisions()[k.Name]
	if k.listed = k.Relayed && known > 0; k.listed {
		k.revision = known
		k.addKnown(f.cfg.Catalog.Names(k.Name))
		k.relistAt = time.Time{}
		if len(k.CompanionKinds) > 0 {
			// Objects of companion kinds are not relayed and were dropped, so only a list restores them. Lists are charged per
			// page, so the list waits until more heartbeats are missing than a single lost one explains.
			k.relistAt = clock.Now().Add(k.MinInterval)
		}
	}
}

// callOnce makes one call. It lists the kind if it has not been listed, if the last watch got no answer, or if a new list is
// due. Otherwise it watches the kind.
func (f *Follower) callOnce(ctx context.Context, k *kindWatcher) error {
	if !k.listed || k.relist || k.isListDue(clock.Now()) {
		return f.listKind(ctx, k)
	}
	f.cfg.Scope.Counter("follow_watches").Inc(1)
	wait := k.Wait
	if k.RelayingWait > 0 && f.isRelaying(clock.Now()) {
		wait = k.RelayingWait
	}
	if untilDeletion, ok := k.untilNextDeletion(clock.Now()); ok {
		wait = min(wait, untilDeletion)
	}
	callCtx, cancel, isLost := f.store.interruptibleContext(ctx)
	defer cancel()
	if isLost {
		wait = probeWait
	}
	began := clock.Now()
	ch, err := f.cfg.Source.Watch(callCtx, []string{k.Name}, k.revision, wait)
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		return errInterrupted
	}
	if err != nil {
		return err
	}
	f.applyChanges(k, k.processWatch(clock.Now(), ch, f.outageGraceUntil(k)))
	f.recordConfirmed(k.Name, began)
	return nil
}

func (f *Follower) listKind(ctx context.Context, k *kindWatcher) error {
	f.cfg.Scope.Counter("follow_lists").Inc(1)
	began := clock.Now()
	all, err := f.listAllPages(ctx, k)
	if err != nil {
		return err
	}
	f.detectNewEra(k.Name, all.Revision)
	// A list shows all deletions, also those that another box was holding back.
	k.isHolding = true
	k.addKnown(f.cfg.Catalog.Names(k.Name))
	f.applyChanges(k, k.processList(clock.Now(), all, f.keepMissingUntil(k)))
	f.recordConfirmed(k.Name, began)
	k.listed, k.relistAt = true, time.Time{}
	if f.recordListed(k.Name) {
		k.firstWatchAt = clock.Now().Add(f.cfg.FirstWatchDelay)
	}
	return nil
}

// listAllPages reads the whole list of a kind. A list that starts while the store is lost is canceled once the store is known
// to be back.
func (f *Follower) listAllPages(ctx context.Context, k *kindWatcher) (objects.Changes, error) {
	callCtx, cancel, isLost := f.store.interruptibleContext(ctx)
	defer cancel()
	if !isLost {
		callCtx = ctx
	}
	var all objects.Changes
	after := ""
	for {
		ch, err := f.cfg.Source.List(callCtx, []string{k.Name}, after)
		if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
			return all, errInterrupted
		}
		if err != nil {
			return all, err
		}
		if after == "" {
			all.Revision = ch.Revision
		}
		if ch.Revision.Era() != all.Revision.Era() {
			// The pages come from two copies of the store.
			return all, objects.ErrGone
		}
		all.Objects = append(all.Objects, ch.Objects...)
		if after = ch.Next; after == "" {
			return all, nil
		}
	}
}

// outageGraceUntil returns until when missing objects of a kind are kept after an outage.
func (f *Follower) outageGraceUntil(k *kindWatcher) time.Time {
	if !k.MayExpire {
		return time.Time{}
	}
	return f.store.lastOutageEnd().Add(f.cfg.Grace)
}

// applyChanges applies changes to the catalog and then records their revision. The order matters: a box that is sent the
// revision must also be sent the changes.
func (f *Follower) applyChanges(k *kindWatcher, ch objects.Changes) {
	k.revision = max(k.revision, ch.Revision)
	if len(ch.Objects) > 0 {
		changed, gone := loggedNames(ch.Objects)
		klog.V(1).InfoS("objects changed", "kind", k.Name, "revision", ch.Revision, "changed", changed, "gone", gone)
		f.reportSkipped(k.Name, ch.Revision, f.cfg.Catalog.Apply(ch))
	}
	for _, name := range k.reappeared {
		f.cfg.Catalog.MarkChanged(k.Name, name)
	}
	k.reappeared = nil
	f.mu.Lock()
	defer f.mu.Unlock()
	status := f.statusOf(k.Name)
	// Another box may have sent later changes during the call. confirmedAt covers these.
	status.advanceKnown(k.revision)
	status.keptObjects = len(k.missing)
	if until := k.heldUntil(); k.isHolding || !until.IsZero() {
		k.isHolding = !until.IsZero()
		status.recordHeld(clock.Now(), addMargin(until))
	}
	f.lateChanges = appendLateDeletions(f.lateChanges, k, ch, clock.Now())
}

// reportSkipped counts and logs objects that were not applied because the catalog holds a later version.
func (f *Follower) reportSkipped(kind string, revision objects.Position, older int) {
	if older == 0 {
		return
	}
	f.cfg.Scope.Counter("objects_passed_over").Inc(int64(older))
	klog.V(1).InfoS("older object versions skipped", "kind", kind, "revision", revision, "older", older)
}

// maxLoggedNames is the maximum number of changed or deleted object names in one log line.
const maxLoggedNames = 8

// loggedNames returns the names of changed and deleted objects for the log, at most maxLoggedNames of each.
func loggedNames(all []objects.Object) (changed, gone []string) {
	for _, o := range all {
		switch {
		case o.Deleted && len(gone) < maxLoggedNames:
			gone = append(gone, o.Name)
		case !o.Deleted && len(changed) < maxLoggedNames:
			changed = append(changed, o.Name)
		}
	}
	return changed, gone
}

// StoreAge returns the age of this box's data: the time since the store last answered this box or the box that relays changes
// to it.
func (f *Follower) StoreAge() time.Duration { return f.store.answerAge(clock.Now()) }

// recordListed records that a kind has been listed and reports whether this was the first list.
func (f *Follower) recordListed(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.statusOf(kind)
	k.lastListedAt = clock.Now()
	if k.listed {
		return false
	}
	k.listed = true
	f.unlistedKinds--
	if f.unlistedKinds == 0 {
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
