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

// lossyStore loses the answers of successful writes while failing is set. Reads fail then too, as they do after the caller's time
// limit.
type lossyStore struct {
	objects.API
	failing bool
}

func (s *lossyStore) Put(ctx context.Context, kind, name string, expect objects.Position, value json.RawMessage) (objects.Position, error) {
	v, err := s.API.Put(ctx, kind, name, expect, value)
	if s.failing && err == nil {
		return 0, objects.ErrOutcomeUnknown
	}
	return v, err
}

func (s *lossyStore) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if s.failing {
		return objects.Object{}, objects.ErrUnavailable
	}
	return s.API.Get(ctx, kind, name)
}

// TestUnconfirmedRenewalKeepsLease guards against a holder that mistakes its own renewal for the write of another box and so drops its
// whole state as a coordinator. This could happen if the answer to the renewal was lost and the lease could not be read back at once.
func TestUnconfirmedRenewalKeepsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		store := &lossyStore{API: fakeplatform.New()}
		a := newLease(store, "a")
		c.Assert(a.Refresh(ctx), qt.IsNil)
		c.Assert(a.Acquire(ctx), qt.IsNil)
		time.Sleep(ttl / 3)
		store.failing = true
		c.Assert(a.Renew(ctx), qt.Not(qt.IsNil))
		store.failing = false
		c.Check(a.Renew(ctx), qt.IsNil)
		c.Check(a.IsOwn(), qt.IsTrue)
		c.Check(a.Record().Holder, qt.Equals, "a")
	})
}
