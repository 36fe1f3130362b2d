package member_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestUnansweredWritesDoNotEndACoordinator: while the store is slow, a coordinator's writes take effect and it does not hear of it, nor
// can it read them back in time. It used to take what it then found for another coordinator's, gave up, took its own lease again as if
// it were new and forgot who was silent.
func TestUnansweredWritesDoNotEndACoordinator(t *testing.T) {
	for _, tt := range []struct {
		name string
		// changes says that the map changes meanwhile, so that its writes are unanswered too.
		changes bool
	}{{"the lease's", false}, {"the lease's and the map's", true}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 3, 4)
				defer cl.end()
				cl.settle()
				cl.run(20 * time.Second)
				n := cl.coordinator()
				before, _, _ := n.catalog.Map(cell)
				n.setUnanswered(true)
				if tt.changes {
					cl.declareEngine("engine-new")
				}
				cl.run(2 * time.Second)
				n.setUnanswered(false)
				cl.run(20 * time.Second)
				after, _, _ := n.catalog.Map(cell)
				cl.c.Check(after.Coordinator, qt.Equals, before.Coordinator)
				cl.c.Check(after.Lease, qt.Equals, before.Lease)
				cl.c.Check(after.Generation > before.Generation, qt.Equals, tt.changes)
				cl.c.Check(cl.owned(), qt.Equals, len(cl.engines))
				cl.check()
			})
		})
	}
}
