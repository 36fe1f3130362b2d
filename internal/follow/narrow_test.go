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
	// narrow is how many bytes a second leave the box that tells the others: 10 Mbit/s.
	narrow = 1_250_000
	// beatLimit is how long a heartbeat waits for its answer, storeLimit how long a call of the store may be held up.
	beatLimit  = 667 * time.Millisecond
	storeLimit = 900 * time.Millisecond
	// inForce is how long after a change every box has to have it.
	inForce = 3 * time.Second
)

// link sends one thing after the other, also what nobody waits for any more.
type link struct {
	mu   sync.Mutex
	free time.Time
}

// send returns the time until so many bytes have left.
func (l *link) send(bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(bytes) * time.Second / narrow)
	return time.Until(l.free)
}

// linked is a source whose calls leave by a link.
type linked struct {
	*store
	link *link
}

func (s linked) pass(ctx context.Context) error {
	held := s.link.send(100)
	select {
	case <-time.After(min(held, storeLimit)):
	case <-ctx.Done():
		return ctx.Err()
	}
	if held > storeLimit {
		return objects.ErrUnavailable
	}
	return nil
}

// List implements follow.Source.
func (s linked) List(ctx context.Context, kinds []string, after string) (objects.Changes, error) {
	if err := s.pass(ctx); err != nil {
		return objects.Changes{}, err
	}
	return s.store.List(ctx, kinds, after)
}

// Watch implements follow.Source.
func (s linked) Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	if err := s.pass(ctx); err != nil {
		return objects.Changes{}, err
	}
	return s.store.Watch(ctx, kinds, from, wait)
}

// large returns a configuration of so many routes.
func large(version int64, routes int) *resource.Routing {
	r := routing(version)
	for i := range routes {
		r.Routes = append(r.Routes, resource.Route{
			Name: fmt.Sprintf("route-%d", i), Host: "host.example", Prefix: fmt.Sprintf("/part-%d/", i), Kind: resource.RouteOnce, Attempts: 1,
			Timeout: resource.Duration(time.Second), Targets: []resource.Target{{Service: service, Weight: 1}},
		})
	}
	return r
}

// narrowCell is a cell whose boxes have their changes through one that has a narrow link.
type narrowCell struct {
	store *store
	link  *link
	from  *side
	boxes []*side
	// beating says that the one answers; lost counts the heartbeats that had no answer in time.
	beating atomic.Bool
	lost    atomic.Int64
}

func (n *narrowCell) beat(b *side) {
	if !n.beating.Load() {
		return
	}
	changes, age := n.from.Since(b.Known())
	reply, err := json.Marshal(coordinator.Reply{News: coordinator.News{Changes: changes, StoreAge: age}})
	if err != nil {
		panic(err)
	}
	took := n.link.send(len(reply))
	time.Sleep(min(took, beatLimit))
	if took > beatLimit {
		n.lost.Add(1)
		return
	}
	var r coordinator.Reply
	if err := json.Unmarshal(reply, &r); err != nil {
		panic(err)
	}
	b.Take(r.Changes, r.StoreAge)
}

// behind returns how many boxes do not have a version, the one that tells the others among them.
func (n *narrowCell) behind(want int64) int {
	count := 0
	for _, b := range append([]*side{n.from}, n.boxes...) {
		if version(b.catalog) < want {
			count++
		}
	}
	return count
}

func inNarrowCell(t *testing.T, boxes, endpoints int, during func(c *qt.C, n *narrowCell)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, l := newStore(), &link{}
		s.put(c, resource.KindRouting, catalog.RoutingName, routing(1))
		for i := range endpoints {
			s.put(c, resource.KindEndpoint, fmt.Sprint("endpoint-", i+1), endpoint(i%250+1))
		}
		n := &narrowCell{store: s, link: l, from: newSideOf(linked{s, l})}
		n.beating.Store(true)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return n.from.Serve(ctx) })
		for i := range boxes {
			b := newSide(s)
			n.boxes = append(n.boxes, b)
			group.Go(func() error { return b.Serve(ctx) })
			group.Go(func() error {
				time.Sleep(time.Duration(i) * beatEvery / time.Duration(boxes))
				for ctx.Err() == nil {
					n.beat(b)
					time.Sleep(beatEvery)
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

// TestLargeConfigurationPassesANarrowLink changes a configuration of 1,400 routes while 66 boxes have their changes through one box.
func TestLargeConfigurationPassesANarrowLink(t *testing.T) {
	inNarrowCell(t, 66, 20, func(c *qt.C, n *narrowCell) {
		for i := range 3 {
			v := int64(i + 2)
			n.store.put(c, resource.KindRouting, catalog.RoutingName, large(v, 1400))
			time.Sleep(inForce)
			c.Check(n.behind(v), qt.Equals, 0, qt.Commentf("version %d", v))
			c.Check(n.lost.Swap(0), qt.Equals, int64(0), qt.Commentf("version %d", v))
			time.Sleep(2 * time.Second)
		}
	})
}

// TestLargeConfigurationCostsOneCallABox: a box that is not told of a large change asks the store for that kind alone.
func TestLargeConfigurationCostsOneCallABox(t *testing.T) {
	const boxes, changes = 66, 5
	inNarrowCell(t, boxes, 20, func(c *qt.C, n *narrowCell) {
		calls := func() (sum int64) {
			for _, b := range n.boxes {
				sum += b.source.calls.Load()
			}
			return sum
		}
		before := calls()
		for i := range changes {
			n.store.put(c, resource.KindRouting, catalog.RoutingName, large(int64(i+2), 1400))
			time.Sleep(inForce)
		}
		c.Check(calls()-before <= boxes*changes, qt.IsTrue, qt.Commentf("%d calls", calls()-before))
	})
}

// TestHeartbeatsComeBackOverANarrowLink takes the heartbeats from 90 boxes for a while, as when the coordinator is lost, in a cell of
// 150 endpoints: all boxes come back at once, and the configuration changes then.
func TestHeartbeatsComeBackOverANarrowLink(t *testing.T) {
	inNarrowCell(t, 90, 150, func(c *qt.C, n *narrowCell) {
		n.beating.Store(false)
		time.Sleep(3 * time.Second)
		n.beating.Store(true)
		n.lost.Store(0)
		for i := range 3 {
			v := int64(i + 2)
			n.store.put(c, resource.KindRouting, catalog.RoutingName, routing(v))
			time.Sleep(inForce)
			c.Check(n.behind(v), qt.Equals, 0, qt.Commentf("version %d", v))
		}
		c.Check(n.lost.Load(), qt.Equals, int64(0))
	})
}

// TestLargeConfigurationReachesABoxCutFromTheStore: what most boxes fetch from the store themselves is told to one that cannot.
func TestLargeConfigurationReachesABoxCutFromTheStore(t *testing.T) {
	inNarrowCell(t, 66, 20, func(c *qt.C, n *narrowCell) {
		cut := n.boxes[len(n.boxes)-1]
		cut.source.cut.Store(true)
		for i := range 3 {
			v := int64(i + 2)
			n.store.put(c, resource.KindRouting, catalog.RoutingName, large(v, 1400))
			time.Sleep(6 * time.Second)
			c.Check(n.behind(v), qt.Equals, 0, qt.Commentf("version %d", v))
		}
	})
}
