package owner

import (
	"time"

	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// Ticket is a request that waits for the engine.
type Ticket struct {
	ID      uint64
	Ref     resource.Ref
	Weights string
	// Urgency orders tickets, higher first.
	Urgency int
	Arrived time.Time
	// StartBy is the latest useful start.
	StartBy time.Time
	// Last says that no other engine will be tried after this one.
	Last bool
	// Prompt and Output are its tokens to read and, by the caller's guess, to write; zero if not known.
	Prompt int
	Output int
	// Parts are those of its prompt, in order.
	Parts []Part
	// Accept, if positive, is the longest expected wait for its first token with which it is taken in; beyond, it is sent on.
	Accept time.Duration
	// Near takes it in only if its adapter needs not be brought from the weight store.
	Near bool
	// Pressed says that no engine asked before can start it in time.
	Pressed bool
	// Customer is whose request it is, Rate what the asker knows of the engine's rate.
	Customer string
	Rate     *ratelimit.Word
	// Lone says that this box has no authority over the engine now: another one may count its requests.
	Lone bool
	// rated says that the ticket has been taken out of the engine's rate.
	rated bool
}

// Action is what the caller of State has to do. It is sealed.
type Action interface{ action() }

// Start lets a ticket run.
type Start struct {
	Ticket Ticket
	// Stalled is how long the ticket waited for its adapter to be loaded.
	Stalled time.Duration
}

// Refuse ends a ticket that has not run.
type Refuse struct {
	Ticket Ticket
	Err    *result.Error
}

// AskPermit asks for one load from the weight store's budget. The permit may be used for another adapter that is more urgent when it comes.
type AskPermit struct {
	Ref     resource.Ref
	Urgency int
	StartBy time.Time
	Waiters int
}

// Load orders the engine to load an adapter; a permit is held for it.
type Load struct {
	Ref     resource.Ref
	Weights string
}

// LoadBase orders the engine to load its base model.
type LoadBase struct{}

// Unload orders the engine to drop an idle adapter.
type Unload struct {
	Ref resource.Ref
}

// ReturnPermit gives back a permit that is not needed.
type ReturnPermit struct{}

func (Start) action()        {}
func (Refuse) action()       {}
func (AskPermit) action()    {}
func (Load) action()         {}
func (LoadBase) action()     {}
func (Unload) action()       {}
func (ReturnPermit) action() {}
