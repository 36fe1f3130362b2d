package follow_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/resource"
)

var (
	handoverSeeds = flag.Int("handover.seeds", 300, "how many plays of TestDeletionsSurviveCoordinators are drawn")
	handoverSeed  = flag.Uint64("handover.seed", 0, "first seed of TestDeletionsSurviveCoordinators")
)

const (
	// handoverBoxes is the number of boxes, of which the first ones coordinate in turn.
	handoverBoxes = 5
	// removalBound is how long a removed endpoint may be in use at boxes in touch. settleTime is how long any box may keep one after an outage.
	removalBound = 3 * time.Second
	settleTime   = 10 * time.Second
)

// handoverBox is a box that can be lost.
type handoverBox struct {
	*box
	stop   context.CancelFunc
	isLost atomic.Bool
}

// startBox starts a box in the place of the one with the given index.
func (cell *handoverCell) startBox(ctx context.Context, s *fakeStore, i int) {
	boxCtx, stop := context.WithCancel(ctx)
	b := &handoverBox{box: newBox(s), stop: stop}
	cell.mu.Lock()
	cell.boxes[i] = b
	cell.mu.Unlock()
	cell.group.Go(func() error { return b.Serve(boxCtx) })
}

// boxAt returns the box with the given index.
func (cell *handoverCell) boxAt(i int) *handoverBox {
	cell.mu.Lock()
	defer cell.mu.Unlock()
	return cell.boxes[i]
}

// handoverCell is a cell whose coordinators are lost while endpoints are removed. The changes of the coordinator go to an aggregator, the last box,
// and to one box directly; the aggregator passes them on to the others.
type handoverCell struct {
	group errgroup.Group
	mu    sync.Mutex
	boxes [handoverBoxes]*handoverBox
	// coordinator is the index of the box that sends changes, negative while there is none.
	coordinator atomic.Int64
}

// sourceOf returns the box that sends changes to a box, nil if there is none.
func (cell *handoverCell) sourceOf(i int) *handoverBox {
	coordinator := int(cell.coordinator.Load())
	aggregator := handoverBoxes - 1
	switch {
	case coordinator < 0 || i == coordinator || cell.boxAt(coordinator).isLost.Load():
		return nil
	case i == aggregator || i == handoverBoxes-2:
		return cell.boxAt(coordinator)
	default:
		return cell.boxAt(aggregator)
	}
}

// lose ends the coordinator, and lets the next box coordinate after a while, or the same one after it has started again.
func (cell *handoverCell) lose(ctx context.Context, s *fakeStore, pause time.Duration, restarts bool) {
	lost := cell.coordinator.Load()
	cell.boxAt(int(lost)).isLost.Store(true)
	cell.boxAt(int(lost)).stop()
	cell.coordinator.Store(-1)
	time.Sleep(pause)
	if !restarts {
		cell.coordinator.Store(lost + 1)
		return
	}
	cell.startBox(ctx, s, int(lost))
	select {
	case <-cell.boxAt(int(lost)).Ready():
		cell.coordinator.Store(lost)
	case <-ctx.Done():
	}
}

// outage is how the store fails before an endpoint is removed.
type outage int

const (
	outageNone outage = iota
	outageCoordinator
	outageSuccessor
	outageAll
	outageKinds
)

// handoverPlan is what happens in one play.
type handoverPlan struct {
	outage outage
	// outageEnds is how long before the removal the outage of outageFor ends.
	outageFor, outageEnds time.Duration
	// firstLoss is when the coordinator is lost, from 1 s before the removal on. pauses are the times without one.
	firstLoss time.Duration
	pauses    []time.Duration
	// between is the time from the takeover to the next loss.
	between time.Duration
	// restarts is set if a lost coordinator starts again at once and goes on coordinating.
	restarts bool
}

func drawHandover(seed uint64) handoverPlan {
	r := rand.New(rand.NewPCG(seed, 81))
	upTo := func(d time.Duration) time.Duration { return time.Duration(r.Int64N(int64(d))) }
	p := handoverPlan{outage: outage(r.IntN(int(outageKinds))), outageFor: 200*time.Millisecond + upTo(3*time.Second), outageEnds: upTo(3 * time.Second), firstLoss: upTo(3500 * time.Millisecond), between: upTo(1500 * time.Millisecond)}
	for range 1 + r.IntN(2) {
		p.pauses = append(p.pauses, 100*time.Millisecond+upTo(900*time.Millisecond))
	}
	p.restarts = r.IntN(2) == 0
	return p
}

// setOutage begins or ends the outage.
func (cell *handoverCell) setOutage(s *fakeStore, p handoverPlan, on bool) {
	switch p.outage {
	case outageCoordinator:
		cell.boxAt(0).source.cut.Store(on)
	case outageSuccessor:
		cell.boxAt(1).source.cut.Store(on)
	case outageAll:
		s.update(func(s *fakeStore) { s.down = on })
	case outageNone, outageKinds:
	}
}

// playHandover plays a plan, and returns the boxes that are in touch and still know the removed endpoint after removalBound, where the store has not
// failed, and those that know it in the end.
func playHandover(t *testing.T, p handoverPlan) (late, kept []string) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newFakeStore()
		s.put(c, resource.KindRouting, catalog.RoutingName, routing(1))
		for i := range 3 {
			s.put(c, resource.KindEndpoint, fmt.Sprint("e", i+1), endpoint(i+1))
		}
		cell := &handoverCell{}
		ctx, cancel := context.WithCancel(t.Context())
		for i := range handoverBoxes {
			cell.startBox(ctx, s, i)
		}
		for i := range handoverBoxes {
			cell.group.Go(func() error {
				time.Sleep(time.Duration(i) * 70 * time.Millisecond)
				for ctx.Err() == nil {
					b := cell.boxAt(i)
					if from := cell.sourceOf(i); from != nil && !b.isLost.Load() {
						b.ApplyChanges(from.ChangesSince(b.KnownRevisions()))
					}
					time.Sleep(heartbeatInterval)
				}
				return nil
			})
		}
		time.Sleep(10 * time.Second)
		cell.setOutage(s, p, true)
		time.Sleep(p.outageFor)
		cell.setOutage(s, p, false)
		time.Sleep(p.outageEnds)
		cell.group.Go(func() error {
			time.Sleep(p.firstLoss)
			for _, pause := range p.pauses {
				cell.lose(ctx, s, pause, p.restarts)
				time.Sleep(p.between)
			}
			return nil
		})
		time.Sleep(time.Second)
		s.remove("e1")
		holders := func() []string {
			var all []string
			for i := range handoverBoxes {
				if b := cell.boxAt(i); !b.isLost.Load() && endpointCount(b.catalog) > 2 {
					all = append(all, fmt.Sprint(i))
				}
			}
			return all
		}
		time.Sleep(removalBound)
		if p.outage == outageNone {
			late = holders()
		}
		time.Sleep(settleTime)
		kept = holders()
		cancel()
		_ = cell.group.Wait()
	})
	return late, kept
}

// TestDeletionsSurviveCoordinators guards against a removed endpoint that boxes keep because the coordinator that knew of the removal was lost.
func TestDeletionsSurviveCoordinators(t *testing.T) {
	c := qt.New(t)
	late, kept := 0, 0
	for i := range *handoverSeeds {
		seed := *handoverSeed + uint64(i)
		p := drawHandover(seed)
		lateBoxes, keptBoxes := playHandover(t, p)
		late += boolToInt(len(lateBoxes) > 0)
		kept += boolToInt(len(keptBoxes) > 0)
		if len(lateBoxes)+len(keptBoxes) > 0 {
			c.Logf("seed %d: late at %v, kept at %v; %+v", seed, lateBoxes, keptBoxes, p)
		}
	}
	c.Check(late, qt.Equals, 0)
	c.Check(kept, qt.Equals, 0)
}

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
