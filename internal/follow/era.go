package follow

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/objects"
)

// When the store has come back from an older copy, in a new era, each kind crosses over by its first list or by another box's word. What is in force stays so:
// objects that the copy lacks are kept for Config.Grace, as they are written again if they are still meant; objects that the copy has and that have gone since
// are withheld for withholdTime, unless they are written again; and what is older in the copy by its own generation is passed over by the catalog.

// withholdTime is how long after the store has come back an object that had gone is not believed to be there: entries that nobody writes lapse within it.
const withholdTime = 5 * time.Second

// Restored is what a box shows of the last time that the store came back from an older copy.
type Restored struct {
	// Era is the one that began then, zero if this box has seen none begin; Ago is how long ago it heard of that.
	Era int64         `json:"era"`
	Ago time.Duration `json:"ago"`
	// Kept counts the objects that are in force though the store lacks them, Withheld those that it has again and that are not in force.
	Kept     int `json:"kept"`
	Withheld int `json:"withheld"`
}

// Restored returns what is to be shown of the last restore of the store.
func (f *Follower) Restored() Restored {
	withheld := f.cfg.Catalog.Withheld()
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.restored
	if r.Era == 0 {
		return r
	}
	r.Ago, r.Withheld = clock.Since(f.restoredAt), withheld
	for _, k := range f.kinds {
		r.Kept += k.kept
	}
	return r
}

// cross begins a new era of a kind if revision is of one. The caller takes in what it has heard after that.
func (f *Follower) cross(kind string, revision objects.Position) (crossed bool) {
	now := clock.Now()
	f.mu.Lock()
	k := f.of(kind)
	known := k.known
	crossed = known > 0 && revision.Era() > known.Era()
	if crossed {
		k.crossedFrom, k.crossedAt = known, now
		if revision.Era() > f.restored.Era {
			f.restored, f.restoredAt = Restored{Era: revision.Era()}, now
		}
	}
	f.mu.Unlock()
	if !crossed {
		return false
	}
	f.cfg.Catalog.Withhold(kind)
	f.cfg.Scope.Counter("store_eras_crossed").Inc(1)
	f.cfg.Scope.Gauge("store_era").Update(float64(revision.Era()))
	klog.InfoS("store era", "kind", kind, "was", known.Era(), "is", revision.Era(), "known", known, "revision", revision)
	return true
}

// keepUntil returns until when objects that a list lacks are kept: while a new era begins, any that are not of the box's own making have time to be written
// again.
func (f *Follower) keepUntil(k *kindState) time.Time {
	until := f.graceUntil(k)
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := f.of(k.Name).crossedAt; !at.IsZero() && at.Add(f.cfg.Grace).After(until) {
		until = at.Add(f.cfg.Grace)
	}
	return until
}

// admit takes in what was withheld of a kind and is still there once that time is over. Other boxes know the store's revision already, so they are told of
// it like of a late deletion.
func (f *Follower) admit(kind string, now time.Time) {
	f.mu.Lock()
	k := f.of(kind)
	due := !k.crossedAt.IsZero() && now.Sub(k.crossedAt) >= withholdTime
	if due {
		k.crossedAt = time.Time{}
	}
	f.mu.Unlock()
	if !due {
		return
	}
	all := f.cfg.Catalog.Admit(kind)
	if len(all) == 0 {
		return
	}
	back, _ := told(all)
	klog.InfoS("objects that had gone are there again", "kind", kind, "names", back, "objects", len(all))
	f.cfg.Scope.Counter("objects_admitted").Inc(int64(len(all)))
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range all {
		f.late = append(f.late, lateChange{o, now})
	}
}

// spans reports whether what is known of a kind here tells all that has changed since a position that another box names: one of the same era, or that at
// which this box itself crossed over from the one before.
func (f *Follower) spans(kind string, from objects.Position) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.of(kind)
	return from.Era() == k.known.Era() || from == k.crossedFrom
}
