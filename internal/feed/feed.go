// Package feed keeps a catalog up to date with the changes from the coordinator of the cell or from the platform.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/objects"

	"github.com/bellgap/bellgap/internal/part"
)

// Timings of a Feed. watchTimeout is how long a watch call waits for changes. pollInterval is the pause after a successful call
// and the initial backoff. maxBackoff bounds the backoff after failures; the actual pause is a random 50 to 150 percent of the backoff.
const (
	watchTimeout = 20 * time.Second
	pollInterval = 500 * time.Millisecond
	maxBackoff   = 5 * time.Second
)

// Source is where a Feed reads objects and their changes: the platform or another box.
type Source interface {
	// List returns one page of the objects of the given kinds. The page token after is empty for the first page.
	List(ctx context.Context, kinds []string, after string) (objects.Changes, error)
	// Watch returns the changes of the given kinds after from. If there are none yet, it waits for them, at most for wait.
	Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error)
	// IsAuthoritative reports whether a list older than the catalog means that the platform was restored from a backup. It is false
	// for another box, which may only lag behind.
	IsAuthoritative() bool
}

var errStaleList = errors.New("feed: list of the other box is older than the catalog of this box")

// Config configures a Feed.
type Config struct {
	Catalog *catalog.Catalog
	// PickSource returns the source for the next call.
	PickSource func() Source
	// LostObjects returns the objects that other boxes hold and that the platform has lost. They are added to the catalog after the
	// first list. It may be nil in tests.
	LostObjects func(ctx context.Context) ([]objects.Object, error)
	// Scope receives the counters of calls and failures.
	Scope tally.Scope
}

// Feed lists and watches a Source and applies the changes to a catalog.
type Feed struct {
	cfg        Config
	done       chan struct{}
	ready      chan struct{}
	closeReady sync.Once
}

// New returns a Feed. The caller must run Serve.
func New(cfg Config) *Feed {
	return &Feed{cfg: cfg, done: make(chan struct{}), ready: make(chan struct{})}
}

// Done returns a channel that is closed when Serve has ended.
func (f *Feed) Done() <-chan struct{} { return f.done }

// Ready returns a channel that is closed once the catalog holds a full list.
func (f *Feed) Ready() <-chan struct{} { return f.ready }

// IsReady reports whether the catalog holds a full list.
func (f *Feed) IsReady() bool {
	select {
	case <-f.ready:
		return true
	default:
		return false
	}
}

// Serve lists and watches until ctx ends.
func (f *Feed) Serve(ctx context.Context) error {
	defer part.CloseIfEnded(ctx, f.done)
	backoff := pollInterval
	for ctx.Err() == nil {
		pause := pollInterval
		if err := f.poll(ctx); err != nil && ctx.Err() == nil {
			f.cfg.Scope.Counter("feed_failures").Inc(1)
			klog.V(1).InfoS("feed", "err", err)
			backoff = min(2*backoff, maxBackoff)
			pause = backoff/2 + rand.N(backoff)
		} else {
			backoff = pollInterval
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// poll makes one update: it lists until a full list has been received and watches from then on.
func (f *Feed) poll(ctx context.Context) error {
	src := f.cfg.PickSource()
	if !f.IsReady() {
		return f.list(ctx, src)
	}
	f.cfg.Scope.Counter("feed_watches").Inc(1)
	changes, err := src.Watch(ctx, catalog.WatchedKinds(), f.cfg.Catalog.Revision(), watchTimeout)
	if errors.Is(err, objects.ErrGone) {
		return f.list(ctx, src)
	}
	if err != nil {
		return err
	}
	f.cfg.Catalog.Apply(changes)
	return nil
}

// mergeLostObjects merges the objects that the platform has lost into the catalog before this box serves for the first time. If
// the coordinator does not answer, the box starts without them.
func (f *Feed) mergeLostObjects(ctx context.Context) {
	if f.cfg.LostObjects == nil || f.IsReady() {
		return
	}
	lost, err := f.cfg.LostObjects(ctx)
	if err != nil {
		f.cfg.Scope.Counter("feed_lost_failures").Inc(1)
		klog.InfoS("no other box returned the objects that the platform has lost", "err", err)
		return
	}
	f.cfg.Catalog.ApplyLost(lost)
}

func (f *Feed) list(ctx context.Context, src Source) error {
	f.cfg.Scope.Counter("feed_lists").Inc(1)
	var list *catalog.Listing
	after := ""
	for {
		page, err := src.List(ctx, catalog.WatchedKinds(), after)
		if err != nil {
			return err
		}
		if list == nil {
			if page.Revision < f.cfg.Catalog.Revision() && !src.IsAuthoritative() {
				return errStaleList
			}
			if list = f.cfg.Catalog.BeginList(page.Revision); list.Stale {
				f.cfg.Scope.Counter("feed_behind").Inc(1)
				klog.InfoS("list is older than the catalog of this box; no object is reverted")
			}
		}
		list.ApplyPage(page.Objects)
		if after = page.Next; after == "" {
			break
		}
	}
	list.End()
	f.mergeLostObjects(ctx)
	f.closeReady.Do(func() { close(f.ready) })
	return nil
}
