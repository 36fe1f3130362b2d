package follow

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/objects"
)

// A box that receives its changes from another box has the same objects as that box, except for expiring kinds. After an outage of
// the store, each of the two boxes may keep objects that the other one has dropped. To correct this, the sending box sends its late
// deletions more than once (lateChanges), and sends objects again that reappeared while it kept them (kindWatcher.reappeared). The
// receiving box requests all objects of a kind (needsFull) if it keeps objects that the store no longer has (keptObjects), or if it
// has received nothing for a while and has not listed the kind since (requestFullAfterGap).

// isRelayed reports whether changes from another box replace calls.
func (f *Follower) isRelayed(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.relayedUntil)
}

// mustCallStore reports whether the store must be called for a kind although changes are relayed.
func (f *Follower) mustCallStore(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.statusOf(kind).needsCall
}

// KnownRevisions returns the revisions up to which the kinds are known, for another box that sends the changes after them. Kinds that
// this box needs in full are left out.
func (f *Follower) KnownRevisions() map[string]objects.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	known := map[string]objects.Position{}
	for name, k := range f.statuses {
		if !k.needsFullAt.IsZero() && !now.Before(k.needsFullAt) {
			k.needsFull, k.needsFullAt = true, time.Time{}
		}
		if !k.heldUntil.IsZero() && !now.Before(k.heldUntil) {
			// The box that held deletions back is gone, and no other one may know of them.
			k.needsFull, k.heldUntil = true, time.Time{}
		}
		if k.knownRevision > 0 && !k.needsFull {
			known[name] = k.knownRevision
		}
	}
	return known
}

// currentRevision returns the revision up to which a kind is known.
func (f *Follower) currentRevision(kind string) objects.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.statusOf(kind).knownRevision
}

// ApplyChanges applies changes from another box. As long as they arrive and the store answers the other box, this box makes no calls.
func (f *Follower) ApplyChanges(changes []objects.KindChanges, storeAge time.Duration) {
	f.requestFullAfterGap(clock.Now())
	var kindsToCall []string
	for _, ch := range changes {
		if !ch.MustRefetch {
			f.applyKindChanges(ch)
			continue
		}
		kindsToCall = append(kindsToCall, ch.Kind)
	}
	if f.cfg.RelayTimeout == 0 || !f.IsReady() {
		return
	}
	now := clock.Now()
	f.mu.Lock()
	if storeAge > maxRelayedAge {
		wasRelayed := now.Before(f.relayedUntil)
		f.relayedUntil = time.Time{}
		f.mu.Unlock()
		if wasRelayed {
			f.cfg.Scope.Counter("relay_ended").Inc(1)
			klog.InfoS("relayed changes are too old; calling the store again", "told_store_age", storeAge)
		}
		return
	}
	starting := !now.Before(f.relayedUntil)
	f.relayedUntil = now.Add(f.cfg.RelayTimeout)
	f.markRelayedKindsAnswered(now.Add(-storeAge))
	for _, kind := range kindsToCall {
		if k := f.statusOf(kind); !k.needsCall {
			k.needsCall, k.needsCallSince = true, now
		}
	}
	f.mu.Unlock()
	f.store.recordRelayedAnswer(now.Add(-storeAge))
	if starting {
		f.dropCompanions()
		f.requestFullForKept()
		klog.V(1).InfoS("receiving changes with heartbeats; no calls to the store", "store_age", storeAge)
	}
}

// markRelayedKindsAnswered counts an answer of the store to another box as an answer for all kinds that the other box relays.
// Without this, the first failed call of this box made it report the age of its own previous call: 41 s on one day, when the
// store was already back. The caller holds the lock.
func (f *Follower) markRelayedKindsAnswered(at time.Time) {
	for _, k := range f.cfg.Kinds {
		status := f.statusOf(k.Name)
		if k.Relayed && !status.needsCall && status.answeredAt.Before(at) {
			status.answeredAt, status.failing = at, false
		}
	}
}

// requestFullAfterGap requests all objects of the expiring kinds if no changes came from the other box for a while, unless this
// box has listed them since. The other box sends its late deletions only for lateChangeTTL, and nothing else would report
// them.
func (f *Follower) requestFullAfterGap(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := f.lastReceivedAt
	f.lastReceivedAt = now
	if since.IsZero() || now.Sub(since) < lateChangeTTL/2 {
		return
	}
	for _, k := range f.cfg.Kinds {
		status := f.statusOf(k.Name)
		status.needsFull = status.needsFull || (k.MayExpire && status.lastListedAt.Before(since))
	}
}

// requestFullForKept makes the next heartbeats request all objects of each kind of which this box keeps objects that the store
// lacks. The other box may have removed long ago what this box kept through an outage of its own.
func (f *Follower) requestFullForKept() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range f.cfg.Kinds {
		status := f.statusOf(k.Name)
		status.needsFull = status.needsFull || status.keptObjects > 0
	}
}

// dropCompanions removes the objects of companion kinds from the catalog. They are not relayed and would become outdated.
func (f *Follower) dropCompanions() {
	var drop objects.Changes
	for _, k := range f.cfg.Kinds {
		for _, kind := range k.CompanionKinds {
			for _, name := range f.cfg.Catalog.Names(kind) {
				drop.Objects = append(drop.Objects, objects.Object{Kind: kind, Name: name, Version: f.currentRevision(k.Name), Deleted: true})
			}
		}
	}
	f.cfg.Catalog.Apply(drop)
}

// newChanges returns the changes from another box that are new here. It omits deletions of objects that are already gone,
// because those are sent more than once. It adds the deletions that a full list or a list of
// names implies, unless keepMissing is set.
func (f *Follower) newChanges(ch objects.KindChanges, keepMissing bool) []objects.Object {
	inCatalog := map[string]bool{}
	for _, name := range f.cfg.Catalog.Names(ch.Kind) {
		inCatalog[name] = true
	}
	listed := map[string]bool{}
	for _, name := range ch.Names {
		listed[name] = true
	}
	var all []objects.Object
	for _, o := range ch.Objects {
		listed[o.Name] = true
		if !o.Deleted || inCatalog[o.Name] {
			all = append(all, o)
		}
	}
	for name := range inCatalog {
		if (ch.IsFullList || ch.HasNames) && !keepMissing && !listed[name] {
			all = append(all, objects.Object{Kind: ch.Kind, Name: name, Version: ch.Revision, Deleted: true})
		}
	}
	return all
}

// applyKindChanges applies the changes of one kind from another box.
func (f *Follower) applyKindChanges(ch objects.KindChanges) {
	isNewEra := f.detectNewEra(ch.Kind, ch.Revision)
	all := f.newChanges(ch, isNewEra)
	if known := f.currentRevision(ch.Kind); ch.Revision < known {
		f.cfg.Scope.Counter("told_passed_over").Inc(1)
		klog.V(1).InfoS("outdated relayed changes skipped", "kind", ch.Kind, "revision", ch.Revision, "known", known, "objects", len(ch.Objects))
		return
	}
	if len(all) > 0 {
		changed, gone := loggedNames(all)
		klog.V(1).InfoS("objects changed", "kind", ch.Kind, "revision", ch.Revision, "changed", changed, "gone", gone, "through", "coordinator")
		f.reportSkipped(ch.Kind, ch.Revision, f.cfg.Catalog.Apply(objects.Changes{Objects: all, Revision: ch.Revision}))
	}
	f.recordLateReceived(ch, all)
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.statusOf(ch.Kind)
	k.advanceKnown(ch.Revision)
	switch now := clock.Now(); {
	case ch.HeldFor > 0:
		k.recordHeld(now, now.Add(ch.HeldFor))
	case ch.HeldEnded || ch.IsFullList:
		k.recordHeld(now, time.Time{})
	}
	k.needsFull = k.needsFull && !ch.IsFullList
	if isNewEra && ch.IsFullList {
		k.needsFullAt = clock.Now().Add(f.cfg.Grace)
	}
}

// recordLateReceived makes this box relay received changes that its revision does not show, so that the boxes it sends changes
// to receive the same as from the original sender. These are deletions that were late at the sender, and objects that
// reappeared there and are unchanged here. applied holds the changes that were new here, with the deletions that a list implied.
func (f *Follower) recordLateReceived(ch objects.KindChanges, applied []objects.Object) {
	isExpiring := slices.ContainsFunc(f.cfg.Kinds, func(k Kind) bool { return k.Name == ch.Kind && k.MayExpire })
	if !isExpiring {
		return
	}
	deletions := slices.DeleteFunc(slices.Clone(applied), func(o objects.Object) bool { return !o.Deleted })
	received := ch.Objects
	switch {
	case ch.IsFullList:
		received = deletions
	case ch.HasNames:
		received = slices.Concat(ch.Objects, deletions)
	}
	now := clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateChanges = dropExpired(f.lateChanges, now)
	for _, o := range received {
		isSame := func(d lateChange) bool {
			return d.object.Name == o.Name && d.object.Kind == o.Kind && d.object.Version == o.Version
		}
		switch {
		case !o.Deleted:
			f.cfg.Catalog.MarkChanged(ch.Kind, o.Name)
		case !slices.ContainsFunc(f.lateChanges, isSame):
			f.lateChanges = append(f.lateChanges, lateChange{o, now})
		}
	}
}
