package grant

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/owner"
)

// TestEndFromPreviousIncarnationIsIgnored guards against an end message that releases the grant of another request. The message
// is sent to the address of the box that granted the request, where a new incarnation of the box may run by now. When each
// incarnation numbered its grants from one, the message released the new incarnation's grant with the same number.
func TestEndFromPreviousIncarnationIsIgnored(t *testing.T) {
	c := qt.New(t)
	previous, current := NewServer(ServerConfig{}), NewServer(ServerConfig{})
	const grants = 100
	var ids []uint64
	for range grants {
		ids = append(ids, previous.hold(&owner.Grant{}, time.Minute))
		current.hold(&owner.Grant{}, time.Minute)
	}
	for _, id := range ids {
		current.release(id, owner.EndWhole)
	}
	c.Check(current.held, qt.HasLen, grants)
}
