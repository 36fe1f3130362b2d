package follow

import (
	"slices"
	"time"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/objects"
)

// lateFor is how long a late change is passed on: several heartbeats, and longer than another box goes without one before it asks
// the store itself.
const lateFor = 3 * time.Second

// lateChange is a deletion of a kind that lapses, or an object of a kind that was withheld. One that was held back for a while comes when other boxes know
// the store's revision already, so that nothing else would tell them; the others are told once more than needed.
type lateChange struct {
	object objects.Object
	at     time.Time
}

// dropOld drops the changes that all boxes have been told of.
func dropOld(late []lateChange, now time.Time) []lateChange {
	return slices.DeleteFunc(late, func(d lateChange) bool { return now.Sub(d.at) > lateFor })
}

// noteLate adds the deletions of a kind that lapses.
func noteLate(late []lateChange, k *kindState, ch objects.Changes, now time.Time) []lateChange {
	late = dropOld(late, now)
	if !k.Lapses {
		return late
	}
	for _, o := range ch.Objects {
		if o.Deleted && o.Kind == k.Name {
			late = append(late, lateChange{o, now})
		}
	}
	return late
}

// lateOf returns the late changes of a kind that a box may not have been told of, which knows the kind up to a revision.
func (f *Follower) lateOf(kind string, known objects.Position) []objects.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []objects.Object
	for _, d := range f.late {
		if d.object.Kind == kind && d.object.Version <= known && clock.Since(d.at) <= lateFor {
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
	// reaskTime is how long after a call for a kind has failed it does not count in the age that others are told. A call that hardly waits
	// is made at once then, and 0.3 s are ten round trips to a store that is there. A store that forgets its history leaves watches without
	// an answer; when the age of the watch before, up to 3.5 s, was told at once, 195 boxes made 4,200 calls for nothing.
	reaskTime = 300 * time.Millisecond
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
	return f.told.take(clock.Now(), size)
}

// Since returns what is known here beyond known, for another box, and the time since the store last answered. What this box has through
// another one itself is passed on with the age that it has there. No more is passed on in a second than a link carries with ease: a box
// that could not be told all is to ask the store itself. One that cannot is told a little later.
func (f *Follower) Since(known map[string]objects.Position) ([]objects.KindChanges, time.Duration) {
	var out, asks []objects.KindChanges
	f.noteTells(clock.Now())
	age := f.tellAge(clock.Now())
	for _, k := range f.cfg.Kinds {
		if f.MayTell(f.sizeSince(k, known[k.Name])) {
			if ch, ok := f.kindSince(k, known[k.Name]); ok {
				out = append(out, ch)
			}
			continue
		}
		if k.Lapses || len(k.With) > 0 {
			// Such a kind needs calls of its own for a while, and not only one.
			return out, max(age, untold)
		}
		asks = append(asks, objects.KindChanges{Kind: k.Name, Ask: true})
	}
	return append(out, asks...), age
}

// tellsFor is how long after it was asked a box counts as one that tells others: a few heartbeats.
const tellsFor = time.Second

func (f *Follower) noteTells(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.toldAt = now
}

// tells reports whether other boxes have been told lately.
func (f *Follower) tells(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.toldAt) < tellsFor
}

// tellAge returns the age of what other boxes are told: that of the kind of which the store's last word is the oldest, if calls for it
// fail. Calls that wait for a change are as good as an answer. While another box tells this one, its word stands for all kinds but those
// that the store is to be asked for: of these nothing has been heard since.
func (f *Follower) tellAge(now time.Time) time.Duration {
	age := f.StoreAge()
	f.mu.Lock()
	defer f.mu.Unlock()
	relayed := now.Before(f.relayed)
	for _, k := range f.cfg.Kinds {
		switch own := f.of(k.Name); {
		case !k.Relayed:
		case relayed && own.asked:
			age = max(age, now.Sub(own.askedAt))
		case !relayed && own.failing && now.Sub(own.failedAt) > reaskTime:
			age = max(age, now.Sub(own.answered))
		}
	}
	return age
}

// sizeSince returns about how large what kindSince returns is.
func (f *Follower) sizeSince(k Kind, known objects.Position) int {
	if !k.Relayed || f.revision(k.Name) <= known {
		return 0
	}
	return f.cfg.Catalog.KindSize(k.Name, f.tellFrom(k.Name, known))
}

// tellFrom returns the position from which on another box is told of a kind that it knows up to a position: zero for all of it.
func (f *Follower) tellFrom(kind string, known objects.Position) objects.Position {
	if f.spans(kind, known) {
		return known
	}
	return 0
}

// kindSince returns what is known of a kind beyond a revision.
func (f *Follower) kindSince(k Kind, known objects.Position) (objects.KindChanges, bool) {
	own := f.revision(k.Name)
	if !k.Relayed || own == 0 {
		return objects.KindChanges{}, false
	}
	late := f.lateOf(k.Name, known)
	if own <= known {
		return objects.KindChanges{Kind: k.Name, Revision: known, Objects: late}, len(late) > 0
	}
	changed, complete := f.cfg.Catalog.KindSince(k.Name, f.tellFrom(k.Name, known))
	return objects.KindChanges{Kind: k.Name, Revision: own, Full: !complete, Objects: append(changed, late...)}, true
}
