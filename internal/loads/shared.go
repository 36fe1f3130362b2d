package loads

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/result"
)

// FallbackShare is the part of a site's budget that boxes without a scheduler use together.
const FallbackShare = 0.5

// HoldLimit is how long a remote permit may be held before it counts as given back.
const HoldLimit = 2 * time.Minute

// Remote asks the scheduler on another box. It is an interface at the network boundary.
type Remote interface {
	// AcquirePermit waits for a permit.
	AcquirePermit(ctx context.Context, address string, n Need) (Permit, error)
}

// SharedConfig configures a Shared.
type SharedConfig struct {
	// Scheduler returns the peer address of the box that schedules this site's loads, and whether that is this box.
	Scheduler func() (address string, self bool)
	// Own is the scheduler of this box, used by the whole site while this box schedules.
	Own *Local
	// Fallback gives out this box's fixed share while the scheduler cannot be reached.
	Fallback *Local
	Remote   Remote
	Scope    tally.Scope
}

// Shared gives permits out of one budget for a whole site: one box at a time schedules, and a box that cannot reach it uses a fixed share.
type Shared struct {
	cfg SharedConfig
}

var _ Source = (*Shared)(nil)

// NewShared returns a Shared.
func NewShared(cfg SharedConfig) *Shared { return &Shared{cfg: cfg} }

// Acquire implements Source.
func (s *Shared) Acquire(ctx context.Context, n Need) (Permit, error) {
	address, self := s.cfg.Scheduler()
	if self {
		return s.cfg.Own.Acquire(ctx, n)
	}
	if address != "" {
		permit, err := s.cfg.Remote.AcquirePermit(ctx, address, n)
		if err == nil {
			return permit, nil
		}
		// A scheduler that has nothing to give in time is no reason to go round it.
		if ctx.Err() != nil || result.Is(err, result.LoadBudget) {
			return nil, errors.Join(ctx.Err(), err)
		}
	}
	s.cfg.Scope.Counter("load_permits_fallback").Inc(1)
	return s.cfg.Fallback.Acquire(ctx, n)
}
