package engine

import "strings"

// LoadOutcome is what is known of a load whose order got no answer.
type LoadOutcome int

// The outcomes of a load.
const (
	// OutcomeOpen means that the engine may still execute the order, or that no report shows yet whether it has done so.
	OutcomeOpen LoadOutcome = iota
	// OutcomePending means that the engine reports the adapter as loading.
	OutcomePending
	// OutcomeDone means that the engine reports the adapter as loaded.
	OutcomeDone
	// OutcomeVoid means that the engine does not hold the adapter and can no longer execute the order.
	OutcomeVoid
)

// UnknownAdaptersError is returned for an order that was not sent, because the engine reports adapters that the owner does not track.
type UnknownAdaptersError struct {
	// Adapters lists the adapter versions that the owner must adopt before its next order.
	Adapters []string
	// Unanswered is set if an earlier attempt of this order got no answer, so that the engine may still execute it.
	Unanswered bool
}

// Error implements error.
func (e *UnknownAdaptersError) Error() string {
	return "engine: order not sent: the engine holds adapters that its owner does not track: " + strings.Join(e.Adapters, ", ")
}
