package follow

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/objects"
)

// lateChangeTTL is how long a late change is sent to other boxes. It covers several heartbeats, and is longer than another box
// waits without a heartbeat before it calls the store itself.
const lateChangeTTL = 3 * time.Second

// lateChange is a deletion of an expiring kind, or an object that was withheld. It is applied after other boxes have received
// the store's revision, so nothing else would make them request it. Boxes that already know the change receive it once more
// than needed.
type lateChange struct {
	object    objects.Object
	appliedAt time.Time
}

// dropExpired drops the changes older than lateChangeTTL, which all boxes have been sent by then.
func dropExpired(late []lateChange, now time.Time) []lateChange {
	return slices.DeleteFunc(late, func(d lateChange) bool { return now.Sub(d.appliedAt) > lateChangeTTL })
}

// appendLateDeletions adds the deletions of an expiring kind, and drops late changes that all boxes have been sent.
func appendLateDeletions(late []lateChange, k *kindWatcher, ch objects.Changes, now time.Time) []lateChange {
	late = dropExpired(late, now)
	if !k.MayExpire {
		return late
	}
	for _, o := range ch.Objects {
		if o.Deleted && o.Kind == k.Name {
			late = append(late, lateChange{o, now})
		}
	}
	return late
}

// lateChangesFor returns the late changes of a kind that a box may lack although it knows the kind up to a revision.
func (f *Follower) lateChangesFor(kind string, known objects.Position) []objects.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	var late []objects.Object
	for _, d := range f.lateChanges {
		if d.object.Kind == kind && d.object.Version <= known && clock.Since(d.appliedAt) <= lateChangeTTL {
			late = append(late, d.object)
		}
	}
	return late
}

const (
	// smallChangeBytes is the maximum size of changes that are always sent to every box immediately.
	smallChangeBytes = 4 << 10
	// defaultRelayRate is a tenth of the capacity of a 10 Mbit/s link. A configuration of 1,400 routes is 280 KB. Sending it to
	// 66 boxes took such a link 15 seconds, in which no heartbeat was answered in time and no call of the sending box itself
	// succeeded.
	defaultRelayRate = 125_000
	// failureDelay is how long a failed call for a kind does not affect the age that is sent to other boxes. After a failure, a
	// call with almost no wait follows at once, and 0.3 s are ten round trips to a store that answers. A store that loses its
	// history leaves watches without an answer. When the age of the previous watch, up to 3.5 s, was sent at once, 195 boxes
	// made 4,200 unnecessary calls.
	failureDelay = 300 * time.Millisecond
	// forceCallsAge is the age of the store's last answer that is sent to a box to make it call the store itself.
	forceCallsAge = maxRelayedAge + time.Second
)

// byteLimiter limits the bytes of large changes that are sent per second.
type byteLimiter struct {
	// rate is in bytes per second, summed over all receiving boxes.
	rate float64
	// debt is the number of bytes sent in excess of what the rate allowed, as of updatedAt.
	debt      float64
	updatedAt time.Time
}

// allow reports whether changes of a size may be sent now. A large change may exceed what the rate allows for one second. The
// next large change then waits until the excess is worked off.
func (l *byteLimiter) allow(now time.Time, size int) bool {
	l.debt, l.updatedAt = max(0, l.debt-now.Sub(l.updatedAt).Seconds()*l.rate), now
	if size <= smallChangeBytes {
		// Small changes always pass. They count up to the bytes of one second, so that large changes leave room for them.
		l.debt = max(l.debt, min(l.debt+float64(size), l.rate))
		return true
	}
	if l.debt >= l.rate {
		return false
	}
	l.debt += float64(size)
	return true
}

// MaySend reports whether size bytes may be sent to another box now.
func (f *Follower) MaySend(size int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.relayLimiter.allow(clock.Now(), size)
}

// ChangesSince returns the changes after the known revisions, for another box, and the time since the store last answered. Data that
// this box receives from another box keeps the age that it has there. The bytes sent per second are limited to what a link
// carries easily. A box that cannot be sent all changes is asked to call the store itself. If it cannot reach the store, it is
// sent the changes a little later.
func (f *Follower) ChangesSince(known map[string]objects.Position) ([]objects.KindChanges, time.Duration) {
	var changes, callRequests []objects.KindChanges
	f.recordRelaying(clock.Now())
	age := f.relayedAge(clock.Now())
	for _, k := range f.cfg.Kinds {
		if f.MaySend(f.sizeSince(k, known[k.Name])) {
			if ch, ok := f.kindSince(k, known[k.Name]); ok {
				changes = append(changes, ch)
			}
			continue
		}
		if k.MayExpire || len(k.CompanionKinds) > 0 {
			// Such a kind needs calls for a while, not just one.
			return changes, max(age, forceCallsAge)
		}
		callRequests = append(callRequests, objects.KindChanges{Kind: k.Name, MustRefetch: true})
	}
	return append(changes, callRequests...), age
}

// relayingWindow is how long a box counts as relaying after another box requested changes. It covers a few heartbeats.
const relayingWindow = time.Second

func (f *Follower) recordRelaying(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastRelayedAt = now
}

// isRelaying reports whether another box has requested changes within relayingWindow.
func (f *Follower) isRelaying(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.lastRelayedAt) < relayingWindow
}

// relayedAge returns the age of the data that is sent to other boxes. If calls for some kinds fail, it is the age of the
// store's oldest last answer for one of these kinds. A call that waits for a change counts as answered. While another box
// relays changes to this one, the age of the other box applies to all kinds except those that the store must be called for,
// because no changes of these have been received since.
func (f *Follower) relayedAge(now time.Time) time.Duration {
	age := f.StoreAge()
	f.mu.Lock()
	defer f.mu.Unlock()
	relayed := now.Before(f.relayedUntil)
	for _, k := range f.cfg.Kinds {
		switch status := f.statusOf(k.Name); {
		case !k.Relayed:
		case relayed && status.needsCall:
			age = max(age, now.Sub(status.needsCallSince))
		case !relayed && status.failing && now.Sub(status.failingSince) > failureDelay:
			age = max(age, now.Sub(status.answeredAt))
		}
	}
	return age
}

// sizeSince returns the approximate size of the result of kindSince.
func (f *Follower) sizeSince(k Kind, known objects.Position) int {
	if !k.Relayed || f.currentRevision(k.Name) <= known {
		return 0
	}
	size := f.cfg.Catalog.KindChangesSize(k.Name, f.relayFrom(k.Name, known))
	for _, name := range f.namesFor(k.Name, known) {
		size += len(name) + nameOverhead
	}
	return size
}

// heldMargin is how long after the end of its grace period a held deletion must have been sent to all boxes.
const heldMargin = lateChangeTTL / 2

// addMargin adds heldMargin to the time until which deletions are held back, unless it is zero.
func addMargin(until time.Time) time.Time {
	if until.IsZero() {
		return until
	}
	return until.Add(heldMargin)
}

// held returns how long deletions of a kind may still be held back, and whether some were until recently.
func (f *Follower) held(kind string) (heldFor time.Duration, ended bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, k := clock.Now(), f.statusOf(kind)
	if k.heldUntil.After(now) {
		return k.heldUntil.Sub(now), false
	}
	return 0, !k.heldEndedAt.IsZero() && now.Sub(k.heldEndedAt) <= lateChangeTTL
}

// nameOverhead is the size of a name in a message, in bytes, without the name.
const nameOverhead = 3

// namesFor returns the names of all objects of a kind if this box may not know all deletions since the revision that another box knows,
// otherwise nil. A box does not know what was deleted before its start.
func (f *Follower) namesFor(kind string, known objects.Position) []string {
	f.mu.Lock()
	isKnown := known == 0 || known >= f.statusOf(kind).knownFrom
	f.mu.Unlock()
	if isKnown {
		return nil
	}
	return append([]string{}, f.cfg.Catalog.Names(kind)...)
}

// relayFrom returns the position after which changes of a kind are sent to a box that knows the kind up to a position. Zero
// means that all objects are sent.
func (f *Follower) relayFrom(kind string, known objects.Position) objects.Position {
	if f.coversSince(kind, known) {
		return known
	}
	return 0
}

// kindSince returns the changes of a kind after a known revision, and false if there is nothing to send.
func (f *Follower) kindSince(k Kind, known objects.Position) (objects.KindChanges, bool) {
	current := f.currentRevision(k.Name)
	if !k.Relayed || current == 0 {
		return objects.KindChanges{}, false
	}
	late := f.lateChangesFor(k.Name, known)
	heldFor, heldEnded := f.held(k.Name)
	if current <= known {
		ch := objects.KindChanges{Kind: k.Name, Revision: known, Objects: late, HeldFor: heldFor, HeldEnded: heldEnded}
		return ch, len(late) > 0 || heldFor > 0 || heldEnded
	}
	names := f.namesFor(k.Name, known)
	if names != nil {
		f.cfg.Scope.Counter("names_relayed").Inc(1)
		klog.V(1).InfoS("another box knows the kind from before this box started; sending all names", "kind", k.Name, "known", known, "names", len(names))
	}
	changed, complete := f.cfg.Catalog.KindChangesSince(k.Name, f.relayFrom(k.Name, known))
	return objects.KindChanges{
		Kind: k.Name, Revision: current, IsFullList: !complete, Objects: append(changed, late...), HasNames: names != nil, Names: names,
		HeldFor: heldFor, HeldEnded: heldEnded,
	}, true
}
