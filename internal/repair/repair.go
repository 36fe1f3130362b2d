// Package repair writes objects back to the platform that it has lost, for example after a restore from an older copy.
package repair

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/part"
)

// Rate limit of the repair: it takes a twentieth of the platform's write capacity.
const (
	interval  = time.Second
	batchSize = 5
)

// Config configures a Repair.
type Config struct {
	API     objects.API
	Catalog *catalog.Catalog
	// Active reports whether this box is the one that repairs now.
	Active func() bool
	Scope  tally.Scope
}

// Repair writes lost objects back to the platform.
type Repair struct {
	cfg  Config
	done chan struct{}
}

// New returns a Repair. The caller has to run its Serve.
func New(cfg Config) *Repair { return &Repair{cfg: cfg, done: make(chan struct{})} }

// Done returns a channel that is closed when Serve has ended.
func (r *Repair) Done() <-chan struct{} { return r.done }

// Serve writes lost objects back until ctx ends.
func (r *Repair) Serve(ctx context.Context) error {
	defer part.CloseIfEnded(ctx, r.done)
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !r.cfg.Active() {
			continue
		}
		for _, o := range r.cfg.Catalog.LostByStore(batchSize) {
			r.write(ctx, o)
		}
	}
}

// write writes one object back unless the platform has a newer generation.
func (r *Repair) write(ctx context.Context, o objects.Object) {
	stored, err := r.cfg.API.Get(ctx, o.Kind, o.Name)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return
	}
	if !shouldWrite(o, stored, errors.Is(err, objects.ErrNotFound)) {
		return
	}
	if o.Deleted {
		err = r.cfg.API.Delete(ctx, o.Kind, o.Name, stored.Version)
	} else {
		_, err = r.cfg.API.Put(ctx, o.Kind, o.Name, stored.Version, o.Value)
	}
	if err != nil {
		r.cfg.Scope.Counter("repair_failures").Inc(1)
		return
	}
	r.cfg.Scope.Counter("repairs").Inc(1)
	klog.InfoS("lost object written back to the platform", "kind", o.Kind, "name", o.Name)
}

// shouldWrite reports whether the platform has lost the state of o: it lacks an object that exists, or still has one that was
// deleted, or has an older generation. The flag missing is set if the platform has no such object.
func shouldWrite(o, stored objects.Object, missing bool) bool {
	if missing {
		return !o.Deleted
	}
	if o.Deleted {
		return catalog.GenerationOf(stored) <= catalog.GenerationOf(o)
	}
	return catalog.GenerationOf(stored) < catalog.GenerationOf(o)
}
