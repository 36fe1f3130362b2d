package follow

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/objects"
)

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
	return f.asked[kind]
}

// Known returns the revisions up to which the kinds are known, for another box that is to tell what lies beyond. Kinds that are
// needed whole are left out.
func (f *Follower) Known() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := maps.Clone(f.known)
	for kind, whole := range f.whole {
		if whole {
			delete(known, kind)
		}
	}
	return known
}

// revision returns the one up to which a kind is known.
func (f *Follower) revision(kind string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known[kind]
}

// lateFor is how long a late deletion is passed on: several heartbeats, and longer than another box goes without one before it asks
// the store itself.
const lateFor = 3 * time.Second

// lateDeletion is a deletion of a kind that lapses. One that was held back for a while after an outage comes when other boxes know
// the store's revision already, so that nothing else would tell them; the others are told once more than needed.
type lateDeletion struct {
	object objects.Object
	at     time.Time
}

// noteLate adds the deletions of a kind that lapses and drops those that all boxes have been told of.
func noteLate(late []lateDeletion, k *kindState, ch objects.Changes, now time.Time) []lateDeletion {
	late = slices.DeleteFunc(late, func(d lateDeletion) bool { return now.Sub(d.at) > lateFor })
	if !k.Lapses {
		return late
	}
	for _, o := range ch.Objects {
		if o.Deleted && o.Kind == k.Name {
			late = append(late, lateDeletion{o, now})
		}
	}
	return late
}

// lateOf returns the late deletions of a kind that a box may not have been told of, which knows the kind up to a revision.
func (f *Follower) lateOf(kind string, known int64) []objects.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []objects.Object
	for _, d := range f.late {
		if d.object.Kind == kind && d.object.Version <= known && time.Since(d.at) <= lateFor {
			out = append(out, d.object)
		}
	}
	return out
}

const (
	// smallChange is the size of changes that every box is told of at once.
	smallChange = 4 << 10
	// defaultTellRate is a tenth of what a link of 10 Mbit/s carries. A configuration of 1,400 routes is 280 KB; to tell 66 boxes of it
	// took such a link 15 seconds, in which no heartbeat was answered in time and no call of the teller's own came through.
	defaultTellRate = 125_000
	// untold is the age of the store's last answer as told to a box that is to ask the store itself.
	untold = relayAge + time.Second
)

// allowance is what may be passed on of large changes.
type allowance struct {
	// rate is in bytes a second, over all boxes.
	rate float64
	// owed is how many bytes have been passed on beyond what the time up to at allows.
	owed float64
	at   time.Time
}

// take reports whether changes of a size may be passed on now. One that is larger than all that a second allows may pass too, and the
// next has to wait for as long as it is worth.
func (a *allowance) take(now time.Time, size int) bool {
	a.owed, a.at = max(0, a.owed-now.Sub(a.at).Seconds()*a.rate), now
	if size <= smallChange {
		// Small changes always pass. They count up to what a second allows, so that large ones leave them room.
		a.owed = max(a.owed, min(a.owed+float64(size), a.rate))
		return true
	}
	if a.owed >= a.rate {
		return false
	}
	a.owed += float64(size)
	return true
}

// MayTell reports whether something of so many bytes may be told another box now.
func (f *Follower) MayTell(size int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.told.take(time.Now(), size)
}

// Since returns what is known here beyond known, for another box, and the time since the store last answered. Kinds that this box
// has through another one itself are not passed on, nor is more in a second than a link carries with ease: a box that could not be
// told all is to ask the store itself. One that cannot is told a little later.
func (f *Follower) Since(known map[string]int64) ([]objects.KindChanges, time.Duration) {
	if f.isRelayed(time.Now()) {
		return nil, untold
	}
	var out, asks []objects.KindChanges
	age := f.tellAge(time.Now())
	told := age
	for _, k := range f.cfg.Kinds {
		if f.MayTell(f.sizeSince(k, known[k.Name])) {
			if ch, ok := f.kindSince(k, known[k.Name]); ok {
				out = append(out, ch)
			}
			continue
		}
		told = max(age, untold)
		asks = append(asks, objects.KindChanges{Kind: k.Name, Ask: true, Age: age})
		if k.Lapses || len(k.With) > 0 {
			// Such a kind needs calls of its own for a while, and not only one.
			return out, told
		}
	}
	return append(out, asks...), told
}

// tellAge returns the age of what other boxes are told: that of the kind of which the store's last word is the oldest, if calls for it
// fail. Calls that wait for a change are as good as an answer.
func (f *Follower) tellAge(now time.Time) time.Duration {
	age := f.StoreAge()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range f.cfg.Kinds {
		if k.Relayed && f.failing[k.Name] {
			age = max(age, now.Sub(f.answered[k.Name]))
		}
	}
	return age
}

// sizeSince returns about how large what kindSince returns is.
func (f *Follower) sizeSince(k Kind, known int64) int {
	if !k.Relayed || f.revision(k.Name) <= known {
		return 0
	}
	return f.cfg.Catalog.KindSize(k.Name, known)
}

// kindSince returns what is known of a kind beyond a revision.
func (f *Follower) kindSince(k Kind, known int64) (objects.KindChanges, bool) {
	own := f.revision(k.Name)
	if !k.Relayed || own == 0 {
		return objects.KindChanges{}, false
	}
	late := f.lateOf(k.Name, known)
	if own <= known {
		return objects.KindChanges{Kind: k.Name, Revision: known, Objects: late}, len(late) > 0
	}
	changed, complete := f.cfg.Catalog.KindSince(k.Name, known)
	return objects.KindChanges{Kind: k.Name, Revision: own, Full: !complete, Objects: append(changed, late...)}, true
}

// Take takes changes from another box in. While they come and that box hears from the store, this one makes no calls.
func (f *Follower) Take(changes []objects.KindChanges, storeAge time.Duration) {
	f.noteGap(time.Now())
	var asked []string
	for _, ch := range changes {
		if !ch.Ask {
			f.take(ch)
			continue
		}
		asked = append(asked, ch.Kind)
		// A greater age has another reason, and holds for all kinds.
		if storeAge <= untold {
			storeAge = ch.Age
		}
	}
	if f.cfg.RelayFor == 0 || !f.IsReady() {
		return
	}
	now := time.Now()
	f.mu.Lock()
	if storeAge > relayAge {
		f.relayed = time.Time{}
		f.mu.Unlock()
		return
	}
	began := !now.Before(f.relayed)
	f.relayed = now.Add(f.cfg.RelayFor)
	for _, kind := range asked {
		f.asked[kind] = true
	}
	f.mu.Unlock()
	f.store.heardThrough(now.Add(-storeAge))
	if began {
		f.dropUnrelayed()
		f.askWhole()
		klog.V(1).InfoS("changes come with heartbeats", "store_age", storeAge)
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
		f.whole[k.Name] = f.whole[k.Name] || (k.Lapses && f.listedAt[k.Name].Before(since))
	}
}

// askWhole makes the next heartbeats ask for all of the kinds of which this box keeps what the store no longer has: what it has kept
// through an outage of its own the other may have given up long ago.
func (f *Follower) askWhole() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range f.cfg.Kinds {
		f.whole[k.Name] = f.whole[k.Name] || f.held[k.Name]
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
// and with those that a full list implies.
func (f *Follower) news(ch objects.KindChanges) []objects.Object {
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
		if ch.Full && !listed[name] {
			all = append(all, objects.Object{Kind: ch.Kind, Name: name, Version: ch.Revision, Deleted: true})
		}
	}
	return all
}

// take takes the changes of one kind in.
func (f *Follower) take(ch objects.KindChanges) {
	all := f.news(ch)
	if ch.Revision < f.revision(ch.Kind) {
		return
	}
	if len(all) > 0 {
		changed, gone := told(all)
		klog.V(1).InfoS("objects changed", "kind", ch.Kind, "revision", ch.Revision, "changed", changed, "gone", gone, "through", "coordinator")
		f.cfg.Catalog.Apply(objects.Changes{Objects: all, Revision: ch.Revision})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known[ch.Kind] = max(f.known[ch.Kind], ch.Revision)
	f.whole[ch.Kind] = f.whole[ch.Kind] && !ch.Full
}
