package follow

import (
	"errors"
	"time"

	"github.com/bellgap/bellgap/internal/objects"
)

// kindState is what a follower knows of one kind. One goroutine uses it.
type kindState struct {
	Kind
	// revision is that up to which the kind is known once it has been listed.
	revision objects.Position
	listed   bool
	// relayed says that changes have come through another box since the last call.
	relayed bool
	// cut says that the last watch was cut while it waited.
	cut bool
	// relist says that the next call is to be a list, as the last watch ended without an answer: a store that is about to forget its history
	// answers no watch, however short, for a second or more, and what a list says is whole.
	relist bool
	// listAt is when the kind is to be listed anew though it is known; zero if it is not.
	listAt time.Time
	// holdUntil is when the first watch may begin.
	holdUntil time.Time
	known     map[string]bool
	// missing holds objects that were removed shortly after an outage, with the time at which that is believed.
	missing map[string]time.Time
	// returned holds objects that came back while they were kept as missing: other boxes may have dropped them.
	returned []string
}

func newKindState(k Kind) *kindState {
	return &kindState{Kind: k, known: map[string]bool{}, missing: map[string]time.Time{}}
}

// judge returns how a call that took so long has ended, and chooses the next. The first watch that is cut while it waits is no failure yet:
// the store may only have forgotten its history, or one of it may have been replaced, and an outage that is none keeps what is gone for a while.
func (k *kindState) judge(took time.Duration, err error) error {
	watched := k.listed && !k.relist
	k.relist = false
	switch {
	case errors.Is(err, errWoken):
		k.relist = k.Probes
		return err
	case err == nil || errors.Is(err, objects.ErrGone):
		k.cut = false
		return err
	}
	k.relist = watched
	if watched && !k.cut && took > minPause && took < k.Wait {
		k.cut = true
		return errors.Join(errCut, err)
	}
	k.cut = false
	return err
}

// listIsDue reports whether the kind is to be listed anew.
func (k *kindState) listIsDue(now time.Time) bool { return !k.listAt.IsZero() && !now.Before(k.listAt) }

// know adds objects that came by another way than by calls.
func (k *kindState) know(names []string) {
	for _, name := range names {
		k.known[name] = true
	}
}

// replace takes a full list in and returns what changes by it. Before graceUntil missing objects are kept.
func (k *kindState) replace(now time.Time, list objects.Changes, graceUntil time.Time) objects.Changes {
	out := objects.Changes{Revision: list.Revision, Objects: list.Objects}
	listed := map[string]bool{}
	for _, o := range list.Objects {
		listed[o.Name] = true
	}
	for name := range k.known {
		if !listed[name] && !k.Ours {
			out.Objects = append(out.Objects, objects.Object{Kind: k.Name, Name: name, Version: list.Revision, Deleted: true})
		}
	}
	return k.settle(now, out, graceUntil)
}

// changes takes a watch's answer in and returns what changes by it.
func (k *kindState) changes(now time.Time, ch objects.Changes, graceUntil time.Time) objects.Changes {
	return k.settle(now, ch, graceUntil)
}

// settle holds deletions back until graceUntil and adds those whose time has come.
func (k *kindState) settle(now time.Time, ch objects.Changes, graceUntil time.Time) objects.Changes {
	out := objects.Changes{Revision: ch.Revision}
	for _, o := range ch.Objects {
		if !o.Deleted {
			// In the order of the answer: one that went and is back is there.
			k.known[o.Name] = true
			k.back(o.Name)
			out.Objects = append(out.Objects, o)
			continue
		}
		if now.Before(graceUntil) {
			if _, ok := k.missing[o.Name]; !ok && o.Kind == k.Name {
				k.missing[o.Name] = graceUntil
			}
			continue
		}
		delete(k.known, o.Name)
		delete(k.missing, o.Name)
		out.Objects = k.remove(out.Objects, o.Name, o.Version)
	}
	for name, until := range k.missing {
		if now.Before(until) {
			continue
		}
		delete(k.missing, name)
		delete(k.known, name)
		out.Objects = k.remove(out.Objects, name, max(k.revision, ch.Revision))
	}
	return out
}

// back takes in that an object is there.
func (k *kindState) back(name string) {
	if _, missing := k.missing[name]; missing {
		delete(k.missing, name)
		k.returned = append(k.returned, name)
	}
}

// remove adds the deletion of an object and of what goes with it.
func (k *kindState) remove(changed []objects.Object, name string, version objects.Position) []objects.Object {
	for _, kind := range append([]string{k.Name}, k.With...) {
		changed = append(changed, objects.Object{Kind: kind, Name: name, Version: version, Deleted: true})
	}
	return changed
}

// nextExpiry returns the time until the first missing object is given up.
func (k *kindState) nextExpiry(now time.Time) (time.Duration, bool) {
	var least time.Duration
	found := false
	for _, until := range k.missing {
		if d := max(time.Millisecond, until.Sub(now)); !found || d < least {
			least, found = d, true
		}
	}
	return least, found
}
