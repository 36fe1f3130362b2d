package follow_test

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPastOutageDoesNotDelayRemoval has both boxes lose the store for a while. Afterwards one box receives its changes from the
// other for a long time. When heartbeats end, the outage is long over, so a removed endpoint must disappear as soon as without
// any outage.
func TestPastOutageDoesNotDelayRemoval(t *testing.T) {
	for _, tt := range []struct {
		name          string
		receiverDelay time.Duration
	}{{"both reconnect together", 0}, {"receiver reconnects two seconds later", 2 * time.Second}} {
		t.Run(tt.name, func(t *testing.T) {
			runRelaying(t, func(c *qt.C, s *fakeStore, sender, receiver *box, heartbeatsOn *atomic.Bool) {
				sender.source.cut.Store(true)
				receiver.source.cut.Store(true)
				time.Sleep(4 * time.Second)
				sender.source.cut.Store(false)
				time.Sleep(tt.receiverDelay)
				receiver.source.cut.Store(false)
				time.Sleep(10 * time.Minute)
				c.Assert(endpointCount(receiver.catalog), qt.Equals, 3)
				heartbeatsOn.Store(false)
				s.remove("e1")
				began := time.Now()
				for endpointCount(receiver.catalog) == 3 && time.Since(began) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				c.Check(time.Since(began) <= 2*time.Second, qt.IsTrue, qt.Commentf("removed after %s", time.Since(began)))
			})
		})
	}
}
