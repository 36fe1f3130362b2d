package follow

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/objects"
)

// A box that has its changes through another one knows what that one knows, but for entries of kinds that lapse: after an outage of the
// store either box may keep what the other has dropped. To make up for that the box that tells repeats its late deletions
// (late) and tells again what came back while it kept it (kindState.returned). The box that is told asks for the whole of a kind (whole) if
// it keeps something itself that the store no longer has (kept), or has heard nothing for a while and not listed the kind since (noteGap).

// isRelayed reports whether changes come through another box.
func (f *Follower) isRelayed(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.relayed)
}

// isAsked reports whether the store is to be asked for a kind though changes come through another box.
func (f *Follower) isAsked(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.of(kind).asked
}

// Known returns the revisions up to which the kinds are known, for another box that is to tell what lies beyond. Kinds that are
// needed whole are left out.
func (f *Follower) Known() map[string]objects.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	known := map[string]objects.Position{}
	for name, k := range f.kinds {
		if !k.wholeAt.IsZero() && !now.Before(k.wholeAt) {
			k.whole, k.wholeAt = true, time.Time{}
		}
		if k.known > 0 && !k.whole {
			known[name] = k.known
		}
	}
	return known
}

// revision returns the one up to which a kind is known.
func (f *Follower) revision(kind string) objects.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.of(kind).known
}

// Take takes changes from another box in. While they come and that box hears from the store, this one makes no calls.
func (f *Follower) Take(changes []objects.KindChanges, storeAge time.Duration) {
	f.noteGap(clock.Now())
	var asked []string
	for _, ch := range changes {
		if !ch.Ask {
			f.take(ch)
			continue
		}
		asked = append(asked, ch.Kind)
	}
	if f.cfg.RelayFor == 0 || !f.IsReady() {
		return
	}
	now := clock.Now()
	f.mu.Lock()
	if storeAge > relayAge {
		ended := now.Before(f.relayed)
		f.relayed = time.Time{}
		f.mu.Unlock()
		if ended {
			f.cfg.Scope.Counter("relay_ended").Inc(1)
			klog.InfoS("changes come by calls", "told_store_age", storeAge)
		}
		return
	}
	began := !now.Before(f.relayed)
	f.relayed = now.Add(f.cfg.RelayFor)
	f.noteAnswered(now.Add(-storeAge))
	for _, kind := range asked {
		if k := f.of(kind); !k.asked {
			k.asked, k.askedAt = true, now
		}
	}
	f.mu.Unlock()
	f.store.heardThrough(now.Add(-storeAge))
	if began {
		f.dropUnrelayed()
		f.askWhole()
		klog.V(1).InfoS("changes come with heartbeats", "store_age", storeAge)
	}
}

// noteAnswered notes that another box's word is as good as an answer of the store at a time, for the kinds that it passes on. Without it the
// first call of this box that failed made what it tells as old as its own call before: 41 s on a day, when the store was back already. The
// caller holds the lock.
func (f *Follower) noteAnswered(at time.Time) {
	for _, k := range f.cfg.Kinds {
		own := f.of(k.Name)
		if k.Relayed && !own.asked && own.answered.Before(at) {
			own.answered, own.failing = at, false
		}
	}
}

// noteGap asks for all of the kinds that lapse after a time without a word from the other box, unless this one has listed them itself
// since: deletions that the other made late are repeated for lateFor only, and nothing else would tell of them.
func (f *Follower) noteGap(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := f.takenAt
	f.takenAt = now
	if since.IsZero() || now.Sub(since) < lateFor/2 {
		return
	}
	for _, k := range f.cfg.Kinds {
		own := f.of(k.Name)
		own.whole = own.whole || (k.Lapses && own.listedAt.Before(since))
	}
}

// askWhole makes the next heartbeats ask for all of the kinds of which this box keeps what the store no longer has: what it has kept
// through an outage of its own the other may have given up long ago.
func (f *Follower) askWhole() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range f.cfg.Kinds {
		own := f.of(k.Name)
		own.whole = own.whole || own.kept > 0
	}
}

// dropUnrelayed forgets what goes with a relayed kind and is not relayed itself, as it would only grow old.
func (f *Follower) dropUnrelayed() {
	var drop objects.Changes
	for _, k := range f.cfg.Kinds {
		for _, kind := range k.With {
			for _, name := range f.cfg.Catalog.Names(kind) {
				drop.Objects = append(drop.Objects, objects.Object{Kind: kind, Name: name, Version: f.revision(k.Name), Deleted: true})
			}
		}
	}
	f.cfg.Catalog.Apply(drop)
}

// news returns what of another box's changes is new here: without deletions of what is gone already, which are told more than once,
// and with those that a full list implies, unless objects that it lacks are kept.
func (f *Follower) news(ch objects.KindChanges, keep bool) []objects.Object {
	held := map[string]bool{}
	for _, name := range f.cfg.Catalog.Names(ch.Kind) {
		held[name] = true
	}
	listed := map[string]bool{}
	var all []objects.Object
	for _, o := range ch.Objects {
		listed[o.Name] = true
		if !o.Deleted || held[o.Name] {
			all = append(all, o)
		}
	}
	for name := range held {
		if ch.Full && !keep && !listed[name] {
			all = append(all, objects.Object{Kind: ch.Kind, Name: name, Version: ch.Revision, Deleted: true})
		}
	}
	return all
}

// take takes the changes of one kind in.
func (f *Follower) take(ch objects.KindChanges) {
	crossed := f.cross(ch.Kind, ch.Revision)
	all := f.news(ch, crossed)
	if known := f.revision(ch.Kind); ch.Revision < known {
		f.cfg.Scope.Counter("told_passed_over").Inc(1)
		klog.V(1).InfoS("told changes passed over", "kind", ch.Kind, "revision", ch.Revision, "known", known, "objects", len(ch.Objects))
		return
	}
	if len(all) > 0 {
		changed, gone := told(all)
		klog.V(1).InfoS("objects changed", "kind", ch.Kind, "revision", ch.Revision, "changed", changed, "gone", gone, "through", "coordinator")
		f.notePassedOver(ch.Kind, ch.Revision, f.cfg.Catalog.Apply(objects.Changes{Objects: all, Revision: ch.Revision}))
	}
	f.noteTold(ch)
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.of(ch.Kind)
	k.known, k.whole = max(k.known, ch.Revision), k.whole && !ch.Full
	if crossed && ch.Full {
		k.wholeAt = clock.Now().Add(f.cfg.Grace)
	}
}

// noteTold makes this box pass on what its revision does not show, so that a box that it tells hears what it would from the other itself:
// deletions that were late there, and objects that came back and are here as they were.
func (f *Follower) noteTold(ch objects.KindChanges) {
	lapses := slices.ContainsFunc(f.cfg.Kinds, func(k Kind) bool { return k.Name == ch.Kind && k.Lapses })
	if !lapses || ch.Full {
		return
	}
	now := clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late = dropOld(f.late, now)
	for _, o := range ch.Objects {
		same := func(d lateChange) bool {
			return d.object.Name == o.Name && d.object.Kind == o.Kind && d.object.Version == o.Version
		}
		switch {
		case !o.Deleted:
			f.cfg.Catalog.Touch(ch.Kind, o.Name)
		case !slices.ContainsFunc(f.late, same):
			f.late = append(f.late, lateChange{o, now})
		}
	}
}
