package follow_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/resource"
)

const (
	// linkRate is the bandwidth of the box that relays changes, in bytes per second: 10 Mbit/s.
	linkRate = 1_250_000
	// heartbeatTimeout is how long a heartbeat waits for its answer. storeTimeout is how long a call to the store may be
	// delayed.
	heartbeatTimeout = 667 * time.Millisecond
	storeTimeout     = 900 * time.Millisecond
	// changeDeadline is the time within which every box must have a change.
	changeDeadline = 3 * time.Second
)

// link sends one message after another, also those that nobody waits for any more.
type link struct {
	mu     sync.Mutex
	freeAt time.Time
}

// send queues a message and returns the time until its bytes have been sent.
func (l *link) send(bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes) * time.Second / linkRate)
	return time.Until(l.freeAt)
}

// linkedSource is a source whose calls are sent over a link.
type linkedSource struct {
	*fakeStore
	link *link
}

func (s linkedSource) waitForLink(ctx context.Context) error {
	delay := s.link.send(100)
	select {
	case <-time.After(min(delay, storeTimeout)):
	case <-ctx.Done():
		return ctx.Err()
	}
	if delay > storeTimeout {
		return objects.ErrUnavailable
	}
	return nil
}

// List implements follow.Source.
func (s linkedSource) List(ctx context.Context, kinds []string, after string) (objects.Changes, error) {
	if err := s.waitForLink(ctx); err != nil {
		return objects.Changes{}, err
	}
	return s.fakeStore.List(ctx, kinds, after)
}

// Watch implements follow.Source.
func (s linkedSource) Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	if err := s.waitForLink(ctx); err != nil {
		return objects.Changes{}, err
	}
	return s.fakeStore.Watch(ctx, kinds, from, wait)
}

// largeRouting returns a configuration with the given number of routes.
func largeRouting(version int64, routes int) *resource.Routing {
	r := routing(version)
	for i := range routes {
		r.Routes = append(r.Routes, resource.Route{
			Name: fmt.Sprintf("route-%d", i), Host: "host.example", Prefix: fmt.Sprintf("/part-%d/", i), Kind: resource.RouteOnce, Attempts: 1,
			Timeout: resource.Duration(time.Second), Targets: []resource.Target{{Service: service, Weight: 1}},
		})
	}
	return r
}

// narrowCell is a cell whose boxes receive their changes from one box with a narrow link.
type narrowCell struct {
	store  *fakeStore
	link   *link
	sender *box
	boxes  []*box
	// answering is set while the relaying box answers. lostHeartbeats counts the heartbeats that had no answer in time.
	answering      atomic.Bool
	lostHeartbeats atomic.Int64
}

func (n *narrowCell) sendHeartbeat(b *box) {
	if !n.answering.Load() {
		return
	}
	changes, age := n.sender.ChangesSince(b.KnownRevisions())
	reply, err := json.Marshal(coordinator.Reply{Updates: coordinator.Updates{Changes: changes, StoreAge: age}})
	if err != nil {
		panic(err)
	}
	took := n.link.send(len(reply))
	time.Sleep(min(took, heartbeatTimeout))
	if took > heartbeatTimeout {
		n.lostHeartbeats.Add(1)
		return
	}
	var r coordinator.Reply
	if err := json.Unmarshal(reply, &r); err != nil {
		panic(err)
	}
	b.ApplyChanges(r.Changes, r.StoreAge)
}

// boxesBehind returns how many boxes, including the relaying one, do not have a version.
func (n *narrowCell) boxesBehind(want int64) int {
	count := 0
	for _, b := range append([]*box{n.sender}, n.boxes...) {
		if routingVersion(b.catalog) < want {
			count++
		}
	}
	return count
}

// runNarrowCell runs a narrowCell in virtual time and calls during after ten seconds.
func runNarrowCell(t *testing.T, boxes, endpoints int, during func(c *qt.C, n *narrowCell)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, l := newFakeStore(), &link{}
		s.put(c, resource.KindRouting, catalog.RoutingName, routing(1))
		for i := range endpoints {
			s.put(c, resource.KindEndpoint, fmt.Sprint("endpoint-", i+1), endpoint(i%250+1))
		}
		n := &narrowCell{store: s, link: l, sender: newBoxWithSource(linkedSource{s, l})}
		n.answering.Store(true)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return n.sender.Serve(ctx) })
		for i := range boxes {
			b := newBox(s)
			n.boxes = append(n.boxes, b)
			group.Go(func() error { return b.Serve(ctx) })
			group.Go(func() error {
				time.Sleep(time.Duration(i) * heartbeatInterval / time.Duration(boxes))
				for ctx.Err() == nil {
					n.sendHeartbeat(b)
					time.Sleep(heartbeatInterval)
				}
				return nil
			})
		}
		time.Sleep(10 * time.Second)
		during(c, n)
		cancel()
		_ = group.Wait()
	})
}

// TestLargeConfigurationOverNarrowLink changes a configuration of 1,400 routes while 66 boxes receive their changes from one
// box.
func TestLargeConfigurationOverNarrowLink(t *testing.T) {
	runNarrowCell(t, 66, 20, func(c *qt.C, n *narrowCell) {
		for i := range 3 {
			v := int64(i + 2)
			n.store.put(c, resource.KindRouting, catalog.RoutingName, largeRouting(v, 1400))
			time.Sleep(changeDeadline)
			c.Check(n.boxesBehind(v), qt.Equals, 0, qt.Commentf("version %d", v))
			c.Check(n.lostHeartbeats.Swap(0), qt.Equals, int64(0), qt.Commentf("version %d", v))
			time.Sleep(2 * time.Second)
		}
	})
}

// TestLargeConfigurationCostsOneCallPerBox checks that a box which is not sent a large change calls the store for that kind
// alone.
func TestLargeConfigurationCostsOneCallPerBox(t *testing.T) {
	const boxes, changes = 66, 5
	runNarrowCell(t, boxes, 20, func(c *qt.C, n *narrowCell) {
		calls := func() (sum int64) {
			for _, b := range n.boxes {
				sum += b.source.calls.Load()
			}
			return sum
		}
		before := calls()
		for i := range changes {
			n.store.put(c, resource.KindRouting, catalog.RoutingName, largeRouting(int64(i+2), 1400))
			time.Sleep(changeDeadline)
		}
		c.Check(calls()-before <= boxes*changes, qt.IsTrue, qt.Commentf("%d calls", calls()-before))
	})
}

// TestHeartbeatsResumeOverNarrowLink stops the heartbeats of 90 boxes for a while, as when the coordinator is lost, in a cell
// of 150 endpoints. All boxes return at once, and then the configuration changes.
func TestHeartbeatsResumeOverNarrowLink(t *testing.T) {
	runNarrowCell(t, 90, 150, func(c *qt.C, n *narrowCell) {
		n.answering.Store(false)
		time.Sleep(3 * time.Second)
		n.answering.Store(true)
		n.lostHeartbeats.Store(0)
		for i := range 3 {
			v := int64(i + 2)
			n.store.put(c, resource.KindRouting, catalog.RoutingName, routing(v))
			time.Sleep(changeDeadline)
			c.Check(n.boxesBehind(v), qt.Equals, 0, qt.Commentf("version %d", v))
		}
		c.Check(n.lostHeartbeats.Load(), qt.Equals, int64(0))
	})
}

// TestLargeConfigurationReachesBoxCutFromStore checks that a change which most boxes read from the store themselves is sent to
// a box that cannot.
func TestLargeConfigurationReachesBoxCutFromStore(t *testing.T) {
	runNarrowCell(t, 66, 20, func(c *qt.C, n *narrowCell) {
		cut := n.boxes[len(n.boxes)-1]
		cut.source.cut.Store(true)
		for i := range 3 {
			v := int64(i + 2)
			n.store.put(c, resource.KindRouting, catalog.RoutingName, largeRouting(v, 1400))
			time.Sleep(6 * time.Second)
			c.Check(n.boxesBehind(v), qt.Equals, 0, qt.Commentf("version %d", v))
		}
	})
}
