package follow

import (
	"time"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/objects"
)

// What a box knows of a kind is confirmed as of a moment: all that the store had acknowledged before it is known here. A call confirms the moment
// at which it began, as the store may have answered at any time after that, and a watch that ends without changes may have been deaf since: a store
// that forgets its history leaves such. Another box's word confirms the moment at which it was asked for,
// less the age that it names. So a confirmation that was held up, read late or passed on twice is older than the truth, never younger.

// confirm notes that a kind is known as of a moment.
func (f *Follower) confirm(kind string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.of(kind).confirmAt(at)
}

func (k *knowledge) confirmAt(at time.Time) {
	if at.After(k.confirmed) {
		k.confirmed = at
	}
}

// ConfirmedAt returns the moment as of which a kind is known here, zero if it is not.
func (f *Follower) ConfirmedAt(kind string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.of(kind).confirmed
}

// Confirmed returns the age of what is known here, for another box. It has to be asked before what is told with it.
func (f *Follower) Confirmed() map[string]objects.Confirmation {
	now := clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]objects.Confirmation{}
	for _, k := range f.cfg.Kinds {
		own := f.of(k.Name)
		if k.Confirmed && own.known > 0 && !own.confirmed.IsZero() {
			out[k.Name] = objects.Confirmation{Revision: own.known, Age: now.Sub(own.confirmed)}
		}
	}
	return out
}

// Confirm takes another box's ages in, after what it told with them. The question for them was sent at askedAt.
func (f *Follower) Confirm(told map[string]objects.Confirmation, askedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for kind, c := range told {
		// A box that lacks what the teller knows, as it was too large to be passed on, has to ask the store.
		if own := f.of(kind); c.Age >= 0 && own.known >= c.Revision && own.known.Era() == c.Revision.Era() {
			own.confirmAt(askedAt.Add(-c.Age))
		}
	}
}
