package lease_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/fakeplatform"
	"github.com/bellgap/bellgap/internal/lease"
	"github.com/bellgap/bellgap/internal/objects"
)

const ttl = 3 * time.Second

func newLease(api objects.API, holder string) *lease.Lease {
	n := 0
	return lease.New(lease.Config{API: api, Name: "zone-z", Holder: holder, TTL: ttl, NewToken: func() string {
		n++
		return fmt.Sprintf("%s-%d", holder, n)
	}})
}

// TestLeaseIsFreeOnlyAfterTTLWithoutChange checks that another box may acquire a lease only after it was not renewed for TTL.
func TestLeaseIsFreeOnlyAfterTTLWithoutChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		store := fakeplatform.New()
		a, b := newLease(store, "a"), newLease(store, "b")
		c.Assert(a.Refresh(ctx), qt.IsNil)
		c.Assert(a.Acquire(ctx), qt.IsNil)
		for range 10 {
			time.Sleep(ttl / 3)
			c.Assert(a.Renew(ctx), qt.IsNil)
			c.Assert(b.Refresh(ctx), qt.IsNil)
			c.Assert(b.IsFree(time.Now(), 0), qt.IsFalse)
		}
		time.Sleep(ttl)
		c.Assert(b.Refresh(ctx), qt.IsNil)
		c.Check(b.IsFree(time.Now(), 0), qt.IsTrue)
		c.Check(a.IsHeld(time.Now()), qt.IsFalse)
		c.Assert(b.Acquire(ctx), qt.IsNil)
		c.Check(b.Record().Epoch, qt.Equals, a.Record().Epoch+1)
		c.Check(a.Renew(ctx), qt.ErrorIs, objects.ErrConflict)
	})
}

// TestFormerHolderCannotRenewAfterRefresh checks that a former holder that reads the new holder's record, and so knows its version,
// does not overwrite it by a renewal.
func TestFormerHolderCannotRenewAfterRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		store := fakeplatform.New()
		a, b := newLease(store, "a"), newLease(store, "b")
		c.Assert(a.Refresh(ctx), qt.IsNil)
		c.Assert(a.Acquire(ctx), qt.IsNil)
		c.Assert(b.Refresh(ctx), qt.IsNil)
		time.Sleep(ttl)
		c.Assert(b.Acquire(ctx), qt.IsNil)
		c.Assert(a.Refresh(ctx), qt.IsNil)
		c.Check(a.Renew(ctx), qt.ErrorIs, objects.ErrConflict)
		c.Check(b.Renew(ctx), qt.IsNil)
	})
}

// TestLostAnswersAreConfirmedByReading checks that writes whose answers are lost count as successful if reading back shows their
// tokens.
func TestLostAnswersAreConfirmedByReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		store := fakeplatform.New()
		a, b := newLease(store, "a"), newLease(store, "b")
		c.Assert(a.Refresh(ctx), qt.IsNil)
		store.SetFaults(fakeplatform.Faults{DropResponses: 2})
		c.Assert(a.Acquire(ctx), qt.IsNil)
		c.Assert(a.Renew(ctx), qt.IsNil)
		c.Check(a.IsHeld(time.Now()), qt.IsTrue)
		c.Assert(b.Refresh(ctx), qt.IsNil)
		c.Check(b.Record().Holder, qt.Equals, "a")
		c.Assert(a.Release(ctx), qt.IsNil)
		c.Assert(b.Refresh(ctx), qt.IsNil)
		c.Check(b.IsFree(time.Now(), 0), qt.IsTrue)
	})
}
