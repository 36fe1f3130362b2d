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

// versions is a kind that seldom changes.
const versions = "AdapterVersion"

// endingSource lists nothing and ends the first watch of adapter versions in a way that is set; all others wait.
type endingSource struct {
	after time.Duration
	err   error
	// failing says that every call for the kind after it fails too.
	failing bool
	ended   atomic.Bool
}

func (s *endingSource) List(_ context.Context, kinds []string, _ string) (objects.Changes, error) {
	if kinds[0] == versions && s.ended.Load() && s.failing {
		return objects.Changes{}, s.err
	}
	return objects.Changes{Revision: 7}, nil
}

func (s *endingSource) Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error) {
	var err error
	if kinds[0] == versions && (s.failing || !s.ended.Load()) {
		err = s.err
		if s.ended.Swap(true) {
			return objects.Changes{}, err
		}
		wait = s.after
	}
	select {
	case <-time.After(wait):
		return objects.Changes{Revision: from}, err
	case <-ctx.Done():
		return objects.Changes{}, ctx.Err()
	}
}

// TestAgeOfWhatIsTold: the pattern is one watch of a kind that seldom changes ending otherwise than by an answer, 2.5 s after the call before.
// Where the store goes on answering, the age that other boxes are told must not send them all to the store; where it does not, it must.
func TestAgeOfWhatIsTold(t *testing.T) {
	const enough = 1300 * time.Millisecond
	for _, test := range []struct {
		name    string
		after   time.Duration
		err     error
		failing bool
		// old says that the age shows.
		old bool
	}{
		{name: "the history is gone", after: 2500 * time.Millisecond, err: objects.ErrGone},
		{name: "cut while it waits", after: 2500 * time.Millisecond, err: errors.New("reset")},
		{name: "cut while it waits, and all calls after it fail", after: 2500 * time.Millisecond, err: errors.New("reset"), failing: true, old: true},
		{name: "not answered, as after the history was forgotten", after: 3500 * time.Millisecond, err: context.DeadlineExceeded},
		{name: "not answered, nor any call after it", after: 3100 * time.Millisecond, err: context.DeadlineExceeded, failing: true, old: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := follow.New(follow.Config{
					Source: &endingSource{after: test.after, err: test.err, failing: test.failing}, Catalog: catalog.New(), Scope: tally.NoopScope,
					Kinds: []follow.Kind{{Name: versions, Wait: 3 * time.Second, Relayed: true}, {Name: "Endpoint", Wait: 700 * time.Millisecond, Relayed: true, Probes: true}},
				})
				ctx, cancel := context.WithCancel(t.Context())
				var group errgroup.Group
				group.Go(func() error { return f.Serve(ctx) })
				time.Sleep(test.after + 400*time.Millisecond)
				_, age := f.Since(map[string]objects.Position{versions: 7})
				c.Check(age > enough, qt.Equals, test.old, qt.Commentf("told %s", age))
				cancel()
				c.Check(group.Wait(), qt.ErrorIs, context.Canceled)
			})
		})
	}
}

// TestAgeAfterAnotherBoxWasHeard: the pattern is a box that has had its changes through another one for long, and whose first own calls fail
// when heartbeats end. What it tells is as old as the last word of the other box, and not as its own call ten seconds before.
func TestAgeAfterAnotherBoxWasHeard(t *testing.T) {
	relayed(t, func(c *qt.C, _ *store, _, to *side, beating *atomic.Bool) {
		to.source.cutFrom.Store(string(resource.KindRouting))
		beating.Store(false)
		time.Sleep(9 * time.Second)
		_, age := to.Since(to.Known())
		c.Check(age > 5*time.Second && age < 12*time.Second, qt.IsTrue, qt.Commentf("told %s", age))
	})
}
