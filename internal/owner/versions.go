package owner

import (
	"strconv"
	"time"

	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// An engine that replaces the versions of an adapter gets one load of an adapter at a time, and none of an older version than one that it
// has or may get. The boxes hear of a new version one after another, so tickets for the older version still come after tickets for the
// new one.

// isSuperseded reports whether the engine has or may get a newer version of the adapter than ref, so that ref is not loaded.
func (s *State) isSuperseded(ref resource.Ref) bool {
	return s.hasOtherVersion(ref, func(other resource.Ref, _ phase) bool { return isOlder(ref, other) })
}

// isBlockedByOtherVersion reports whether ref may not be loaded now, because it is superseded or because another version of the adapter is
// being loaded. The completion of a load is awaited by sending its order again, which would be a new order once the engine has the other
// version.
func (s *State) isBlockedByOtherVersion(ref resource.Ref) bool {
	return s.hasOtherVersion(ref, func(other resource.Ref, p phase) bool { return p == loading || isOlder(ref, other) })
}

// hasOtherVersion reports whether matches returns true for another version of the adapter that has a slot or will be loaded when an unload
// ends. It returns false if the engine keeps versions apart.
func (s *State) hasOtherVersion(ref resource.Ref, matches func(other resource.Ref, p phase) bool) bool {
	if !s.cfg.FinishesFirst || ref.IsBase() {
		return false
	}
	for _, sl := range s.slots {
		if sl.ref.Adapter == ref.Adapter && sl.ref.Version != ref.Version && matches(sl.ref, sl.phase) {
			return true
		}
		if next := sl.nextLoad; next != nil && next.Ref.Adapter == ref.Adapter && next.Ref.Version != ref.Version && matches(next.Ref, loading) {
			return true
		}
	}
	return false
}

// isOlder reports whether a is an older version of an adapter than b. Versions that are not numbers have no order.
func isOlder(a, b resource.Ref) bool {
	versionA, errA := strconv.ParseInt(a.Version, 10, 64)
	versionB, errB := strconv.ParseInt(b.Version, 10, 64)
	return errA == nil && errB == nil && versionA < versionB
}

// otherVersionLoadWait returns the expected time until the load of another version of the adapter ends, zero if none is being loaded.
func (s *State) otherVersionLoadWait(now time.Time, ref resource.Ref) time.Duration {
	wait := time.Duration(0)
	for _, sl := range s.slots {
		if s.cfg.FinishesFirst && sl.ref.Adapter == ref.Adapter && sl.ref != ref && sl.phase == loading {
			wait = max(wait, s.expectedLoadTime(now)-now.Sub(sl.loadStarted))
		}
	}
	return wait
}

// refuseSuperseded refuses a ticket because the engine has or may get a newer version of its adapter.
func (s *State) refuseSuperseded(t Ticket) {
	s.refuse(t, result.New(result.TryNext, "the engine has a newer version of the adapter than %s", t.Ref.Version))
}
