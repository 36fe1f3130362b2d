package owner

import (
	"time"

	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/loads"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// verdict is the decision on a submitted ticket. A nil err means that the ticket may start.
type verdict struct {
	stalled time.Duration
	err     *result.Error
}

// event is an input of the Runner's loop.
type event interface{ event() }

type submitted struct {
	ticket Ticket
	reply  chan verdict
}

type canceled struct{ id uint64 }

type ended struct {
	id  uint64
	end End
}

type promptRead struct{ id uint64 }

type rateHeard struct{ word ratelimit.Word }

type permitGiven struct {
	ref    resource.Ref
	permit loads.Permit
}

type permitDenied struct{ ref resource.Ref }

type loadEnded struct {
	ref resource.Ref
	err error
}

type unloadEnded struct {
	ref resource.Ref
	err error
}

type baseLoadEnded struct{ err error }

type reported struct{ report engine.Report }

// notListening is posted when a report request fails because no process listens at the engine's address.
type notListening struct{}

// settled is posted when the previous owner has no requests in flight anymore.
type settled struct{}

type stopping struct{}

type closing struct{ closed bool }

// leftHeard is posted when the engine has announced that it is leaving.
type leftHeard struct{}

func (submitted) event()     {}
func (canceled) event()      {}
func (ended) event()         {}
func (promptRead) event()    {}
func (rateHeard) event()     {}
func (permitGiven) event()   {}
func (permitDenied) event()  {}
func (loadEnded) event()     {}
func (unloadEnded) event()   {}
func (baseLoadEnded) event() {}
func (reported) event()      {}
func (notListening) event()  {}
func (settled) event()       {}
func (stopping) event()      {}
func (closing) event()       {}
func (leftHeard) event()     {}
