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

// box holds the components of a box that store configuration.
type box struct {
	catalog  *catalog.Catalog
	feed     *feed.Feed
	operator http.Handler
	// lastUrgency is the latest urgency that the box has had.
	lastUrgency int
}

// harness runs boxes with one platform in virtual time. The first box does the repairs.
type harness struct {
	c        *qt.C
	ctx      context.Context
	group    errgroup.Group
	platform *fakeplatform.Store
	boxes    []*box
}

func (r *harness) addBox() *box {
	isFirst := len(r.boxes) == 0
	b := &box{catalog: catalog.New()}
	peerCatalog := b.catalog
	if !isFirst {
		peerCatalog = r.boxes[0].catalog
	}
	b.feed = feed.New(feed.Config{
		Catalog: b.catalog, Scope: tally.NoopScope, PickSource: func() feed.Source { return r.platform },
		LostObjects: func(context.Context) ([]objects.Object, error) {
			return peerCatalog.LostByStore(100), nil
		},
	})
	b.operator = operator.New(operator.Config{API: r.platform, Catalog: b.catalog, Scope: tally.NoopScope, Metrics: http.NotFoundHandler()}).Handler()
	repairer := repair.New(repair.Config{API: r.platform, Catalog: b.catalog, Scope: tally.NoopScope, Active: func() bool { return isFirst }})
	r.group.Go(func() error { return b.feed.Serve(r.ctx) })
	r.group.Go(func() error { return repairer.Serve(r.ctx) })
	r.boxes = append(r.boxes, b)
	<-b.feed.Ready()
	return b
}

// putPriority sends a change of a priority's urgency to a box and returns the result code.
func (r *harness) putPriority(b *box, urgency int, query string) result.Code {
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

// advance lets time pass and checks that the urgency never decreases on any box.
func (r *harness) advance(d time.Duration) {
	for ; d > 0; d -= 100 * time.Millisecond {
		time.Sleep(100 * time.Millisecond)
		for i, b := range r.boxes {
			urgency := 0
			if p, ok := b.catalog.Priority("gate"); ok {
				urgency = p.Urgency
			}
			r.c.Assert(urgency >= b.lastUrgency, qt.IsTrue, qt.Commentf("box %d fell back to urgency %d after %d", i, urgency, b.lastUrgency))
			b.lastUrgency = urgency
		}
	}
}

func runInVirtualTime(t *testing.T, boxes int, test func(r *harness)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &harness{c: qt.New(t), ctx: ctx, platform: fakeplatform.New()}
		for range boxes {
			r.addBox()
		}
		test(r)
		cancel()
		r.c.Check(r.group.Wait(), qt.ErrorIs, context.Canceled)
	})
}

// TestChangesSurvivePlatformRestore restores the platform from an older copy, with and without a new era. It guards against changes
// that are undone by the restore.
func TestChangesSurvivePlatformRestore(t *testing.T) {
	for _, test := range []struct {
		name    string
		restore func(*fakeplatform.Store, objects.Changes)
	}{
		{"revisions-go-back", (*fakeplatform.Store).Restore},
		{"new-era", (*fakeplatform.Store).RestoreInNewEra},
	} {
		t.Run(test.name, func(t *testing.T) { checkRestore(t, test.restore) })
	}
}

func checkRestore(t *testing.T, restore func(*fakeplatform.Store, objects.Changes)) {
	runInVirtualTime(t, 3, func(r *harness) {
		r.c.Assert(r.putPriority(r.boxes[0], 1, ""), qt.Equals, result.OK)
		_, err := r.platform.Put(r.ctx, "Priority", "old", 0, []byte(`{"kind":"Priority","name":"old","spec":{"urgency":1}}`))
		r.c.Assert(err, qt.IsNil)
		r.advance(3 * time.Second)
		backup := r.platform.Snapshot()
		for u := 2; u <= 5; u++ {
			r.c.Assert(r.putPriority(r.boxes[u%3], u, ""), qt.Equals, result.OK)
			r.advance(2 * time.Second)
		}
		old, err := r.platform.Get(r.ctx, "Priority", "old")
		r.c.Assert(err, qt.IsNil)
		r.c.Assert(r.platform.Delete(r.ctx, "Priority", "old", old.Version), qt.IsNil)
		r.advance(3 * time.Second)
		restore(r.platform, backup)
		r.advance(100 * time.Millisecond)
		fresh := r.addBox()
		p, ok := fresh.catalog.Priority("gate")
		r.c.Assert(ok, qt.IsTrue)
		r.c.Check(p.Urgency, qt.Equals, 5, qt.Commentf("box started after the restore"))
		r.advance(20 * time.Second)
		for i, b := range r.boxes {
			_, ok := b.catalog.Priority("old")
			r.c.Check(ok, qt.IsFalse, qt.Commentf("deleted object is back on box %d", i))
		}
		o, err := r.platform.Get(r.ctx, "Priority", "gate")
		r.c.Assert(err, qt.IsNil)
		r.c.Check(string(o.Value), qt.Contains, `"urgency":5`)
		_, err = r.platform.Get(r.ctx, "Priority", "old")
		r.c.Check(err, qt.ErrorIs, objects.ErrNotFound)
		// A change that is accepted after the restore takes effect on every box within seconds.
		r.c.Assert(r.putPriority(r.boxes[1], 6, ""), qt.Equals, result.OK)
		r.advance(6 * time.Second)
		for i, b := range r.boxes {
			p, _ := b.catalog.Priority("gate")
			r.c.Check(p.Urgency, qt.Equals, 6, qt.Commentf("box %d", i))
		}
	})
}

func TestAcceptedChangeReachesBoxesWithinSeconds(t *testing.T) {
	runInVirtualTime(t, 5, func(r *harness) {
		for u := 1; u <= 20; u++ {
			r.c.Assert(r.putPriority(r.boxes[u%5], u, ""), qt.Equals, result.OK)
			start := time.Now()
			for _, b := range r.boxes {
				for p, ok := b.catalog.Priority("gate"); !ok || p.Urgency != u; p, ok = b.catalog.Priority("gate") {
					time.Sleep(10 * time.Millisecond)
					r.c.Assert(time.Since(start) < 6*time.Second, qt.IsTrue, qt.Commentf("change %d", u))
				}
			}
		}
	})
}

func TestOneOfTwoConcurrentConditionalWritesSucceeds(t *testing.T) {
	runInVirtualTime(t, 2, func(r *harness) {
		r.c.Assert(r.putPriority(r.boxes[0], 1, "?expect=0"), qt.Equals, result.OK)
		o, err := r.platform.Get(r.ctx, "Priority", "gate")
		r.c.Assert(err, qt.IsNil)
		expect := fmt.Sprintf("?expect=%d", o.Version)
		r.platform.SetFaults(fakeplatform.Faults{Delay: 50 * time.Millisecond})
		codes := make([]result.Code, 2)
		var group errgroup.Group
		for i := range codes {
			group.Go(func() error {
				codes[i] = r.putPriority(r.boxes[i], 10+i, expect)
				return nil
			})
		}
		r.c.Assert(group.Wait(), qt.IsNil)
		accepted := 0
		for _, code := range codes {
			if code == result.OK {
				accepted++
				continue
			}
			r.c.Check(code, qt.Equals, result.Conflict)
		}
		r.c.Check(accepted, qt.Equals, 1)
	})
}

func TestWriteWithLostAnswerSucceeds(t *testing.T) {
	runInVirtualTime(t, 1, func(r *harness) {
		r.platform.SetFaults(fakeplatform.Faults{DropResponses: 1})
		r.c.Check(r.putPriority(r.boxes[0], 7, ""), qt.Equals, result.OK)
		r.advance(3 * time.Second)
		r.c.Check(r.boxes[0].lastUrgency, qt.Equals, 7)
	})
}
