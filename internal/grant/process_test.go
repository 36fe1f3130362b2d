package grant

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/owner"
)

// TestEndOfAFormerProcessEndsNothing: an asker tells the end of a grant to the address of the box that gave it, where another process
// may answer by now. With grants numbered from one in each process it ended whichever request had the same number there.
func TestEndOfAFormerProcessEndsNothing(t *testing.T) {
	c := qt.New(t)
	former, next := NewServer(ServerConfig{}), NewServer(ServerConfig{})
	const grants = 100
	var ids []uint64
	for range grants {
		ids = append(ids, former.hold(&owner.Grant{}, time.Minute))
		next.hold(&owner.Grant{}, time.Minute)
	}
	for _, id := range ids {
		next.release(id, owner.EndWhole)
	}
	c.Check(next.held, qt.HasLen, grants)
}
