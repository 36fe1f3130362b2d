package follow_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/follow"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/resource"
)

const (
	beatEvery = 400 * time.Millisecond
	relayFor  = 3 * beatEvery
)

// counted is a source that counts calls and can be cut off on its own.
type counted struct {
	*store
	calls atomic.Int64
	cut   atomic.Bool
	// cutFrom is a kind of which no answer comes through.
	cutFrom atomic.Value
}

func (s *counted) isCut(kind string) bool { return s.cut.Load() || s.cutFrom.Load() == kind }

// List implements follow.Source.
func (s *counted) List(ctx context.Context, kinds []string, after string) (objects.Changes, error) {
	s.calls.Add(1)
	if s.isCut(kinds[0]) {
		return objects.Changes{}, objects.ErrUnavailable
	}
	ch, err := s.store.List(ctx, kinds, after)
	if kinds[0] == string(resource.KindEndpoint) {
		ch.Objects = append(ch.Objects, s.of(resource.KindHolding)...)
	}
	return ch, err
}

// Watch implements follow.Source. A cut path says nothing until the caller gives up.
func (s *counted) Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	s.calls.Add(1)
	ch, err := s.store.Watch(ctx, kinds, from, wait)
	if s.isCut(kinds[0]) {
		return objects.Changes{}, objects.ErrUnavailable
	}
	return ch, err
}

// side is one of two boxes.
type side struct {
	source  *counted
	catalog *catalog.Catalog
	*follow.Follower
}

func newSide(s *store) *side {
	source := &counted{store: s}
	x := newSideOf(source)
	x.source = source
	return x
}

// newSideOf returns a side with another source.
func newSideOf(source follow.Source) *side {
	x := &side{catalog: catalog.New()}
	x.Follower = follow.New(follow.Config{
		Source: source, Catalog: x.catalog, Scope: tally.NoopScope, Grace: grace, RelayFor: relayFor, Kinds: []follow.Kind{
			{Name: string(resource.KindRouting), Wait: 6 * time.Second, Relayed: true},
			{Name: string(resource.KindEndpoint), Pace: pace, Wait: 700 * time.Millisecond, Lapses: true, Relayed: true, With: []string{string(resource.KindHolding)}},
		},
	})
	return x
}

// relayed runs two followers, the second of which has the first one's changes with heartbeats while beating is set.
func relayed(t *testing.T, during func(c *qt.C, s *store, from, to *side, beating *atomic.Bool)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newStore()
		s.put(c, resource.KindRouting, catalog.RoutingName, routing(1))
		for i := range 3 {
			s.put(c, resource.KindEndpoint, fmt.Sprint("e", i+1), endpoint(i+1))
		}
		from, to := newSide(s), newSide(s)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		var beating atomic.Bool
		beating.Store(true)
		group.Go(func() error { return from.Serve(ctx) })
		group.Go(func() error { return to.Serve(ctx) })
		group.Go(func() error {
			for ctx.Err() == nil {
				if beating.Load() {
					to.Take(from.Since(to.Known()))
				}
				time.Sleep(beatEvery)
			}
			return nil
		})
		time.Sleep(10 * time.Second)
		during(c, s, from, to, &beating)
		cancel()
		_ = group.Wait()
	})
}

func TestRelayedChangesCostNoCalls(t *testing.T) {
	relayed(t, func(c *qt.C, s *store, _, to *side, _ *atomic.Bool) {
		before := to.source.calls.Load()
		for i := range 20 {
			s.put(c, resource.KindRouting, catalog.RoutingName, routing(int64(i+2)))
			s.remove(fmt.Sprint("e", i))
			s.put(c, resource.KindEndpoint, fmt.Sprint("e", i+4), endpoint(i+4))
			time.Sleep(pace + beatEvery + 10*time.Millisecond)
			c.Check(version(to.catalog), qt.Equals, int64(i+2))
			c.Check(endpoints(to.catalog), qt.Equals, endpoints(s.asCatalog(c)))
		}
		c.Check(to.source.calls.Load(), qt.Equals, before)
		c.Check(to.StoreAge() < 2*time.Second, qt.IsTrue, qt.Commentf("%s", to.StoreAge()))
	})
}

// TestSilentRelayIsReplacedByCalls ends the heartbeats: the box follows the store itself, within the bound on leaving endpoints.
func TestSilentRelayIsReplacedByCalls(t *testing.T) {
	relayed(t, func(c *qt.C, s *store, _, to *side, beating *atomic.Bool) {
		beating.Store(false)
		s.remove("e1")
		time.Sleep(1500 * time.Millisecond)
		c.Check(endpoints(to.catalog), qt.Equals, 2)
	})
}

// TestRelayCutFromTheStoreIsReplacedByCalls cuts only the relaying box from the store; its heartbeats go on.
func TestRelayCutFromTheStoreIsReplacedByCalls(t *testing.T) {
	relayed(t, func(c *qt.C, s *store, from, to *side, _ *atomic.Bool) {
		from.source.cut.Store(true)
		s.remove("e1")
		s.put(c, resource.KindRouting, catalog.RoutingName, routing(2))
		time.Sleep(2 * time.Second)
		c.Check(endpoints(to.catalog), qt.Equals, 2)
		c.Check(version(to.catalog), qt.Equals, int64(2))
	})
}

// TestKindThatTheRelayCannotReadIsReplacedByCalls keeps the answers of one kind from the relaying box, as when they are too large for its
// link at the time; all others reach it, and its heartbeats go on.
func TestKindThatTheRelayCannotReadIsReplacedByCalls(t *testing.T) {
	for _, kind := range []resource.Kind{resource.KindRouting, resource.KindEndpoint} {
		t.Run(string(kind), func(t *testing.T) {
			relayed(t, func(c *qt.C, s *store, from, to *side, _ *atomic.Bool) {
				from.source.cutFrom.Store(string(kind))
				s.remove("e1")
				s.put(c, resource.KindRouting, catalog.RoutingName, routing(2))
				time.Sleep(2 * time.Second)
				c.Check(endpoints(to.catalog), qt.Equals, 2)
				c.Check(version(to.catalog), qt.Equals, int64(2))
				from.source.cutFrom.Store("")
				time.Sleep(4 * time.Second)
				before := to.source.calls.Load()
				time.Sleep(4 * time.Second)
				c.Check(to.source.calls.Load(), qt.Equals, before)
			})
		})
	}
}

// asCatalog returns what a box should know of the store now.
func (s *store) asCatalog(c *qt.C) *catalog.Catalog {
	cat := catalog.New()
	for _, kind := range []resource.Kind{resource.KindRouting, resource.KindEndpoint} {
		ch, err := s.List(c.Context(), []string{string(kind)}, "")
		c.Assert(err, qt.IsNil)
		cat.Apply(ch)
	}
	return cat
}

// TestChangesArePassedOnWhole asks for changes while they are being taken in: what a box is said to know, it has been told.
func TestChangesArePassedOnWhole(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	s.put(c, resource.KindRouting, catalog.RoutingName, routing(1))
	s.put(c, resource.KindEndpoint, "e0", endpoint(1))
	kinds := []follow.Kind{
		{Name: string(resource.KindRouting), Wait: time.Second, Relayed: true}, {Name: string(resource.KindEndpoint), Wait: time.Second, Relayed: true},
	}
	from := follow.New(follow.Config{Source: s, Catalog: catalog.New(), Scope: tally.NoopScope, Kinds: kinds})
	told := catalog.New()
	to := follow.New(follow.Config{Source: s, Catalog: told, Scope: tally.NoopScope, Kinds: kinds, RelayFor: relayFor})
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return from.Serve(ctx) })
	<-from.Ready()
	var asking errgroup.Group
	stop := make(chan struct{})
	asking.Go(func() error {
		for {
			to.Take(from.Since(to.Known()))
			select {
			case <-stop:
				return nil
			default:
			}
		}
	})
	const changes = 3000
	for i := range changes {
		s.put(c, resource.KindEndpoint, fmt.Sprint("e", i), endpoint(1))
		if i%50 == 0 {
			// Lets the follower take changes in one by one now and then.
			for from.Known()[string(resource.KindEndpoint)] < s.newest() {
				time.Sleep(time.Microsecond)
			}
		}
	}
	for from.Known()[string(resource.KindEndpoint)] < s.newest() {
		time.Sleep(time.Millisecond)
	}
	close(stop)
	c.Assert(asking.Wait(), qt.IsNil)
	// What is passed on in a second is bounded.
	for giveUp := time.Now().Add(time.Minute); to.Known()[string(resource.KindEndpoint)] < s.newest(); {
		c.Assert(time.Now().Before(giveUp), qt.IsTrue, qt.Commentf("not all is passed on"))
		to.Take(from.Since(to.Known()))
		time.Sleep(time.Millisecond)
	}
	c.Check(len(told.Names(string(resource.KindEndpoint))), qt.Equals, changes)
	cancel()
	c.Check(group.Wait(), qt.ErrorIs, context.Canceled)
}

// TestLapsedEndpointGoesEverywhere: an endpoint that is still missing a while after an outage is given up by all boxes, also if the
// store has no further change.
func TestLapsedEndpointGoesEverywhere(t *testing.T) {
	relayed(t, func(c *qt.C, s *store, from, to *side, _ *atomic.Bool) {
		s.set(func(s *store) { s.down = true })
		time.Sleep(3 * time.Second)
		s.remove("e1")
		s.set(func(s *store) { s.down = false })
		time.Sleep(grace + 2*time.Second)
		c.Check(endpoints(from.catalog), qt.Equals, 2)
		c.Check(endpoints(to.catalog), qt.Equals, 2)
	})
}

// TestBoxBackFromItsOwnOutageDropsWhatIsGone: a box that was cut off alone keeps what the store lacks for a while; the other has long
// given it up and says so when it tells of changes again.
func TestBoxBackFromItsOwnOutageDropsWhatIsGone(t *testing.T) {
	relayed(t, func(c *qt.C, s *store, from, to *side, beating *atomic.Bool) {
		beating.Store(false)
		to.source.cut.Store(true)
		time.Sleep(3 * time.Second)
		s.remove("e1")
		time.Sleep(3 * time.Second)
		to.source.cut.Store(false)
		// One list that keeps what is missing, and heartbeats again.
		time.Sleep(1100 * time.Millisecond)
		beating.Store(true)
		time.Sleep(grace + 2*time.Second)
		c.Check(endpoints(from.catalog), qt.Equals, 2)
		c.Check(endpoints(to.catalog), qt.Equals, 2)
	})
}

// TestHoldingsComeBackWithCalls: what endpoints hold does not come with heartbeats; a box that goes back to calls needs it at once,
// as no owner may be there to ask.
func TestHoldingsComeBackWithCalls(t *testing.T) {
	relayed(t, func(c *qt.C, s *store, _, to *side, beating *atomic.Bool) {
		holding := string(resource.KindHolding)
		s.put(c, resource.KindHolding, "e1", &resource.Holding{Holds: []string{"a@1"}})
		c.Check(to.catalog.Names(holding), qt.HasLen, 0)
		beating.Store(false)
		time.Sleep(relayFor + 2*pace)
		c.Check(to.catalog.Names(holding), qt.DeepEquals, []string{"e1"})
	})
}

// TestLateDeletionIsNotMissed: a box comes back to the other's changes after the store was down; an entry has gone meanwhile, which the other
// keeps for a while yet. The box knows the store's newest revision by then; cut off from all while the other gives the entry up, and
// back before it has listed anything itself, it would keep the entry for good.
func TestLateDeletionIsNotMissed(t *testing.T) {
	for range 10 {
		relayed(t, func(c *qt.C, s *store, from, to *side, beating *atomic.Bool) {
			s.set(func(s *store) { s.down = true })
			time.Sleep(3 * time.Second)
			s.remove("e1")
			to.source.cut.Store(true)
			s.set(func(s *store) { s.down = false })
			for endpoints(from.catalog) > 2 {
				time.Sleep(10 * time.Millisecond)
				if from.StoreAge() < 500*time.Millisecond && beating.Load() {
					time.Sleep(grace - 600*time.Millisecond)
					beating.Store(false)
				}
			}
			time.Sleep(4 * time.Second)
			beating.Store(true)
			time.Sleep(beatEvery + 10*time.Millisecond)
			to.source.cut.Store(false)
			time.Sleep(10 * time.Second)
			c.Check(endpoints(from.catalog), qt.Equals, 2)
			c.Check(endpoints(to.catalog), qt.Equals, 2)
		})
	}
}

// TestEntryThatCameBackIsToldAgain: the box that tells the other loses the store for a while, and an entry goes meanwhile. The other follows
// the store itself then and drops the entry; the first keeps it after its outage, and nothing changes for it when the entry is back. It
// has to tell the other all the same: an endpoint of a cell was known to its coordinator alone for good.
func TestEntryThatCameBackIsToldAgain(t *testing.T) {
	for _, away := range []time.Duration{1500 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
		t.Run(away.String(), func(t *testing.T) {
			relayed(t, func(c *qt.C, s *store, from, to *side, _ *atomic.Bool) {
				from.source.cut.Store(true)
				time.Sleep(away - 300*time.Millisecond)
				s.remove("e1")
				time.Sleep(300 * time.Millisecond)
				from.source.cut.Store(false)
				time.Sleep(1200 * time.Millisecond)
				s.put(c, resource.KindEndpoint, "e1", endpoint(1))
				time.Sleep(10 * time.Second)
				c.Check(endpoints(from.catalog), qt.Equals, 3)
				c.Check(endpoints(to.catalog), qt.Equals, 3)
			})
		})
	}
}
