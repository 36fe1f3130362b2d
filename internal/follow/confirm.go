package follow

import (
	"time"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/objects"
)

// A kind is confirmed as of a time if all changes that the store acknowledged before that time are known here.
//
// A call confirms the time at which it began, because the store may have answered at any time after that. A watch that ends
// without changes confirms no later time either, because it may have missed changes: a store that loses its history leaves such
// watches behind. A confirmation from another box confirms the time at which it was requested, less the age that it contains. A
// confirmation that was delayed, read late or relayed twice is therefore reported as older than it is, never as more recent.

// recordConfirmed records that a kind is confirmed as of a time.
func (f *Follower) recordConfirmed(kind string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statusOf(kind).advanceConfirmed(at)
}

func (k *kindStatus) advanceConfirmed(at time.Time) {
	if at.After(k.confirmedAt) {
		k.confirmedAt = at
	}
}

// ConfirmedAt returns the time as of which a kind is confirmed, zero if it is not.
func (f *Follower) ConfirmedAt(kind string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.statusOf(kind).confirmedAt
}

// Confirmations returns the age of this box's data of each confirmed kind, for another box. It must be called before reading the
// changes that are sent with it, so that these include the confirmed revision.
func (f *Follower) Confirmations() map[string]objects.Confirmation {
	now := clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	confirmations := map[string]objects.Confirmation{}
	for _, k := range f.cfg.Kinds {
		status := f.statusOf(k.Name)
		if k.SendsConfirmations && status.knownRevision > 0 && !status.confirmedAt.IsZero() {
			confirmations[k.Name] = objects.Confirmation{Revision: status.knownRevision, Age: now.Sub(status.confirmedAt)}
		}
	}
	return confirmations
}

// ApplyConfirmations applies the ages that another box sent, after the changes sent with them were applied. The request for them was
// sent at requestedAt.
func (f *Follower) ApplyConfirmations(received map[string]objects.Confirmation, requestedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for kind, c := range received {
		// A box may lack changes of the sender that were too large to be relayed. It then has to call the store.
		if status := f.statusOf(kind); c.Age >= 0 && status.knownRevision >= c.Revision && status.knownRevision.Era() == c.Revision.Era() {
			status.advanceConfirmed(requestedAt.Add(-c.Age))
		}
	}
}
