package follow

import (
	"errors"
	"time"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/objects"
)

// knowledge is what a follower knows of one kind.
type knowledge struct {
	// known is the revision up to which the kind is known, by calls or through another box.
	known objects.Position
	// crossedFrom is the position up to which the kind was known when it crossed over to the present era, crossedAt when it did, zero once that is long ago.
	crossedFrom objects.Position
	crossedAt   time.Time
	// wholeAt is when another box has to tell of the kind in full, zero if it need not.
	wholeAt time.Time
	// listed says that the kind has been listed by calls, listedAt when it last was.
	listed   bool
	listedAt time.Time
	// answered is when the store last answered for the kind, failing says that the last call for it failed.
	answered time.Time
	failing  bool
	// failedAt is when the first call failed since one was answered.
	failedAt time.Time
	// kept counts the objects that are kept though the store no longer has them.
	kept int
	// whole says that another box has to tell of the kind in full, asked that the store is to be asked though changes come through one.
	whole, asked bool
	// askedAt is when that began.
	askedAt time.Time
	// confirmed is a moment before which the store had acknowledged nothing of the kind that is not known here.
	confirmed time.Time
}

// of returns what is known of a kind. The caller holds the lock.
func (f *Follower) of(kind string) *knowledge {
	k, ok := f.kinds[kind]
	if !ok {
		k = &knowledge{}
		f.kinds[kind] = k
	}
	return k
}

// noteCall notes how a call for a kind ended. One that was given up for another's sake says nothing.
func (f *Follower) noteCall(kind string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.of(kind)
	switch {
	case err == nil:
		k.answered, k.failing, k.asked = clock.Now(), false, false
	case errors.Is(err, objects.ErrGone):
		// The store answers; what it has forgotten is listed next.
		k.answered, k.failing = clock.Now(), false
	case !errors.Is(err, errWoken) && !errors.Is(err, errCut):
		if !k.failing {
			k.failing, k.failedAt = true, clock.Now()
		}
	}
}
