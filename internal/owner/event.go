package owner

import (
	"time"

	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/loads"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// decision is the reply to a submitted ticket. A nil err means that the ticket may start.
type decision struct {
	stalled time.Duration
	err     *result.Error
}

// event is an input of the Runner's loop.
type event interface{ event() }

type ticketSubmitted struct {
	ticket Ticket
	reply  chan decision
}

type ticketCanceled struct{ id uint64 }

type ticketEnded struct {
	id  uint64
	end End
}

type firstTokenReceived struct{ id uint64 }

// gapReported is posted with the longest pause between two events of a stream, before ticketEnded.
type gapReported struct {
	id      uint64
	longest time.Duration
}

type rateReceived struct{ rate ratelimit.Report }

type permitGranted struct {
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

type reportReceived struct{ report engine.Report }

// connectionRefused is posted when a report request fails because no process listens at the engine's address.
type connectionRefused struct{}

// takeoverFinished is posted when the previous owner has no requests in flight anymore.
type takeoverFinished struct{}

// stopRequested is posted when the engine is being handed over.
type stopRequested struct{}

// boxLeavingChanged is posted when the engine's box starts or stops leaving.
type boxLeavingChanged struct{ leaving bool }

// leaveNoticeReceived is posted when the engine has announced that it is leaving.
type leaveNoticeReceived struct{}

func (ticketSubmitted) event()     {}
func (ticketCanceled) event()      {}
func (ticketEnded) event()         {}
func (firstTokenReceived) event()  {}
func (gapReported) event()         {}
func (rateReceived) event()        {}
func (permitGranted) event()       {}
func (permitDenied) event()        {}
func (loadEnded) event()           {}
func (unloadEnded) event()         {}
func (baseLoadEnded) event()       {}
func (reportReceived) event()      {}
func (connectionRefused) event()   {}
func (takeoverFinished) event()    {}
func (stopRequested) event()       {}
func (boxLeavingChanged) event()   {}
func (leaveNoticeReceived) event() {}
