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

// relayChain is a chain of boxes. The first one calls the store, and each other one requests changes from the box before it.
// Messages may be delayed in either direction.
type relayChain struct {
	boxes []*follow.Follower
	// maxDelay is the longest time that a message takes in one direction.
	maxDelay time.Duration
}

func confirmedKinds() []follow.Kind {
	return []follow.Kind{{Name: routingKind, Wait: 700 * time.Millisecond, Relayed: true, SendsConfirmations: true}}
}

func newRelayChain(s *fakeStore, boxes int) *relayChain {
	ch := &relayChain{}
	for range boxes {
		ch.boxes = append(ch.boxes, follow.New(follow.Config{Source: s, Catalog: catalog.New(), Scope: tally.NoopScope, Kinds: confirmedKinds()}))
	}
	return ch
}

// relay sends what one box knows to the next box, like a heartbeat and its reply.
func (ch *relayChain) relay(rng *rand.Rand, sender, receiver *follow.Follower) {
	requestedAt, known := time.Now(), receiver.KnownRevisions()
	time.Sleep(time.Duration(rng.Int64N(int64(ch.maxDelay))))
	confirmed := sender.Confirmations()
	changes, age := sender.ChangesSince(known)
	time.Sleep(time.Duration(rng.Int64N(int64(ch.maxDelay))))
	receiver.ApplyChanges(changes, age)
	receiver.ApplyConfirmations(confirmed, requestedAt)
}

// TestConfirmationIsNeverTooRecent has the store answer up to a moment and not after it, as for a box that is cut off, while
// messages between the boxes are delayed by up to two seconds in each direction. No box can know a change that is acknowledged
// after that moment, so no box may be confirmed as of a later time.
func TestConfirmationIsNeverTooRecent(t *testing.T) {
	for _, test := range []struct {
		name     string
		maxDelay time.Duration
		// maxAge bounds the age of the last box's confirmation while the store answers: a third of the time in which keys are
		// revoked, and more if messages are slow.
		maxAge time.Duration
	}{
		{"messages are fast", 5 * time.Millisecond, 2700 * time.Millisecond},
		{"messages are delayed", 2 * time.Second, 16 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := newFakeStore()
				s.put(c, resource.KindRouting, catalog.RoutingName, routing(1))
				ch := newRelayChain(s, 3)
				ch.maxDelay = test.maxDelay
				ctx, cancel := context.WithCancel(t.Context())
				var group errgroup.Group
				group.Go(func() error { return ch.boxes[0].Serve(ctx) })
				for i := range ch.boxes[1:] {
					rng := rand.New(rand.NewPCG(uint64(i), 7))
					group.Go(func() error {
						for ctx.Err() == nil {
							ch.relay(rng, ch.boxes[i], ch.boxes[i+1])
							time.Sleep(400 * time.Millisecond)
						}
						return nil
					})
				}
				time.Sleep(15 * time.Second)
				for _, b := range ch.boxes {
					c.Check(time.Since(b.ConfirmedAt(routingKind)) < test.maxAge, qt.IsTrue, qt.Commentf("%s", time.Since(b.ConfirmedAt(routingKind))))
				}
				lostAt := time.Now()
				s.update(func(s *fakeStore) { s.down, s.hangTime = true, 900*time.Millisecond })
				for range 300 {
					time.Sleep(50 * time.Millisecond)
					for i, b := range ch.boxes {
						c.Assert(b.ConfirmedAt(routingKind).After(lostAt), qt.IsFalse, qt.Commentf("box %d", i))
					}
				}
				cancel()
				_ = group.Wait()
			})
		})
	}
}

// TestConfirmationNeedsMatchingRevision checks that a box which lacks a change, because it was too large to be sent, is not
// confirmed by the age sent with the reply.
func TestConfirmationNeedsMatchingRevision(t *testing.T) {
	c := qt.New(t)
	f := follow.New(follow.Config{Catalog: catalog.New(), Scope: tally.NoopScope, Kinds: confirmedKinds()})
	now := time.Now()
	confirmation := func(revision objects.Position) map[string]objects.Confirmation {
		return map[string]objects.Confirmation{routingKind: {Revision: revision, Age: time.Second}}
	}
	f.ApplyChanges([]objects.KindChanges{{Kind: routingKind, Revision: 5}}, 0)
	f.ApplyConfirmations(confirmation(6), now)
	c.Check(f.ConfirmedAt(routingKind).IsZero(), qt.IsTrue)
	f.ApplyConfirmations(confirmation(5), now)
	c.Check(f.ConfirmedAt(routingKind).Equal(now.Add(-time.Second)), qt.IsTrue)
	f.ApplyConfirmations(confirmation(5), now.Add(-time.Second))
	c.Check(f.ConfirmedAt(routingKind).Equal(now.Add(-time.Second)), qt.IsTrue, qt.Commentf("an older confirmation has no effect"))
	f.ApplyConfirmations(map[string]objects.Confirmation{routingKind: {Revision: 5, Age: -time.Hour}}, now)
	c.Check(f.ConfirmedAt(routingKind).Equal(now.Add(-time.Second)), qt.IsTrue, qt.Commentf("a negative age is ignored"))
}
