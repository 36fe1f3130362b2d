// Package engine contains the client of model engines, and the messages that it exchanges with them: requests, orders and reports.
package engine

import (
	"errors"
	"net/netip"
	"time"

	"github.com/bellgap/bellgap/internal/notice"
)

// Action is the change that an order requests.
type Action string

// Actions of an order.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
	// ActionLoadBase loads the base model given in the order, on engines that start without a base model.
	ActionLoadBase Action = "load_base"
)

// Target identifies the engine that receives a call.
type Target struct {
	Name    string
	Address netip.AddrPort
}

// Order requests an engine to load or unload a model. Engines that check orders refuse an order with an epoch older than the
// newest one that they have received.
type Order struct {
	Epoch   uint64 `json:"epoch"`
	Action  Action `json:"action"`
	Model   string `json:"model"`
	Weights string `json:"weights,omitempty"`
	// IsAllowed reports whether the order may be sent now. If it is nil, the order may always be sent. A sender must call it before
	// each attempt and each poll for completion, as the process may have been suspended in between.
	IsAllowed func() bool `json:"-"`
	// MaxAdapters is the maximum number of adapters that the engine can hold, or zero if unknown. If other owners have sent
	// orders to the engine in the meantime and filled it with adapters, an order to load an adapter is not sent.
	MaxAdapters int `json:"-"`
	// Tracked returns the adapter versions that occupy slots according to the owner. It is nil unless the owner uses every slot of
	// the engine. A sender then reads a report before the first order of a session and after each conflict. It sends no order while
	// the report lists an adapter that is not tracked, and no load while more adapters are tracked than MaxAdapters.
	Tracked func() map[string]bool `json:"-"`
	// Session identifies the scheduler that sends the order. It is not zero if Tracked is set. A new owner has a new session, also
	// on the same box.
	Session uint64 `json:"-"`
	// Repeated is true if the order repeats a load without an answer, so that the engine may already be loading the adapter.
	Repeated bool `json:"-"`
}

// MaySend reports whether the order may be sent now.
func (o *Order) MaySend() bool { return o.IsAllowed == nil || o.IsAllowed() }

// ErrAuthorityLost is returned for an order whose sender has lost the right to send it. The engine may have accepted an earlier
// attempt.
var ErrAuthorityLost = errors.New("engine: authority to send the order lost")

// ErrConnectionLost is returned if the connection was closed or refused after the engine may have received the order. The engine
// process may have ended.
var ErrConnectionLost = errors.New("engine: connection lost during an order")

// Report is the state that an engine reports about itself. It lags behind the actual state.
type Report struct {
	// Incarnation identifies one run of the engine process. It changes when the engine restarts, which removes all loaded adapters.
	Incarnation string `json:"incarnation"`
	// Epoch is the newest epoch that the engine has received in an order.
	Epoch uint64 `json:"epoch"`
	// Loaded lists the loaded adapter versions.
	Loaded []string `json:"loaded"`
	// Pending lists those of the loaded adapter versions whose load is still running. It is empty if the engine does not report them.
	Pending []string `json:"pending,omitempty"`
	// BaseModels lists the loaded base models. It is nil if the engine always has its own base model loaded.
	BaseModels []string `json:"base_models,omitempty"`
	// LocalBaseModels lists the base models of which the engine has a local copy, so that it need not fetch them from the weight
	// store.
	LocalBaseModels []string `json:"at_hand,omitempty"`
	// Running and Waiting are numbers of sequences.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Steps is the number of engine steps since the start. StepSequences is the total number of sequences in these steps.
	Steps         int64 `json:"steps"`
	StepSequences int64 `json:"filled"`
	// Notice is the state that the engine announces in the response headers, even if it refuses to send the report. An unset
	// field means that the engine announced nothing about it.
	Notice notice.HeaderNotices `json:"-"`
	// TakenAt is the time at which the report was correct, on the engine's clock.
	TakenAt time.Time `json:"taken_at"`
}

// Refusal is the body of a response by which an engine refuses a request or an order without executing it.
type Refusal struct {
	Error struct {
		Type    string `json:"type"`
		Message string `json:"message"`
	} `json:"error"`
}

// Types of a Refusal.
const (
	RefusalNotLoaded  = "adapter_not_loaded"
	RefusalStaleEpoch = "stale_epoch"
	RefusalLoadFailed = "load_failed"
	// RefusalNotFound means that the engine does not have the model or adapter of the order, or that another engine now has the
	// address.
	RefusalNotFound = "not_there"
	RefusalNoSlot   = "no_slot"
	// RefusalBusy means that the engine currently rejects requests. The response headers may state for how long.
	RefusalBusy       = "busy"
	RefusalBadRequest = "bad_request"
)
