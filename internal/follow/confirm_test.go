package follow_test

import (
	"context"
	"math/rand/v2"
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

const routingKind = string(resource.KindRouting)

// chain is boxes of which the first asks the store and each other one the box before it, by messages that may be held up either way.
type chain struct {
	boxes []*follow.Follower
	// slow is the longest that a message takes one way.
	slow time.Duration
}

func confirmedKinds() []follow.Kind {
	return []follow.Kind{{Name: routingKind, Wait: 700 * time.Millisecond, Relayed: true, Confirmed: true}}
}

func newChain(s *store, boxes int) *chain {
	ch := &chain{}
	for range boxes {
		ch.boxes = append(ch.boxes, follow.New(follow.Config{Source: s, Catalog: catalog.New(), Scope: tally.NoopScope, Kinds: confirmedKinds()}))
	}
	return ch
}

// pass brings what a box knows to the next one, as a heartbeat and its reply do.
func (ch *chain) pass(rng *rand.Rand, from, to *follow.Follower) {
	askedAt, known := time.Now(), to.Known()
	time.Sleep(time.Duration(rng.Int64N(int64(ch.slow))))
	confirmed := from.Confirmed()
	changes, age := from.Since(known)
	time.Sleep(time.Duration(rng.Int64N(int64(ch.slow))))
	to.Take(changes, age)
	to.Confirm(confirmed, askedAt)
}

// TestWordIsNeverYoungerThanItIs: the store answers until a moment and not after it, as where a box is cut off, and messages between the boxes are
// held up for up to two seconds each way. Whatever was acknowledged after that moment no box can know, so none may count as knowing it.
func TestWordIsNeverYoungerThanItIs(t *testing.T) {
	for _, test := range []struct {
		name string
		slow time.Duration
		// fresh is how old the last box's word may be while all is well: a third of the time in which keys are revoked, and more where
		// messages are slow.
		fresh time.Duration
	}{
		{"messages pass", 5 * time.Millisecond, 2700 * time.Millisecond},
		{"messages are held up", 2 * time.Second, 16 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newStore()
				s.put(c, resource.KindRouting, catalog.RoutingName, routing(1))
				ch := newChain(s, 3)
				ch.slow = test.slow
				ctx, cancel := context.WithCancel(t.Context())
				var group errgroup.Group
				group.Go(func() error { return ch.boxes[0].Serve(ctx) })
				for i := range ch.boxes[1:] {
					rng := rand.New(rand.NewPCG(uint64(i), 7))
					group.Go(func() error {
						for ctx.Err() == nil {
							ch.pass(rng, ch.boxes[i], ch.boxes[i+1])
							time.Sleep(400 * time.Millisecond)
						}
						return nil
					})
				}
				time.Sleep(15 * time.Second)
				for _, b := range ch.boxes {
					c.Check(time.Since(b.ConfirmedAt(routingKind)) < test.fresh, qt.IsTrue, qt.Commentf("%s", time.Since(b.ConfirmedAt(routingKind))))
				}
				lost := time.Now()
				s.set(func(s *store) { s.down, s.hangs = true, 900*time.Millisecond })
				for range 300 {
					time.Sleep(50 * time.Millisecond)
					for i, b := range ch.boxes {
						c.Assert(b.ConfirmedAt(routingKind).After(lost), qt.IsFalse, qt.Commentf("box %d", i))
					}
				}
				cancel()
				_ = group.Wait()
			})
		})
	}
}

// TestWordNeedsWhatItIsAbout: a box that was not told a change, as it was too large, is not confirmed by the age that came beside it.
func TestWordNeedsWhatItIsAbout(t *testing.T) {
	c := qt.New(t)
	f := follow.New(follow.Config{Catalog: catalog.New(), Scope: tally.NoopScope, Kinds: confirmedKinds()})
	now := time.Now()
	told := func(revision objects.Position) map[string]objects.Confirmation {
		return map[string]objects.Confirmation{routingKind: {Revision: revision, Age: time.Second}}
	}
	f.Take([]objects.KindChanges{{Kind: routingKind, Revision: 5}}, 0)
	f.Confirm(told(6), now)
	c.Check(f.ConfirmedAt(routingKind).IsZero(), qt.IsTrue)
	f.Confirm(told(5), now)
	c.Check(f.ConfirmedAt(routingKind).Equal(now.Add(-time.Second)), qt.IsTrue)
	f.Confirm(told(5), now.Add(-time.Second))
	c.Check(f.ConfirmedAt(routingKind).Equal(now.Add(-time.Second)), qt.IsTrue, qt.Commentf("an older word changes nothing"))
	f.Confirm(map[string]objects.Confirmation{routingKind: {Revision: 5, Age: -time.Hour}}, now)
	c.Check(f.ConfirmedAt(routingKind).Equal(now.Add(-time.Second)), qt.IsTrue, qt.Commentf("a negative age is no age"))
}
