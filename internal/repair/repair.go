// Package repair writes back what the platform has lost, as after a restore from an older copy.
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

// Rate of the repair: a twentieth of the platform's writes.
const (
	every   = time.Second
	atATime = 5
)

// Config configures a Repair.
type Config struct {
	API     objects.API
	Catalog *catalog.Catalog
	// Active reports whether this box is the one that repairs now.
	Active func() bool
	Scope  tally.Scope
}

// Repair is the part that writes back.
type Repair struct {
	cfg  Config
	done chan struct{}
}

// New returns a Repair; its Serve has to run.
func New(cfg Config) *Repair { return &Repair{cfg: cfg, done: make(chan struct{})} }

// Done is closed when Serve has ended.
func (r *Repair) Done() <-chan struct{} { return r.done }

// Serve writes back until ctx ends.
func (r *Repair) Serve(ctx context.Context) error {
	defer part.CloseAtEnd(ctx, r.done)
	tick := time.NewTicker(every)
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
		for _, o := range r.cfg.Catalog.Unstored(atATime) {
			r.write(ctx, o)
		}
	}
}

// write puts one object back unless the platform has a newer generation.
func (r *Repair) write(ctx context.Context, o objects.Object) {
	have, err := r.cfg.API.Get(ctx, o.Kind, o.Name)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return
	}
	if !needed(o, have, errors.Is(err, objects.ErrNotFound)) {
		return
	}
	if o.Deleted {
		err = r.cfg.API.Delete(ctx, o.Kind, o.Name, have.Version)
	} else {
		_, err = r.cfg.API.Put(ctx, o.Kind, o.Name, have.Version, o.Value)
	}
	if err != nil {
		r.cfg.Scope.Counter("repair_failures").Inc(1)
		return
	}
	r.cfg.Scope.Counter("repairs").Inc(1)
	klog.InfoS("written back to the platform", "kind", o.Kind, "name", o.Name)
}

// needed reports whether writing o back changes anything for the better; gone says that the platform has no such object.
func needed(o, have objects.Object, gone bool) bool {
	if gone {
		return !o.Deleted
	}
	if o.Deleted {
		return catalog.GenerationOf(have) <= catalog.GenerationOf(o)
	}
	return catalog.GenerationOf(have) < catalog.GenerationOf(o)
}
