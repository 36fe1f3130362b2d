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

// The users require that a configuration is in effect maxUpdateDelay after its acknowledgement. The requirement applies to boxes that have had no
// store faults for calmPeriod.
const (
	maxUpdateDelay = 2 * time.Second
	calmPeriod     = 3 * time.Second
	testBeat       = 400 * time.Millisecond
)

// fault is a fault of the calls to the store.
type fault int

const (
	faultNone fault = iota
	// faultBusy refuses calls, faultSlow delays responses, and faultLostCalls leaves some calls without a response. A watch that is
	// open during faultMissedChanges returns no changes, even those made after the fault.
	faultBusy
	faultSlow
	faultLostCalls
	faultMissedChanges
	faultCount
)

// faultyStore is a store with one configuration, whose version is its revision, and one endpoint that changes frequently.
type faultyStore struct {
	mu               sync.Mutex
	rng              *rand.Rand
	revision         objects.Position
	routingRevision  int64
	endpointRevision int64
	fault            fault
	faultChangedAt   time.Time
	changed          chan struct{}
}

func (s *faultyStore) change(routing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if routing {
		s.routingRevision = int64(s.revision)
	} else {
		s.endpointRevision = int64(s.revision)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *faultyStore) setFault(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faultChangedAt = f, time.Now()
}

// applyFault applies the current fault to a call.
func (s *faultyStore) applyFault(ctx context.Context) error {
	s.mu.Lock()
	f, lost := s.fault, s.rng.IntN(3) == 0
	s.mu.Unlock()
	switch {
	case f == faultBusy:
		return objects.ErrUnavailable
	case f == faultSlow:
		time.Sleep(300 * time.Millisecond)
	case f == faultLostCalls && lost:
		<-ctx.Done()
		return objects.ErrUnavailable
	}
	return nil
}

// newerObject returns the object of a kind, and whether it has changed since a revision.
func (s *faultyStore) newerObject(kind string, from objects.Position) (objects.Changes, bool) {
	ch := objects.Changes{Revision: s.revision}
	at := s.endpointRevision
	var spec resource.Spec = &resource.Endpoint{Service: "s", Slots: 1}
	switch kind {
	case string(resource.KindRouting):
		at, spec = s.routingRevision, &resource.Routing{Version: s.routingRevision}
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
	if err := s.applyFault(ctx); err != nil {
		return objects.Changes{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ch, _ := s.newerObject(kinds[0], 0)
	return ch, nil
}

// Watch implements follow.Source.
func (s *faultyStore) Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+500*time.Millisecond)
	defer cancel()
	if err := s.applyFault(ctx); err != nil {
		return objects.Changes{}, err
	}
	timeout := time.After(wait)
	missed := false
	for {
		s.mu.Lock()
		changed := s.changed
		ch, isNewer := s.newerObject(kinds[0], from)
		missed = missed || s.fault == faultMissedChanges
		s.mu.Unlock()
		if isNewer && !missed {
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

// TestConfigurationIsAppliedInTime injects random store faults into two boxes while the configuration changes. The second box also
// receives changes from the first box with heartbeats.
func TestConfigurationIsAppliedInTime(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) { checkUpdateDelay(t, seed) })
	}
}

func checkUpdateDelay(t *testing.T, seed uint64) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &faultyStore{rng: rand.New(rand.NewPCG(seed, 2)), changed: make(chan struct{}), faultChangedAt: time.Now()}
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
		f := follow.New(follow.Config{Source: s, Catalog: cat, Scope: tally.NoopScope, Kinds: followedKinds(settings.Customers{}), Grace: time.Second, RelayTimeout: maxMissedBeats * testBeat})
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
	nextFaultAt := time.Now()
	for range 1200 {
		time.Sleep(50 * time.Millisecond)
		now := time.Now()
		if rng.IntN(60) == 0 {
			s.change(true)
			acked = append(acked, version{s.routingRevision, now})
		}
		if now.After(nextFaultAt) {
			f := fault(rng.IntN(int(faultCount)))
			s.setFault(f)
			nextFaultAt = now.Add(time.Duration(1+rng.IntN(8)) * time.Second)
			if f != faultNone {
				time.Sleep(time.Duration(1+rng.IntN(4)) * time.Second)
				s.setFault(faultNone)
			}
			continue
		}
		if now.Sub(s.faultChangedAt) < calmPeriod {
			continue
		}
		for _, v := range acked {
			if now.Sub(v.at) < maxUpdateDelay {
				break
			}
			for i, cat := range catalogs {
				if held := cat.Topology().Routes.Version(); held < v.number {
					c.Fatalf("seed %d: box %d has version %d, %s after version %d was acknowledged and %s after the last fault", seed, i, held, now.Sub(v.at), v.number, now.Sub(s.faultChangedAt))
				}
			}
		}
	}
}
