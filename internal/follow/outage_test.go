package follow_test

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestOldOutageIsNotTakenForANewOne: both boxes lose the store for a while; afterwards one has its changes through the other for a
// long time. When that one falls silent, the outage is long over: a removed endpoint must go as soon as without any outage.
func TestOldOutageIsNotTakenForANewOne(t *testing.T) {
	for _, tt := range []struct {
		name  string
		later time.Duration
	}{{"both back together", 0}, {"one back two seconds later", 2 * time.Second}} {
		t.Run(tt.name, func(t *testing.T) {
			relayed(t, func(c *qt.C, s *store, from, to *side, beating *atomic.Bool) {
				from.source.cut.Store(true)
				to.source.cut.Store(true)
				time.Sleep(4 * time.Second)
				from.source.cut.Store(false)
				time.Sleep(tt.later)
				to.source.cut.Store(false)
				time.Sleep(10 * time.Minute)
				c.Assert(endpoints(to.catalog), qt.Equals, 3)
				beating.Store(false)
				s.remove("e1")
				began := time.Now()
				for endpoints(to.catalog) == 3 && time.Since(began) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				c.Check(time.Since(began) <= 2*time.Second, qt.IsTrue, qt.Commentf("gone after %s", time.Since(began)))
			})
		})
	}
}
