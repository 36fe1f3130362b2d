package repair_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/fakeplatform"
	"github.com/bellgap/bellgap/internal/feed"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/operator"
	"github.com/bellgap/bellgap/internal/repair"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// box is the parts of a box that keep configuration.
type box struct {
	catalog  *catalog.Catalog
	feed     *feed.Feed
	operator http.Handler
	// seen is the newest urgency seen.
	seen int
}

// rig is boxes before one platform in virtual time; the first box repairs.
type rig struct {
	c        *qt.C
	ctx      context.Context
	group    errgroup.Group
	platform *fakeplatform.Store
	boxes    []*box
}

func (r *rig) addBox() *box {
	first := len(r.boxes) == 0
	b := &box{catalog: catalog.New()}
	neighbour := b.catalog
	if !first {
		neighbour = r.boxes[0].catalog
	}
	b.feed = feed.New(feed.Config{
		Catalog: b.catalog, Scope: tally.NoopScope, Pick: func() feed.Source { return r.platform },
		Lost: func(context.Context) ([]objects.Object, error) {
			return neighbour.Unstored(100), nil
		},
	})
	b.operator = operator.New(operator.Config{API: r.platform, Catalog: b.catalog, Scope: tally.NoopScope, Metrics: http.NotFoundHandler()}).Handler()
	fix := repair.New(repair.Config{API: r.platform, Catalog: b.catalog, Scope: tally.NoopScope, Active: func() bool { return first }})
	r.group.Go(func() error { return b.feed.Serve(r.ctx) })
	r.group.Go(func() error { return fix.Serve(r.ctx) })
	r.boxes = append(r.boxes, b)
	<-b.feed.Ready()
	return b
}

// put declares a priority's urgency through a box and returns the result code.
func (r *rig) put(b *box, urgency int, query string) result.Code {
	body, err := json.Marshal(resource.Resource{Kind: resource.KindPriority, Name: "gate", Spec: &resource.Priority{Urgency: urgency}})
	r.c.Assert(err, qt.IsNil)
	w := httptest.NewRecorder()
	b.operator.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/resources/Priority/gate"+query, strings.NewReader(string(body))))
	if w.Code == http.StatusOK {
		return result.OK
	}
	e, ok := result.Decode(w.Body.Bytes())
	r.c.Assert(ok, qt.IsTrue)
	return e.Code
}

// run lets time pass and checks that no box goes back.
func (r *rig) run(d time.Duration) {
	for ; d > 0; d -= 100 * time.Millisecond {
		time.Sleep(100 * time.Millisecond)
		for i, b := range r.boxes {
			now := 0
			if p, ok := b.catalog.Priority("gate"); ok {
				now = p.Urgency
			}
			r.c.Assert(now >= b.seen, qt.IsTrue, qt.Commentf("box %d went back to %d after %d", i, now, b.seen))
			b.seen = now
		}
	}
}

func inBubble(t *testing.T, boxes int, test func(r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &rig{c: qt.New(t), ctx: ctx, platform: fakeplatform.New()}
		for range boxes {
			r.addBox()
		}
		test(r)
		cancel()
		r.c.Check(r.group.Wait(), qt.ErrorIs, context.Canceled)
	})
}

// TestRestoredPlatformTakesNothingBack guards against changes that a platform restored from an older copy takes back, with eras and without.
func TestRestoredPlatformTakesNothingBack(t *testing.T) {
	for _, test := range []struct {
		name    string
		restore func(*fakeplatform.Store, objects.Changes)
	}{
		{"revisions-go-back", (*fakeplatform.Store).Restore},
		{"new-era", (*fakeplatform.Store).Rewind},
	} {
		t.Run(test.name, func(t *testing.T) { checkRestored(t, test.restore) })
	}
}

func checkRestored(t *testing.T, restore func(*fakeplatform.Store, objects.Changes)) {
	inBubble(t, 3, func(r *rig) {
		r.c.Assert(r.put(r.boxes[0], 1, ""), qt.Equals, result.OK)
		_, err := r.platform.Put(r.ctx, "Priority", "old", 0, []byte(`{"kind":"Priority","name":"old","spec":{"urgency":1}}`))
		r.c.Assert(err, qt.IsNil)
		r.run(3 * time.Second)
		backup := r.platform.Snapshot()
		for u := 2; u <= 5; u++ {
			r.c.Assert(r.put(r.boxes[u%3], u, ""), qt.Equals, result.OK)
			r.run(2 * time.Second)
		}
		old, err := r.platform.Get(r.ctx, "Priority", "old")
		r.c.Assert(err, qt.IsNil)
		r.c.Assert(r.platform.Delete(r.ctx, "Priority", "old", old.Version), qt.IsNil)
		r.run(3 * time.Second)
		restore(r.platform, backup)
		r.run(100 * time.Millisecond)
		fresh := r.addBox()
		p, ok := fresh.catalog.Priority("gate")
		r.c.Assert(ok, qt.IsTrue)
		r.c.Check(p.Urgency, qt.Equals, 5, qt.Commentf("a box that starts after the restore"))
		r.run(20 * time.Second)
		for i, b := range r.boxes {
			_, ok := b.catalog.Priority("old")
			r.c.Check(ok, qt.IsFalse, qt.Commentf("box %d has a deleted object again", i))
		}
		o, err := r.platform.Get(r.ctx, "Priority", "gate")
		r.c.Assert(err, qt.IsNil)
		r.c.Check(string(o.Value), qt.Contains, `"urgency":5`)
		_, err = r.platform.Get(r.ctx, "Priority", "old")
		r.c.Check(err, qt.ErrorIs, objects.ErrNotFound)
		// What is accepted after the restore is in force everywhere within seconds.
		r.c.Assert(r.put(r.boxes[1], 6, ""), qt.Equals, result.OK)
		r.run(6 * time.Second)
		for i, b := range r.boxes {
			p, _ := b.catalog.Priority("gate")
			r.c.Check(p.Urgency, qt.Equals, 6, qt.Commentf("box %d", i))
		}
	})
}

func TestAcceptedMeansInForceWithinSeconds(t *testing.T) {
	inBubble(t, 5, func(r *rig) {
		for u := 1; u <= 20; u++ {
			r.c.Assert(r.put(r.boxes[u%5], u, ""), qt.Equals, result.OK)
			began := time.Now()
			for _, b := range r.boxes {
				for p, ok := b.catalog.Priority("gate"); !ok || p.Urgency != u; p, ok = b.catalog.Priority("gate") {
					time.Sleep(10 * time.Millisecond)
					r.c.Assert(time.Since(began) < 6*time.Second, qt.IsTrue, qt.Commentf("change %d", u))
				}
			}
		}
	})
}

func TestOperatorsRacing(t *testing.T) {
	inBubble(t, 2, func(r *rig) {
		r.c.Assert(r.put(r.boxes[0], 1, "?expect=0"), qt.Equals, result.OK)
		o, err := r.platform.Get(r.ctx, "Priority", "gate")
		r.c.Assert(err, qt.IsNil)
		expect := fmt.Sprintf("?expect=%d", o.Version)
		r.platform.SetFaults(fakeplatform.Faults{Delay: 50 * time.Millisecond})
		codes := make([]result.Code, 2)
		var group errgroup.Group
		for i := range codes {
			group.Go(func() error {
				codes[i] = r.put(r.boxes[i], 10+i, expect)
				return nil
			})
		}
		r.c.Assert(group.Wait(), qt.IsNil)
		won := 0
		for _, code := range codes {
			if code == result.OK {
				won++
				continue
			}
			r.c.Check(code, qt.Equals, result.Conflict)
		}
		r.c.Check(won, qt.Equals, 1)
	})
}

func TestLostAnswerIsSettled(t *testing.T) {
	inBubble(t, 1, func(r *rig) {
		r.platform.SetFaults(fakeplatform.Faults{LoseAnswers: 1})
		r.c.Check(r.put(r.boxes[0], 7, ""), qt.Equals, result.OK)
		r.run(3 * time.Second)
		r.c.Check(r.boxes[0].seen, qt.Equals, 7)
	})
}
