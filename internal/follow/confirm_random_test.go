package follow_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
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

// confirmSeeds is how many seeds TestNoBoxConfirmsMissingChange draws, from confirmFirstSeed on.
var (
	confirmSeeds     = flag.Uint64("confirm.seeds", 30, "seeds of TestNoBoxConfirmsMissingChange")
	confirmFirstSeed = flag.Uint64("confirm.first", 1, "first seed of TestNoBoxConfirmsMissingChange")
)

const (
	randomPlay     = 20 * time.Second
	randomMaxDelay = 400 * time.Millisecond
	// randomCallTimeout is how long a box waits for an answer of the store beyond the wait of a watch.
	randomCallTimeout = 500 * time.Millisecond
)

// acknowledged is a configuration version that the store has acknowledged.
type acknowledged struct {
	version int64
	at      time.Time
}

// randomStore is a store whose answers are late, missing or refused at random, and that loses its history.
type randomStore struct {
	*fakeStore
	rng   *rand.Rand
	rngMu sync.Mutex
	// maxDelay bounds the time from the store to a box and back, each way. failing and silent are the shares of calls that are refused
	// and that get no answer.
	maxDelay        time.Duration
	failing, silent float64
	acknowledged    []acknowledged
}

func (s *randomStore) draw(n time.Duration) time.Duration {
	s.rngMu.Lock()
	defer s.rngMu.Unlock()
	return time.Duration(s.rng.Int64N(int64(max(1, n))))
}

// happens draws whether something happens whose share of all calls is at the given place.
func (s *randomStore) happens(place *float64) bool {
	share := 0.0
	s.update(func(*fakeStore) { share = *place })
	s.rngMu.Lock()
	defer s.rngMu.Unlock()
	return s.rng.Float64() < share
}

// putRouting writes a configuration and records when the store has acknowledged it.
func (s *randomStore) putRouting(c *qt.C, version int64, routes int) {
	value, err := json.Marshal(resource.Resource{Kind: resource.KindRouting, Name: catalog.RoutingName, Generation: version, Spec: largeRouting(version, routes)})
	c.Assert(err, qt.IsNil)
	s.update(func(f *fakeStore) {
		f.revision++
		f.write(objects.Object{Kind: routingKind, Name: catalog.RoutingName, Version: f.revision, Value: value})
	})
	time.Sleep(5 * time.Millisecond)
	s.update(func(*fakeStore) { s.acknowledged = append(s.acknowledged, acknowledged{version, time.Now()}) })
}

// newestBefore returns the newest version that was acknowledged before a time.
func (s *randomStore) newestBefore(at time.Time) int64 {
	newest := int64(0)
	s.update(func(*fakeStore) {
		for _, a := range s.acknowledged {
			if a.at.Before(at) {
				newest = max(newest, a.version)
			}
		}
	})
	return newest
}

// call delays a call and its answer, or loses one of them.
func (s *randomStore) call(ctx context.Context, wait time.Duration, answer func() (objects.Changes, error)) (objects.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+randomCallTimeout)
	defer cancel()
	if !sleepFor(ctx, s.draw(s.maxDelay)) || s.happens(&s.failing) {
		return objects.Changes{}, objects.ErrUnavailable
	}
	if s.happens(&s.silent) {
		<-ctx.Done()
		return objects.Changes{}, objects.ErrUnavailable
	}
	ch, err := answer()
	if !sleepFor(ctx, s.draw(s.maxDelay)) {
		return objects.Changes{}, objects.ErrUnavailable
	}
	return ch, err
}

func sleepFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// List implements follow.Source.
func (s *randomStore) List(ctx context.Context, kinds []string, after string) (objects.Changes, error) {
	return s.call(ctx, 0, func() (objects.Changes, error) { return s.fakeStore.List(ctx, kinds, after) })
}

// Watch implements follow.Source.
func (s *randomStore) Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	return s.call(ctx, wait, func() (objects.Changes, error) {
		answers := true
		s.update(func(f *fakeStore) { answers = !f.hidesChanges })
		if !answers {
			// A store that is about to lose its history answers no new watch. Those that wait end without changes.
			<-ctx.Done()
			return objects.Changes{}, objects.ErrUnavailable
		}
		ch, err := s.fakeStore.Watch(ctx, kinds, from, wait)
		s.update(func(f *fakeStore) {
			if err != nil || len(ch.Objects) > 0 || f.hidesChanges {
				return
			}
			// Without changes of the kind the answer has the store's present revision.
			if now, err := f.changesSince(kinds[0], from); err == nil && len(now.Objects) == 0 {
				ch.Revision = max(from, now.Revision)
			}
		})
		return ch, err
	})
}

// randomTree is a coordinator, two aggregators and the boxes behind them. The roles change at random.
type randomTree struct {
	store    *randomStore
	boxes    []*follow.Follower
	catalogs []*catalog.Catalog
	mu       sync.Mutex
	rng      *rand.Rand
	// parents holds the box from which each box requests changes, itself for the coordinator.
	parents []int
}

func newRandomTree(s *randomStore, rng *rand.Rand, boxes int, relayRate float64) *randomTree {
	tree := &randomTree{store: s, rng: rng, parents: make([]int, boxes)}
	for range boxes {
		cat := catalog.New()
		tree.catalogs = append(tree.catalogs, cat)
		tree.boxes = append(tree.boxes, follow.New(follow.Config{
			Source: s, Catalog: cat, Scope: tally.NoopScope, RelayTimeout: relayTimeout, RelayRate: relayRate, Grace: grace,
			Kinds: []follow.Kind{
				{Name: routingKind, Wait: 1500 * time.Millisecond, Relayed: true, SendsConfirmations: true},
				{Name: string(resource.KindEndpoint), MinInterval: pace, Wait: pace, MayExpire: true, Relayed: true, ProbesLostStore: true},
			},
		}))
	}
	tree.drawRoles()
	return tree
}

// drawRoles draws a coordinator and two aggregators.
func (tree *randomTree) drawRoles() {
	tree.mu.Lock()
	defer tree.mu.Unlock()
	order := tree.rng.Perm(len(tree.boxes))
	for i, box := range order {
		switch {
		case i == 0:
			tree.parents[box] = box
		case i <= 2:
			tree.parents[box] = order[0]
		default:
			tree.parents[box] = order[1+i%2]
		}
	}
}

func (tree *randomTree) draw(box int) (parent int, there, back time.Duration, lost bool) {
	tree.mu.Lock()
	defer tree.mu.Unlock()
	return tree.parents[box], time.Duration(tree.rng.Int64N(int64(tree.store.maxDelay))), time.Duration(tree.rng.Int64N(int64(tree.store.maxDelay))),
		tree.rng.Float64() < 0.1
}

// relay is the heartbeat of a box and its reply.
func (tree *randomTree) relay(box int) {
	parent, there, back, lost := tree.draw(box)
	if parent == box {
		return
	}
	sender, receiver := tree.boxes[parent], tree.boxes[box]
	requestedAt, known := time.Now(), receiver.KnownRevisions()
	time.Sleep(there)
	confirmed := sender.Confirmations()
	changes, age := sender.ChangesSince(known)
	time.Sleep(back)
	if lost {
		return
	}
	receiver.ApplyChanges(changes, age)
	receiver.ApplyConfirmations(confirmed, requestedAt)
}

// check returns a description of a box that claims an age under which it lacks an acknowledged version, empty if there is none.
func (tree *randomTree) check() string {
	for i, b := range tree.boxes {
		at := b.ConfirmedAt(routingKind)
		if at.IsZero() {
			continue
		}
		if held, want := routingVersion(tree.catalogs[i]), tree.store.newestBefore(at); held < want {
			return fmt.Sprintf("box %d is confirmed as of %s ago and holds version %d; version %d was acknowledged before", i, time.Since(at), held, want)
		}
	}
	return ""
}

// serve runs the boxes and their heartbeats until ctx ends.
func (tree *randomTree) serve(ctx context.Context, group *errgroup.Group) {
	for i, b := range tree.boxes {
		group.Go(func() error { return b.Serve(ctx) })
		group.Go(func() error {
			for sleepFor(ctx, heartbeatInterval) {
				tree.relay(i)
			}
			return nil
		})
	}
}

// disturb draws what happens to the store and to the roles until ctx ends.
func (tree *randomTree) disturb(ctx context.Context) {
	for sleepFor(ctx, tree.store.draw(1500*time.Millisecond)) {
		s := tree.store
		kind := int(s.draw(6))
		s.update(func(f *fakeStore) {
			switch kind {
			case 0:
				s.failing = []float64{0, 0.3, 0.8}[int(f.revision)%3]
			case 1:
				s.silent = []float64{0, 0.2, 0.5}[int(f.revision)%3]
			case 2:
				f.oldestRevision = f.revision
			case 3:
				f.hidesChanges = !f.hidesChanges
			}
		})
		if kind == 4 {
			tree.drawRoles()
		}
	}
}

// TestNoBoxConfirmsMissingChange guards against boxes that report a route as unknown because they take an old configuration for a
// confirmed one. It plays random trees of boxes with a store that is slow, refuses calls, stays silent and loses its history.
func TestNoBoxConfirmsMissingChange(t *testing.T) {
	for seed := *confirmFirstSeed; seed < *confirmFirstSeed+*confirmSeeds; seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRandomTree(qt.New(t), t, seed) })
		})
	}
}

func playRandomTree(c *qt.C, t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 59))
	s := &randomStore{fakeStore: newFakeStore(), rng: rand.New(rand.NewPCG(seed, 60)), maxDelay: randomMaxDelay}
	if seed%2 == 0 {
		s.maxDelay = 20 * time.Millisecond
	}
	writeInterval := []time.Duration{time.Second, 250 * time.Millisecond}[seed/2%2]
	s.putRouting(c, 1, 1)
	tree := newRandomTree(s, rng, 9, []float64{0, 2_000, 20_000}[seed%3])
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	tree.serve(ctx, &group)
	group.Go(func() error {
		tree.disturb(ctx)
		return nil
	})
	group.Go(func() error {
		for version := int64(2); sleepFor(ctx, s.draw(writeInterval)); version++ {
			s.putRouting(c, version, []int{1, 60}[version%2])
			s.put(c, resource.KindEndpoint, "e1", endpoint(int(version%200)))
		}
		return nil
	})
	for end := time.Now().Add(randomPlay); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if broken := tree.check(); broken != "" {
			t.Error(broken)
			break
		}
	}
	cancel()
	// Serve returns the error of its context.
	_ = group.Wait()
}
