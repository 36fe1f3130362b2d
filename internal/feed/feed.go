// Package feed keeps a catalog up to date from the coordinator of the cell, or from the platform.
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

// Timings of a Feed.
const (
	watchWait  = 20 * time.Second
	minPause   = 500 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Source gives changes: the platform or another box.
type Source interface {
	List(ctx context.Context, kinds []string, after string) (objects.Changes, error)
	Watch(ctx context.Context, kinds []string, from objects.Position, wait time.Duration) (objects.Changes, error)
	// Authoritative reports whether a list that is behind means that the platform was restored; a box may just be late.
	Authoritative() bool
}

var errBehind = errors.New("feed: the other box is behind this one")

// Config configures a Feed.
type Config struct {
	Catalog *catalog.Catalog
	// Pick returns the source for the next call.
	Pick func() Source
	// Lost returns what other boxes hold and the platform has lost, for the first list; nil in tests that need none.
	Lost func(ctx context.Context) ([]objects.Object, error)
	// Scope counts calls.
	Scope tally.Scope
}

// Feed is the part that watches.
type Feed struct {
	cfg   Config
	done  chan struct{}
	ready chan struct{}
	once  sync.Once
}

// New returns a Feed; its Serve has to run.
func New(cfg Config) *Feed {
	return &Feed{cfg: cfg, done: make(chan struct{}), ready: make(chan struct{})}
}

// Done is closed when Serve has ended.
func (f *Feed) Done() <-chan struct{} { return f.done }

// Ready is closed once the catalog holds a full list.
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

// Serve watches until ctx ends.
func (f *Feed) Serve(ctx context.Context) error {
	defer part.CloseAtEnd(ctx, f.done)
	backoff := minPause
	for ctx.Err() == nil {
		pause := minPause
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.cfg.Scope.Counter("feed_failures").Inc(1)
			klog.V(1).InfoS("feed", "err", err)
			backoff = min(2*backoff, maxBackoff)
			pause = backoff/2 + rand.N(backoff)
		} else {
			backoff = minPause
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// step makes one call: a list until there has been one, then watches.
func (f *Feed) step(ctx context.Context) error {
	src := f.cfg.Pick()
	if !f.IsReady() {
		return f.list(ctx, src)
	}
	f.cfg.Scope.Counter("feed_watches").Inc(1)
	ch, err := src.Watch(ctx, catalog.WatchedKinds(), f.cfg.Catalog.Revision(), watchWait)
	if errors.Is(err, objects.ErrGone) {
		return f.list(ctx, src)
	}
	if err != nil {
		return err
	}
	f.cfg.Catalog.Apply(ch)
	return nil
}

// mergeLost takes in what the platform has lost before this box first serves. A coordinator that does not answer cannot hold it up.
func (f *Feed) mergeLost(ctx context.Context) {
	if f.cfg.Lost == nil || f.IsReady() {
		return
	}
	lost, err := f.cfg.Lost(ctx)
	if err != nil {
		f.cfg.Scope.Counter("feed_lost_failures").Inc(1)
		klog.InfoS("no neighbour could say what the platform has lost", "err", err)
		return
	}
	f.cfg.Catalog.Merge(lost)
}

func (f *Feed) list(ctx context.Context, src Source) error {
	f.cfg.Scope.Counter("feed_lists").Inc(1)
	var list *catalog.Listing
	after := ""
	for {
		ch, err := src.List(ctx, catalog.WatchedKinds(), after)
		if err != nil {
			return err
		}
		if list == nil {
			if ch.Revision < f.cfg.Catalog.Revision() && !src.Authoritative() {
				return errBehind
			}
			if list = f.cfg.Catalog.BeginList(ch.Revision); list.Behind {
				f.cfg.Scope.Counter("feed_behind").Inc(1)
				klog.InfoS("the list is older than what this box knows; nothing is taken back")
			}
		}
		list.Page(ch.Objects)
		if after = ch.Next; after == "" {
			break
		}
	}
	list.End()
	f.mergeLost(ctx)
	f.once.Do(func() { close(f.ready) })
	return nil
}
