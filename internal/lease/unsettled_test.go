package lease_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/fakeplatform"
	"github.com/bellgap/bellgap/internal/objects"
)

// slowStore carries a write out and loses its answer; while lost, reads fail too, as when the time of the duty is over.
type slowStore struct {
	objects.API
	lost bool
}

func (s *slowStore) Put(ctx context.Context, kind, name string, expect objects.Position, value json.RawMessage) (objects.Position, error) {
	v, err := s.API.Put(ctx, kind, name, expect, value)
	if s.lost && err == nil {
		return 0, objects.ErrAnswerLost
	}
	return v, err
}

func (s *slowStore) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if s.lost {
		return objects.Object{}, objects.ErrUnavailable
	}
	return s.API.Get(ctx, kind, name)
}

// TestOwnLostRenewalIsNotAnotherHolder: a renewal that took effect without an answer, and could not be read back at once, must not
// make the holder take its own write for another's: it would forget all that it knows as a coordinator.
func TestOwnLostRenewalIsNotAnotherHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		store := &slowStore{API: fakeplatform.New()}
		a := newLease(store, "a")
		c.Assert(a.Refresh(ctx), qt.IsNil)
		c.Assert(a.Take(ctx), qt.IsNil)
		time.Sleep(ttl / 3)
		store.lost = true
		c.Assert(a.Renew(ctx), qt.Not(qt.IsNil))
		store.lost = false
		c.Check(a.Renew(ctx), qt.IsNil)
		c.Check(a.Ours(), qt.IsTrue)
		c.Check(a.Record().Holder, qt.Equals, "a")
	})
}
