package follow_test

import (
	"context"
	"sync"
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

// tallied is a source that counts the calls for each kind.
type tallied struct {
	*store
	mu    sync.Mutex
	lists map[string]int
	all   map[string]int
}

// List implements follow.Source.
func (s *tallied) List(ctx context.Context, kinds []string, after string) (objects.Changes, error) {
	s.mu.Lock()
	s.lists[kinds[0]]++
	s.all[kinds[0]]++
	s.mu.Unlock()
	return s.store.List(ctx, kinds, after)
}

// Watch implements follow.Source.
func (s *tallied) Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	s.mu.Lock()
	s.all[kinds[0]]++
	s.mu.Unlock()
	return s.store.Watch(ctx, kinds, from, wait)
}

// take returns the calls since the last take, all and lists alone.
func (s *tallied) take() (all, lists map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, lists = s.all, s.lists
	s.all, s.lists = map[string]int{}, map[string]int{}
	return all, lists
}

func followTallied(t *testing.T, during func(c *qt.C, s *tallied, f *follow.Follower, cat *catalog.Catalog)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &tallied{store: newStore(), lists: map[string]int{}, all: map[string]int{}}
		s.put(c, resource.KindRouting, catalog.RoutingName, routing(1))
		s.put(c, resource.KindEndpoint, "e1", endpoint(1))
		cat := catalog.New()
		f := follow.New(follow.Config{
			Source: s, Catalog: cat, Scope: tally.NoopScope, Grace: grace, RelayFor: relayFor, Kinds: []follow.Kind{
				{Name: string(resource.KindRouting), Wait: 6 * time.Second, Relayed: true},
				{Name: string(resource.KindEndpoint), Pace: pace, Wait: 700 * time.Millisecond, Relayed: true, Lapses: true, Probes: true},
			},
		})
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return f.Serve(ctx) })
		<-f.Ready()
		during(c, s, f, cat)
		cancel()
		_ = group.Wait()
	})
}

// TestOneKindFindsOutWhetherTheStoreIsBack takes the store away for ten seconds.
func TestOneKindFindsOutWhetherTheStoreIsBack(t *testing.T) {
	followTallied(t, func(c *qt.C, s *tallied, _ *follow.Follower, cat *catalog.Catalog) {
		s.set(func(s *store) { s.down = true })
		time.Sleep(7 * time.Second)
		s.take()
		time.Sleep(10 * time.Second)
		all, _ := s.take()
		c.Check(all[string(resource.KindRouting)], qt.Equals, 0)
		c.Check(all[string(resource.KindEndpoint)] >= 5, qt.IsTrue, qt.Commentf("%v", all))
		s.put(c, resource.KindRouting, catalog.RoutingName, routing(2))
		s.set(func(s *store) { s.down = false })
		time.Sleep(2 * time.Second)
		c.Check(version(cat), qt.Equals, int64(2))
	})
}

// TestCallsResumeWhereHeartbeatsEnded: what another box has told up to a revision is not listed again.
func TestCallsResumeWhereHeartbeatsEnded(t *testing.T) {
	followTallied(t, func(c *qt.C, s *tallied, f *follow.Follower, cat *catalog.Catalog) {
		for range 20 {
			f.Take([]objects.KindChanges{
				{Kind: string(resource.KindEndpoint), Revision: s.newest(), Full: true, Objects: s.of(resource.KindEndpoint)},
				{Kind: string(resource.KindRouting), Revision: s.newest(), Full: true, Objects: s.of(resource.KindRouting)},
			}, 0)
			time.Sleep(beatEvery)
		}
		s.take()
		s.put(c, resource.KindRouting, catalog.RoutingName, routing(2))
		s.remove("e1")
		time.Sleep(relayFor + 2*time.Second)
		_, lists := s.take()
		c.Check(lists, qt.HasLen, 0)
		c.Check(version(cat), qt.Equals, int64(2))
		c.Check(endpoints(cat), qt.Equals, 0)
	})
}
