package follow

import (
	"errors"
	"time"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/objects"
)

// kindStatus is the state of one kind that the goroutines of a Follower share. Follower.mu guards it.
type kindStatus struct {
	// knownRevision is the revision up to which the kind is known, through calls or from another box.
	knownRevision objects.Position
	// knownFrom is the first revision that this box knew of the kind. It does not know what was deleted before.
	knownFrom objects.Position
	// previousEraRevision is the revision up to which the kind was known when it switched to the present era. eraChangedAt is
	// when it switched; it is reset to zero after withholdTime.
	previousEraRevision objects.Position
	eraChangedAt        time.Time
	// needsFullAt is when another box must send all objects of the kind, zero if it need not.
	needsFullAt time.Time
	// listed is set once this box has listed the kind. lastListedAt is when it last did.
	listed       bool
	lastListedAt time.Time
	// answeredAt is when the store last answered for the kind. failing is set if the last call for the kind failed.
	answeredAt time.Time
	failing    bool
	// failingSince is when the first call failed after the last answer.
	failingSince time.Time
	// keptObjects counts the objects that are kept although the store no longer has them.
	keptObjects int
	// heldUntil is when this box, or the one that relays changes to it, has applied all deletions that it holds back, zero if it holds none.
	// heldEndedAt is when the last of them ended.
	heldUntil, heldEndedAt time.Time
	// needsFull is set if another box must send all objects of the kind. needsCall is set if the store must be called although
	// changes are relayed.
	needsFull, needsCall bool
	// needsCallSince is when needsCall was set.
	needsCallSince time.Time
	// confirmedAt is the time as of which the kind is confirmed: all changes that the store acknowledged before are known here.
	confirmedAt time.Time
}

// statusOf returns the status of a kind and creates it if needed. The caller holds the lock.
func (f *Follower) statusOf(kind string) *kindStatus {
	k, ok := f.statuses[kind]
	if !ok {
		k = &kindStatus{}
		f.statuses[kind] = k
	}
	return k
}

// advanceKnown records that the kind is known up to a revision.
func (k *kindStatus) advanceKnown(revision objects.Position) {
	if k.knownRevision == 0 {
		k.knownFrom = revision
	}
	k.knownRevision = max(k.knownRevision, revision)
}

// recordHeld records until when deletions are held back, zero if none are.
func (k *kindStatus) recordHeld(now, until time.Time) {
	if until.IsZero() && !k.heldUntil.IsZero() {
		k.heldEndedAt = now
	}
	k.heldUntil = until
}

// recordCall records the result of a call for a kind. It ignores errInterrupted and errWatchCut, which do not show whether the
// store answers.
func (f *Follower) recordCall(kind string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.statusOf(kind)
	switch {
	case err == nil:
		k.answeredAt, k.failing, k.needsCall = clock.Now(), false, false
	case errors.Is(err, objects.ErrGone):
		// The store answered. The kind is listed next because its history is lost.
		k.answeredAt, k.failing = clock.Now(), false
	case !errors.Is(err, errInterrupted) && !errors.Is(err, errWatchCut):
		if !k.failing {
			k.failing, k.failingSince = true, clock.Now()
		}
	}
}
