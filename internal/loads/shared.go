package loads

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/result"
)

// FallbackShare is the fraction of a site's budget that all boxes without a reachable scheduler use together.
const FallbackShare = 0.5

// MaxPermitHold is how long a box may hold a permit of a remote scheduler. After that the permit counts as released.
const MaxPermitHold = 2 * time.Minute

// Remote requests permits from the scheduler on another box. It is an interface at the network boundary.
type Remote interface {
	// AcquirePermit waits until the box at address grants a permit or ctx ends.
	AcquirePermit(ctx context.Context, address string, req Request) (Permit, error)
}

// SharedConfig configures a Shared.
type SharedConfig struct {
	// Scheduler returns the peer address of the box that schedules this site's loads, and whether that is this box.
	Scheduler func() (address string, self bool)
	// OwnScheduler is the scheduler of this box. The whole site uses it while this box is the scheduler.
	OwnScheduler *Local
	// Fallback grants permits from this box's fixed share of the budget while the scheduler is unreachable.
	Fallback *Local
	Remote   Remote
	Scope    tally.Scope
}

// Shared grants permits from one budget for a whole site. One box at a time is the scheduler; a box that cannot reach it uses a
// fixed share of the budget.
type Shared struct {
	cfg SharedConfig
}

var _ Source = (*Shared)(nil)

// NewShared returns a Shared.
func NewShared(cfg SharedConfig) *Shared { return &Shared{cfg: cfg} }

// Acquire implements Source.
func (s *Shared) Acquire(ctx context.Context, req Request) (Permit, error) {
	address, self := s.cfg.Scheduler()
	if self {
		return s.cfg.OwnScheduler.Acquire(ctx, req)
	}
	if address != "" {
		permit, err := s.cfg.Remote.AcquirePermit(ctx, address, req)
		if err == nil {
			return permit, nil
		}
		// Do not fall back if the scheduler answered that no permit is available in time, since that would bypass its limit.
		if ctx.Err() != nil || result.Is(err, result.LoadBudget) {
			return nil, errors.Join(ctx.Err(), err)
		}
	}
	s.cfg.Scope.Counter("load_permits_fallback").Inc(1)
	return s.cfg.Fallback.Acquire(ctx, req)
}
