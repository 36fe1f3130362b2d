package box

import (
	"context"
	"errors"
	"time"

	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/quarantine"
)

// quarantiningEngines refuses load orders for adapters whose load has crashed engines. Otherwise each request for such an adapter would order the load
// again at the next engine, whichever box owns it: twelve requests crashed 33 engines.
type quarantiningEngines struct {
	owner.Engines
	quarantine *quarantine.Client
}

var (
	_ owner.Engines       = quarantiningEngines{}
	_ owner.LoadOutcomes  = quarantiningEngines{}
	_ owner.OrderTimeouts = quarantiningEngines{}
)

// LoadOutcome implements owner.LoadOutcomes. An outcome is open if the wrapped client cannot tell it.
func (q quarantiningEngines) LoadOutcome(name, model string) engine.LoadOutcome {
	if client, ok := q.Engines.(owner.LoadOutcomes); ok {
		return client.LoadOutcome(name, model)
	}
	return engine.OutcomeOpen
}

// OrderTimeout implements owner.OrderTimeouts. It returns zero if the wrapped client does not adapt the timeout.
func (q quarantiningEngines) OrderTimeout(name string) time.Duration {
	if client, ok := q.Engines.(owner.OrderTimeouts); ok {
		return client.OrderTimeout(name)
	}
	return 0
}

// SendOrder implements owner.Engines.
func (q quarantiningEngines) SendOrder(ctx context.Context, target engine.Target, order engine.Order) error {
	if order.Action != engine.ActionLoad {
		return q.Engines.SendOrder(ctx, target, order)
	}
	// The model name includes the version, so that a load of a later version is not refused.
	suspect := quarantine.Identity{Method: string(order.Action), Path: order.Model}.Suspect()
	if rerr := q.quarantine.Refusal(suspect); rerr != nil {
		return &engine.OrderRefusedError{Type: engine.RefusalLoadFailed, Message: rerr.Error()}
	}
	err := q.Engines.SendOrder(ctx, target, order)
	switch {
	case err == nil:
		q.quarantine.RecordSuccess(suspect.Fingerprint)
	case errors.Is(err, engine.ErrConnectionLost):
		q.quarantine.RecordBrokenConnection(ctx, suspect, quarantine.Endpoint{Name: target.Name, Address: target.Address})
	}
	return err
}
