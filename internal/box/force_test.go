package box

import (
	"context"
	"encoding/json"
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
	"github.com/bellgap/bellgap/internal/settings"
)

// What the users ask of a configuration: in force this long after it was acknowledged, at boxes that nothing has befallen for calmFor.
const (
	forceWithin = 2 * time.Second
	calmFor     = 3 * time.Second
	testBeat    = 400 * time.Millisecond
)

// fault is what befalls the store's calls of one box.
type fault int

const (
	faultNone fault = iota
	// faultBusy refuses calls, faultSlow delays their answers, faultLost swallows some of them, faultDeaf leaves watches that wait
	// through it without the changes that come later.
	faultBusy
	faultSlow
	faultLost
	faultDeaf
	faults
)

// faultyStore holds one configuration, numbered by its versions, and entries that change all the time.
type faultyStore struct {
	mu       sync.Mutex
	rng      *rand.Rand
	revision objects.Position
	routing  int64
	entries  int64
	fault    fault
	calmAt   time.Time
	changed  chan struct{}
}

func (s *faultyStore) change(routing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if routing {
		s.routing = int64(s.revision)
	} else {
		s.entries = int64(s.revision)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultyStore) befall(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.calmAt = f, time.Now()
}

// meet lets a call meet the fault of the moment.
func (s *faultyStore) meet(ctx context.Context) error {
	s.mu.Lock()
	f, lost := s.fault, s.rng.IntN(3) == 0
	s.mu.Unlock()
	switch {
	case f == faultBusy:
		return objects.ErrUnavailable
	case f == faultSlow:
		time.Sleep(300 * time.Millisecond)
	case f == faultLost && lost:
		<-ctx.Done()
		return objects.ErrUnavailable
	}
	return nil
}

// newer returns a kind's object if it has changed since a revision.
func (s *faultyStore) newer(kind string, from objects.Position) (objects.Changes, bool) {
	ch := objects.Changes{Revision: s.revision}
	at := s.entries
	var spec resource.Spec = &resource.Endpoint{Service: "s", Slots: 1}
	switch kind {
	case string(resource.KindRouting):
		at, spec = s.routing, &resource.Routing{Version: s.routing}
	case string(resource.KindEndpoint):
	default:
		return ch, false
	}
	value, err := json.Marshal(resource.Resource{Kind: resource.Kind(kind), Name: catalog.RoutingName, Generation: at, Spec: spec})
	if err != nil {
		panic(err)
	}
	ch.Objects = []objects.Object{{Kind: kind, Name: catalog.RoutingName, Version: objects.Position(at), Value: value}}
	return ch, objects.Position(at) > from
}

// List implements follow.Source.
func (s *faultyStore) List(ctx context.Context, kinds []string, _ string) (objects.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
	defer cancel()
	if err := s.meet(ctx); err != nil {
		return objects.Changes{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ch, _ := s.newer(kinds[0], 0)
	return ch, nil
}

// Watch implements follow.Source.
func (s *faultyStore) Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+500*time.Millisecond)
	defer cancel()
	if err := s.meet(ctx); err != nil {
		return objects.Changes{}, err
	}
	timeout := time.After(wait)
	deaf := false
	for {
		s.mu.Lock()
		changed := s.changed
		ch, isNewer := s.newer(kinds[0], from)
		deaf = deaf || s.fault == faultDeaf
		s.mu.Unlock()
		if isNewer && !deaf {
			return ch, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return objects.Changes{Revision: from}, nil
		case <-ctx.Done():
			return objects.Changes{}, ctx.Err()
		}
	}
}

// TestConfigurationIsInForceInTime draws faults of the store for two boxes, one of which has its changes with heartbeats of the
// other, and changes the configuration all the while.
func TestConfigurationIsInForceInTime(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) { checkForce(t, seed) })
	}
}

func checkForce(t *testing.T, seed uint64) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &faultyStore{rng: rand.New(rand.NewPCG(seed, 2)), changed: make(chan struct{}), calmAt: time.Now()}
	s.change(true)
	var boxes []*follow.Follower
	var catalogs []*catalog.Catalog
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	defer func() {
		cancel()
		_ = group.Wait()
	}()
	for range 2 {
		cat := catalog.New()
		f := follow.New(follow.Config{Source: s, Catalog: cat, Scope: tally.NoopScope, Kinds: followedKinds(settings.Customers{}), Grace: time.Second, RelayTimeout: silentBeats * testBeat})
		boxes, catalogs = append(boxes, f), append(catalogs, cat)
		group.Go(func() error { _ = f.Serve(ctx); return nil })
	}
	group.Go(func() error {
		for ctx.Err() == nil {
			boxes[1].ApplyChanges(boxes[0].ChangesSince(boxes[1].KnownRevisions()))
			time.Sleep(testBeat)
		}
		return nil
	})
	group.Go(func() error {
		for ctx.Err() == nil {
			time.Sleep(170 * time.Millisecond)
			s.change(false)
		}
		return nil
	})
	time.Sleep(2 * time.Second)
	type version struct {
		number int64
		at     time.Time
	}
	var acked []version
	next := time.Now()
	for range 1200 {
		time.Sleep(50 * time.Millisecond)
		now := time.Now()
		if rng.IntN(60) == 0 {
			s.change(true)
			acked = append(acked, version{s.routing, now})
		}
		if now.After(next) {
			f := fault(rng.IntN(int(faults)))
			s.befall(f)
			next = now.Add(time.Duration(1+rng.IntN(8)) * time.Second)
			if f != faultNone {
				time.Sleep(time.Duration(1+rng.IntN(4)) * time.Second)
				s.befall(faultNone)
			}
			continue
		}
		if now.Sub(s.calmAt) < calmFor {
			continue
		}
		for _, v := range acked {
			if now.Sub(v.at) < forceWithin {
				break
			}
			for i, cat := range catalogs {
				if have := cat.Topology().Routes.Version(); have < v.number {
					c.Fatalf("seed %d: box %d is at version %d, %s after %d was acknowledged and %s after the last fault", seed, i, have, now.Sub(v.at), v.number, now.Sub(s.calmAt))
				}
			}
		}
	}
}
