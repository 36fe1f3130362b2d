package follow_test

import (
	"context"
	"encoding/json"
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

// delayedWatchSource returns an empty list. Its watches end without changes at the revision of the list.
type delayedWatchSource struct{ revision objects.Position }

func (s delayedWatchSource) List(context.Context, []string, string) (objects.Changes, error) {
	return objects.Changes{Revision: s.revision}, nil
}

func (s delayedWatchSource) Watch(ctx context.Context, _ []string, _ objects.Position, wait time.Duration) (objects.Changes, error) {
	if !sleepFor(ctx, wait) {
		return objects.Changes{}, ctx.Err()
	}
	return objects.Changes{Revision: s.revision}, nil
}

// TestLateWatchDoesNotLowerKnownRevision guards against a box that, after a late answer of the store, sends the age of a change
// that it received from another box with the revision before the change. A box behind it then takes its configuration for
// confirmed without that change, and reports an added route as unknown.
func TestLateWatchDoesNotLowerKnownRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		newFollower := func() *follow.Follower {
			return follow.New(follow.Config{Source: delayedWatchSource{5}, Catalog: catalog.New(), Scope: tally.NoopScope, RelayTimeout: relayTimeout, Kinds: confirmedKinds()})
		}
		aggregator, behind := newFollower(), newFollower()
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return aggregator.Serve(ctx) })
		// The aggregator's first watch waits while the coordinator sends a change.
		time.Sleep(100 * time.Millisecond)
		behind.ApplyChanges([]objects.KindChanges{{Kind: routingKind, Revision: 5}}, 0)
		value, err := json.Marshal(resource.Resource{Kind: resource.KindRouting, Name: catalog.RoutingName, Generation: 1, Spec: routing(1)})
		c.Assert(err, qt.IsNil)
		change := objects.Object{Kind: routingKind, Name: catalog.RoutingName, Version: 6, Value: value}
		aggregator.ApplyChanges([]objects.KindChanges{{Kind: routingKind, Revision: 6, Objects: []objects.Object{change}}}, 0)
		confirmedAt := time.Now()
		aggregator.ApplyConfirmations(map[string]objects.Confirmation{routingKind: {Revision: 6}}, confirmedAt)
		time.Sleep(time.Second)

		c.Check(aggregator.KnownRevisions()[routingKind], qt.Equals, objects.Position(6))
		c.Check(aggregator.Confirmations()[routingKind].Revision, qt.Equals, objects.Position(6))
		known, requestedAt := behind.KnownRevisions(), time.Now()
		confirmed := aggregator.Confirmations()
		behind.ApplyChanges(aggregator.ChangesSince(known))
		behind.ApplyConfirmations(confirmed, requestedAt)
		hasChange := behind.KnownRevisions()[routingKind] >= 6
		c.Check(behind.ConfirmedAt(routingKind).Before(confirmedAt) || hasChange, qt.IsTrue, qt.Commentf("confirmed without the change"))
		cancel()
		c.Check(group.Wait(), qt.ErrorIs, context.Canceled)
	})
}
