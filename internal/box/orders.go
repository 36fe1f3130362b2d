package box

import (
	"context"
	"errors"

	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/quarantine"
)

// quarantinedOrders keeps an adapter whose load ends engines from ending more: each of its requests, at whichever box owns the next engine, would order
// the load anew, and twelve requests ended 33 engines.
type quarantinedOrders struct {
	owner.Engines
	quarantine *quarantine.Client
}

var _ owner.Engines = quarantinedOrders{}

// SendOrder implements owner.Engines.
func (q quarantinedOrders) SendOrder(ctx context.Context, to engine.Target, o engine.Order) error {
	if o.Action != engine.ActionLoad {
		return q.Engines.SendOrder(ctx, to, o)
	}
	// A version is another load: one that is named later is tried anew.
	load := quarantine.Identity{Method: string(o.Action), Path: o.Model}.Suspect()
	if rerr := q.quarantine.Refusal(load.Fingerprint); rerr != nil {
		return &engine.OrderRefusedError{Type: engine.RefusalLoadFailed, Message: rerr.Error()}
	}
	err := q.Engines.SendOrder(ctx, to, o)
	switch {
	case err == nil:
		q.quarantine.RecordSuccess(load.Fingerprint)
	case errors.Is(err, engine.ErrConnectionLost):
		q.quarantine.RecordBrokenConnection(ctx, load, quarantine.Endpoint{Name: to.Name, Address: to.Address})
	}
	return err
}
