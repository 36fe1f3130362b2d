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

// countingSource is a source that counts the calls for each kind.
type countingSource struct {
	*fakeStore
	mu    sync.Mutex
	lists map[string]int
	calls map[string]int
}

// List implements follow.Source.
func (s *countingSource) List(ctx context.Context, kinds []string, after string) (objects.Changes, error) {
	s.mu.Lock()
	s.lists[kinds[0]]++
	s.calls[kinds[0]]++
	s.mu.Unlock()
	return s.fakeStore.List(ctx, kinds, after)
}

// Watch implements follow.Source.
func (s *countingSource) Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	s.mu.Lock()
	s.calls[kinds[0]]++
	s.mu.Unlock()
	return s.fakeStore.Watch(ctx, kinds, from, wait)
}

// takeCounts returns the numbers of all calls and of lists since the previous takeCounts, by kind.
func (s *countingSource) takeCounts() (calls, lists map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, lists = s.calls, s.lists
	s.calls, s.lists = map[string]int{}, map[string]int{}
	return calls, lists
}

// runCountingFollower follows a countingSource in virtual time and calls during.
func runCountingFollower(t *testing.T, during func(c *qt.C, s *countingSource, f *follow.Follower, cat *catalog.Catalog)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &countingSource{fakeStore: newFakeStore(), lists: map[string]int{}, calls: map[string]int{}}
		s.put(c, resource.KindRouting, catalog.RoutingName, routing(1))
		s.put(c, resource.KindEndpoint, "e1", endpoint(1))
		cat := catalog.New()
		f := follow.New(follow.Config{
			Source: s, Catalog: cat, Scope: tally.NoopScope, Grace: grace, RelayTimeout: relayTimeout, Kinds: []follow.Kind{
				{Name: string(resource.KindRouting), Wait: 6 * time.Second, Relayed: true},
				{Name: string(resource.KindEndpoint), MinInterval: pace, Wait: 700 * time.Millisecond, Relayed: true, MayExpire: true, ProbesLostStore: true},
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

// TestOnlyProbingKindCallsLostStore takes the store down. Only the kind that tests whether the store is back may call it then,
// and a change must apply soon after its return.
func TestOnlyProbingKindCallsLostStore(t *testing.T) {
	runCountingFollower(t, func(c *qt.C, s *countingSource, _ *follow.Follower, cat *catalog.Catalog) {
		s.update(func(s *fakeStore) { s.down = true })
		time.Sleep(7 * time.Second)
		s.takeCounts()
		time.Sleep(10 * time.Second)
		calls, _ := s.takeCounts()
		c.Check(calls[string(resource.KindRouting)], qt.Equals, 0)
		c.Check(calls[string(resource.KindEndpoint)] >= 5, qt.IsTrue, qt.Commentf("%v", calls))
		s.put(c, resource.KindRouting, catalog.RoutingName, routing(2))
		s.update(func(s *fakeStore) { s.down = false })
		time.Sleep(2 * time.Second)
		c.Check(routingVersion(cat), qt.Equals, int64(2))
	})
}

// TestCallsResumeAtRelayedRevision checks that objects received up to a revision are not listed again when heartbeats end.
func TestCallsResumeAtRelayedRevision(t *testing.T) {
	runCountingFollower(t, func(c *qt.C, s *countingSource, f *follow.Follower, cat *catalog.Catalog) {
		for range 20 {
			f.ApplyChanges([]objects.KindChanges{
				{Kind: string(resource.KindEndpoint), Revision: s.newestRevision(), IsFullList: true, Objects: s.objectsOf(resource.KindEndpoint)},
				{Kind: string(resource.KindRouting), Revision: s.newestRevision(), IsFullList: true, Objects: s.objectsOf(resource.KindRouting)},
			}, 0)
			time.Sleep(heartbeatInterval)
		}
		s.takeCounts()
		s.put(c, resource.KindRouting, catalog.RoutingName, routing(2))
		s.remove("e1")
		time.Sleep(relayTimeout + 2*time.Second)
		_, lists := s.takeCounts()
		c.Check(lists, qt.HasLen, 0)
		c.Check(routingVersion(cat), qt.Equals, int64(2))
		c.Check(endpointCount(cat), qt.Equals, 0)
	})
}
