// Package engine is the client of model engines: requests, orders and reports.
package engine

import (
	"errors"
	"net/netip"
	"time"

	"github.com/bellgap/bellgap/internal/notice"
)

// Action is what an order asks for.
type Action string

// The actions of an order.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
	// ActionLoadBase loads the base model named, on engines that start without one.
	ActionLoadBase Action = "load_base"
)

// Target names the engine that a call is for.
type Target struct {
	Name    string
	Address netip.AddrPort
}

// Order asks an engine to change what it holds. Engines that check orders refuse an epoch older than the newest they have seen.
type Order struct {
	Epoch   uint64 `json:"epoch"`
	Action  Action `json:"action"`
	Model   string `json:"model"`
	Weights string `json:"weights,omitempty"`
	// Allowed says whether the order may be sent now. Whoever sends an order more than once, or asks by it whether it is carried
	// out, asks each time: the process may have stood still in between. Nil allows it.
	Allowed func() bool `json:"-"`
	// Room is how many adapters the engine holds at most, zero if the sender does not say: whoever finds that orders of others came between
	// loads nothing into an engine that they have filled.
	Room int `json:"-"`
}

// MaySend reports whether the order may be sent now.
func (o *Order) MaySend() bool { return o.Allowed == nil || o.Allowed() }

// ErrAuthorityOver ends an order whose sender has lost the right to give it; it may have been taken before.
var ErrAuthorityOver = errors.New("engine: the authority to give the order is over")

// ErrBrokenOff ends an order that the engine had taken and broke off: it may have ended.
var ErrBrokenOff = errors.New("engine: broke an order off")

// Report is what an engine says of itself; it lags.
type Report struct {
	// Incarnation changes when the engine restarts; it then holds no adapter.
	Incarnation string `json:"incarnation"`
	// Epoch is the newest epoch seen in an order.
	Epoch uint64 `json:"epoch"`
	// Loaded lists the models that are loaded.
	Loaded []string `json:"loaded"`
	// BaseModels lists the base models that are loaded; nil if the engine always holds its own.
	BaseModels []string `json:"base_models,omitempty"`
	// AtHand lists the base models of which the engine has a copy, which it needs not bring from the weight store.
	AtHand []string `json:"at_hand,omitempty"`
	// Running and Waiting count sequences.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Steps counts engine steps and Filled the sequences in them, since the start.
	Steps  int64 `json:"steps"`
	Filled int64 `json:"filled"`
	// Notice is what the engine says of itself with the report, also with one that is refused; what it does not say says nothing.
	Notice notice.Word `json:"-"`
	// TakenAt is when the report was true, on the engine's clock.
	TakenAt time.Time `json:"taken_at"`
}

// Refusal is the body of an engine's answer that says it did not run the request.
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
	// RefusalNotThere says that what the order is for is not at the engine, or that the engine is another one by now.
	RefusalNotThere = "not_there"
	RefusalNoSlot   = "no_slot"
	// RefusalBusy says that the engine turns requests away; the head of the answer may say for how long.
	RefusalBusy       = "busy"
	RefusalBadRequest = "bad_request"
)
