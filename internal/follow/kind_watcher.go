package follow

import (
	"errors"
	"time"

	"github.com/bellgap/bellgap/internal/objects"
)

// kindWatcher is the state of the goroutine that follows one kind. Only that goroutine uses it.
type kindWatcher struct {
	Kind
	// revision is the revision up to which the kind is known once it has been listed.
	revision objects.Position
	listed   bool
	// wasRelayed is set if relayed changes have replaced calls since the last call.
	wasRelayed bool
	// watchCut is set if the connection of the last watch was lost while it waited.
	watchCut bool
	// relist makes the next call a list because the last watch ended without an answer. A store that is about to lose its
	// history answers no watch, however short, for a second or more, while the answer to a list is always complete.
	relist bool
	// relistAt is when the known kind must be listed again, zero if it need not.
	relistAt time.Time
	// firstWatchAt is the earliest time of the first watch.
	firstWatchAt time.Time
	knownNames   map[string]bool
	// missing maps each object that was removed during or shortly after an outage to the time at which the removal is applied.
	missing map[string]time.Time
	// isHolding is set if this box was holding deletions back, or may have been told of some that it has now.
	isHolding bool
	// reappeared names objects that exist again after they were kept as missing. Other boxes may have dropped them.
	reappeared []string
}

func newKindWatcher(k Kind) *kindWatcher {
	return &kindWatcher{Kind: k, knownNames: map[string]bool{}, missing: map[string]time.Time{}}
}

// classifyResult decides which error the result of a call counts as, and whether the next call is a list. A watch whose
// connection is lost while it waits does not count as a failure the first time: the store may only have lost its history, or
// one of its servers may have been replaced. Counting it as an outage would keep removed objects for Config.Grace.
func (k *kindWatcher) classifyResult(took time.Duration, err error) error {
	watched := k.listed && !k.relist
	k.relist = false
	switch {
	case errors.Is(err, errInterrupted):
		k.relist = k.ProbesLostStore
		return err
	case err == nil || errors.Is(err, objects.ErrGone):
		k.watchCut = false
		return err
	}
	k.relist = watched
	if watched && !k.watchCut && took > minPause && took < k.Wait {
		k.watchCut = true
		return errors.Join(errWatchCut, err)
	}
	k.watchCut = false
	return err
}

// isListDue reports whether the known kind must be listed again now.
func (k *kindWatcher) isListDue(now time.Time) bool {
	return !k.relistAt.IsZero() && !now.Before(k.relistAt)
}

// addKnown adds the names of objects that were received by other means than this box's calls.
func (k *kindWatcher) addKnown(names []string) {
	for _, name := range names {
		k.knownNames[name] = true
	}
}

// processList processes a full list and returns the resulting changes. Before graceUntil, missing objects are kept.
func (k *kindWatcher) processList(now time.Time, list objects.Changes, graceUntil time.Time) objects.Changes {
	out := objects.Changes{Revision: list.Revision, Objects: list.Objects}
	listed := map[string]bool{}
	for _, o := range list.Objects {
		listed[o.Name] = true
	}
	for name := range k.knownNames {
		if !listed[name] && !k.FleetOwned {
			out.Objects = append(out.Objects, objects.Object{Kind: k.Name, Name: name, Version: list.Revision, Deleted: true})
		}
	}
	return k.deferDeletions(now, out, graceUntil)
}

// processWatch processes the answer to a watch and returns the resulting changes. Before graceUntil, deleted objects are kept.
func (k *kindWatcher) processWatch(now time.Time, ch objects.Changes, graceUntil time.Time) objects.Changes {
	return k.deferDeletions(now, ch, graceUntil)
}

// deferDeletions holds deletions back until graceUntil and adds those that were held back before and are now due.
func (k *kindWatcher) deferDeletions(now time.Time, ch objects.Changes, graceUntil time.Time) objects.Changes {
	out := objects.Changes{Revision: ch.Revision}
	for _, o := range ch.Objects {
		if !o.Deleted {
			// Changes are in order, so an object that was deleted and added again exists.
			k.knownNames[o.Name] = true
			k.noteReappeared(o.Name)
			out.Objects = append(out.Objects, o)
			continue
		}
		if now.Before(graceUntil) {
			if _, ok := k.missing[o.Name]; !ok && o.Kind == k.Name {
				k.missing[o.Name] = graceUntil
			}
			continue
		}
		delete(k.knownNames, o.Name)
		delete(k.missing, o.Name)
		out.Objects = k.appendDeletions(out.Objects, o.Name, o.Version)
	}
	for name, until := range k.missing {
		if now.Before(until) {
			continue
		}
		delete(k.missing, name)
		delete(k.knownNames, name)
		out.Objects = k.appendDeletions(out.Objects, name, max(k.revision, ch.Revision))
	}
	return out
}

// noteReappeared records that an object exists, also if it was kept as missing.
func (k *kindWatcher) noteReappeared(name string) {
	if _, missing := k.missing[name]; missing {
		delete(k.missing, name)
		k.reappeared = append(k.reappeared, name)
	}
}

// appendDeletions appends the deletions of an object and of the companion objects with its name.
func (k *kindWatcher) appendDeletions(changed []objects.Object, name string, version objects.Position) []objects.Object {
	for _, kind := range append([]string{k.Name}, k.CompanionKinds...) {
		changed = append(changed, objects.Object{Kind: kind, Name: name, Version: version, Deleted: true})
	}
	return changed
}

// heldUntil returns when the last missing object is removed, zero if no object is missing.
func (k *kindWatcher) heldUntil() time.Time {
	var last time.Time
	for _, until := range k.missing {
		if until.After(last) {
			last = until
		}
	}
	return last
}

// untilNextDeletion returns the time until the next missing object is removed, and false if no object is missing.
func (k *kindWatcher) untilNextDeletion(now time.Time) (time.Duration, bool) {
	var shortest time.Duration
	found := false
	for _, until := range k.missing {
		if d := max(time.Millisecond, until.Sub(now)); !found || d < shortest {
			shortest, found = d, true
		}
	}
	return shortest, found
}
