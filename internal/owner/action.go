package owner

import (
	"time"

	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// Ticket is a request submitted to a State.
type Ticket struct {
	ID      uint64
	Ref     resource.Ref
	Weights string
	// Urgency orders tickets. Higher values start first.
	Urgency int
	Arrived time.Time
	// StartBy is the latest time at which starting the request is still useful.
	StartBy time.Time
	// Last is true if the caller tries no other engine after this engine.
	Last bool
	// Prompt is the number of prompt tokens. Output is the caller's estimate of the number of generated tokens. Zero means unknown.
	Prompt int
	Output int
	// Parts lists the shareable parts of the prompt in order.
	Parts []PromptPart
	// MaxWait is the longest acceptable expected wait for the first token. If the expected wait is longer, the ticket is refused so
	// that the caller tries its next engine. Zero accepts any wait.
	MaxWait time.Duration
	// LocalOnly requests a refusal if the adapter would have to be loaded from the weight store. It requires a positive MaxWait.
	LocalOnly bool
	// OthersTooSlow is true if none of the engines tried before can start the request in time.
	OthersTooSlow bool
	// Spare is true if the ticket may only take room that no other ticket needs now. It is refused if it cannot start at once, or after the load
	// of its adapter.
	Spare bool
	// GapObjective is the longest pause between two events that keeps the stream in time, zero if there is no objective.
	GapObjective time.Duration
	// Customer sent the request.
	Customer string
	// Rate is the engine's rate limit as the submitting box knows it.
	Rate *ratelimit.Report
	// SharedRate is true if this box has no authority over the engine now, so that another box may also count requests against the
	// engine's rate limit.
	SharedRate bool
	// countedInRate is true if the ticket has been counted against the engine's rate limit.
	countedInRate bool
}

// Action is an instruction that the caller of State must carry out. Only this package implements it.
type Action interface{ action() }

// Start starts a ticket on the engine.
type Start struct {
	Ticket Ticket
	// Stalled is the time that the ticket waited for the load of its adapter.
	Stalled time.Duration
}

// Refuse rejects a ticket that has not started.
type Refuse struct {
	Ticket Ticket
	Err    *result.Error
	// BeforeLoad is true if the ticket is refused because its adapter cannot be loaded in time.
	BeforeLoad bool
}

// RequestPermit requests a permit for one load from the weight store's budget. State may use the granted permit for another
// adapter that has become more urgent by then.
type RequestPermit struct {
	Ref     resource.Ref
	Urgency int
	StartBy time.Time
	Waiters int
}

// Load orders the engine to load an adapter. It uses one granted permit.
type Load struct {
	Ref     resource.Ref
	Weights string
	// Repeated is true if the load repeats one without an answer, on an engine of which all slots are used.
	Repeated bool
}

// LoadBase orders the engine to load its base model.
type LoadBase struct{}

// Unload orders the engine to unload an idle adapter.
type Unload struct {
	Ref resource.Ref
}

// ReturnPermit returns an unused permit.
type ReturnPermit struct{}

func (Start) action()         {}
func (Refuse) action()        {}
func (RequestPermit) action() {}
func (Load) action()          {}
func (LoadBase) action()      {}
func (Unload) action()        {}
func (ReturnPermit) action()  {}
