package follow

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/objects"
)

// When the store is restored from an older copy, a new era begins. Each kind switches to the new era with its first list or
// with changes from another box. Objects that are in force stay in force:
//   - Objects that the copy lacks are kept for Config.Grace, because they are written again if they are still valid.
//   - Objects that the copy has but that were deleted since are withheld for withholdTime, unless they are written again.
//   - Objects that are older in the copy, by their own generation, are skipped by the catalog.

// withholdTime is how long after a restore of the store an object that had been deleted before stays withheld. Entries that
// nobody renews expire within this time.
const withholdTime = 5 * time.Second

// RestoreStatus describes the last restore of the store from an older copy, as shown to operators.
type RestoreStatus struct {
	// Era is the era that began with the restore, zero if this box has detected none. Ago is the time since this box detected
	// it.
	Era int64         `json:"era"`
	Ago time.Duration `json:"ago"`
	// Kept counts the objects that are in force although the store lacks them. Withheld counts those that the store has again
	// and that are not in force.
	Kept     int `json:"kept"`
	Withheld int `json:"withheld"`
}

// LastRestore returns the state of the last restore of the store.
func (f *Follower) LastRestore() RestoreStatus {
	withheld := f.cfg.Catalog.WithheldCount()
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.lastRestore
	if r.Era == 0 {
		return r
	}
	r.Ago, r.Withheld = clock.Since(f.lastRestoreAt), withheld
	for _, k := range f.statuses {
		r.Kept += k.keptObjects
	}
	return r
}

// detectNewEra switches a kind to the era of revision if that era is new. The caller applies the received changes after that.
func (f *Follower) detectNewEra(kind string, revision objects.Position) (isNew bool) {
	now := clock.Now()
	f.mu.Lock()
	k := f.statusOf(kind)
	previous := k.knownRevision
	isNew = previous > 0 && revision.Era() > previous.Era()
	if isNew {
		k.previousEraRevision, k.eraChangedAt = previous, now
		if revision.Era() > f.lastRestore.Era {
			f.lastRestore, f.lastRestoreAt = RestoreStatus{Era: revision.Era()}, now
		}
	}
	f.mu.Unlock()
	if !isNew {
		return false
	}
	f.cfg.Catalog.BeginWithholding(kind)
	f.cfg.Scope.Counter("store_eras_crossed").Inc(1)
	f.cfg.Scope.Gauge("store_era").Update(float64(revision.Era()))
	klog.InfoS("store restored from an older copy; new era begins",
		"kind", kind, "was", previous.Era(), "is", revision.Era(), "known", previous, "revision", revision)
	return true
}

// keepMissingUntil returns until when objects that a list lacks are kept. After the start of a new era, objects that are not
// this fleet's own have Config.Grace to be written again.
func (f *Follower) keepMissingUntil(k *kindWatcher) time.Time {
	until := f.outageGraceUntil(k)
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := f.statusOf(k.Name).eraChangedAt; !at.IsZero() && at.Add(f.cfg.Grace).After(until) {
		until = at.Add(f.cfg.Grace)
	}
	return until
}

// admitWithheld applies the withheld objects of a kind that still exist after withholdTime. Other boxes know the store's
// revision already, so they are sent these objects like late deletions.
func (f *Follower) admitWithheld(kind string, now time.Time) {
	f.mu.Lock()
	k := f.statusOf(kind)
	due := !k.eraChangedAt.IsZero() && now.Sub(k.eraChangedAt) >= withholdTime
	if due {
		k.eraChangedAt = time.Time{}
	}
	f.mu.Unlock()
	if !due {
		return
	}
	all := f.cfg.Catalog.ReleaseWithheld(kind)
	if len(all) == 0 {
		return
	}
	names, _ := loggedNames(all)
	klog.InfoS("withheld objects in force again", "kind", kind, "names", names, "objects", len(all))
	f.cfg.Scope.Counter("objects_admitted").Inc(int64(len(all)))
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range all {
		f.lateChanges = append(f.lateChanges, lateChange{o, now})
	}
}

// coversSince reports whether this box knows all changes of a kind since a position that another box sent. The position must be
// of the same era, or the one at which this box switched from the previous era.
func (f *Follower) coversSince(kind string, from objects.Position) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.statusOf(kind)
	return from.Era() == k.knownRevision.Era() || from == k.previousEraRevision
}
