package follow_test

import (
	"context"
	"errors"
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

// versionKind is a kind that seldom changes.
const versionKind = "AdapterVersion"

// failingWatchSource returns empty lists. Its first watch of adapter versions fails with err after failAfter. All other watches
// wait for their whole time.
type failingWatchSource struct {
	failAfter time.Duration
	err       error
	// keepFailing makes all later calls for the kind fail too.
	keepFailing bool
	failed      atomic.Bool
}

func (s *failingWatchSource) List(_ context.Context, kinds []string, _ string) (objects.Changes, error) {
	if kinds[0] == versionKind && s.failed.Load() && s.keepFailing {
		return objects.Changes{}, s.err
	}
	return objects.Changes{Revision: 7}, nil
}

func (s *failingWatchSource) Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	var err error
	if kinds[0] == versionKind && (s.keepFailing || !s.failed.Load()) {
		err = s.err
		if s.failed.Swap(true) {
			return objects.Changes{}, err
		}
		wait = s.failAfter
	}
	select {
	case <-time.After(wait):
		return objects.Changes{Revision: from}, err
	case <-ctx.Done():
		return objects.Changes{}, ctx.Err()
	}
}

// TestReportedAgeAfterWatchFails ends one watch of a seldom changing kind without an answer, 2.5 s or more after the previous
// call. If the store continues to answer, the age sent to other boxes must not make all of them call the store. If the store
// stops answering, the age must do so.
func TestReportedAgeAfterWatchFails(t *testing.T) {
	const maxAge = 1300 * time.Millisecond
	for _, test := range []struct {
		name        string
		failAfter   time.Duration
		err         error
		keepFailing bool
		// wantStale is set if the age must exceed maxAge.
		wantStale bool
	}{
		{name: "history lost", failAfter: 2500 * time.Millisecond, err: objects.ErrGone},
		{name: "connection lost while waiting", failAfter: 2500 * time.Millisecond, err: errors.New("reset")},
		{name: "connection lost while waiting, later calls fail", failAfter: 2500 * time.Millisecond, err: errors.New("reset"), keepFailing: true, wantStale: true},
		{name: "no answer after the history was lost", failAfter: 3500 * time.Millisecond, err: context.DeadlineExceeded},
		{name: "no answer, later calls fail", failAfter: 3100 * time.Millisecond, err: context.DeadlineExceeded, keepFailing: true, wantStale: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := follow.New(follow.Config{
					Source: &failingWatchSource{failAfter: test.failAfter, err: test.err, keepFailing: test.keepFailing}, Catalog: catalog.New(), Scope: tally.NoopScope,
					Kinds: []follow.Kind{{Name: versionKind, Wait: 3 * time.Second, Relayed: true}, {Name: "Endpoint", Wait: 700 * time.Millisecond, Relayed: true, ProbesLostStore: true}},
				})
				ctx, cancel := context.WithCancel(t.Context())
				var group errgroup.Group
				group.Go(func() error { return f.Serve(ctx) })
				time.Sleep(test.failAfter + 400*time.Millisecond)
				_, age := f.ChangesSince(map[string]objects.Position{versionKind: 7})
				c.Check(age > maxAge, qt.Equals, test.wantStale, qt.Commentf("reported age %s", age))
				cancel()
				c.Check(group.Wait(), qt.ErrorIs, context.Canceled)
			})
		})
	}
}

// TestReportedAgeCountsFromLastHeartbeat checks a box that has long received its changes from another box, and whose first own
// calls fail when heartbeats end. The age that it sends counts from the last heartbeat, not from its own previous call ten
// seconds earlier.
func TestReportedAgeCountsFromLastHeartbeat(t *testing.T) {
	runRelaying(t, func(c *qt.C, _ *fakeStore, _, receiver *box, heartbeatsOn *atomic.Bool) {
		receiver.source.cutKind.Store(string(resource.KindRouting))
		heartbeatsOn.Store(false)
		time.Sleep(9 * time.Second)
		_, age := receiver.ChangesSince(receiver.KnownRevisions())
		c.Check(age > 5*time.Second && age < 12*time.Second, qt.IsTrue, qt.Commentf("reported age %s", age))
	})
}
