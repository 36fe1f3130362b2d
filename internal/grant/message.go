// Package grant lets a box ask the owner of an engine, which may be another box, for permission to send one request to the
// engine. The request itself does not pass through the owner, so it cannot have run before the grant has arrived.
package grant

import (
	"time"

	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// HTTP paths of the protocol between boxes.
const (
	pathAcquire = "/peer/acquire"
	pathEnd     = "/peer/end"
)

// Request is the message by which a box requests a grant. It describes the request that is to run on the engine.
type Request struct {
	Engine  string `json:"engine"`
	Ref     string `json:"ref,omitempty"`
	Weights string `json:"weights,omitempty"`
	Urgency int    `json:"urgency"`
	// StartIn is the time until the latest start at which the response is still useful.
	StartIn time.Duration `json:"start_in"`
	// MaxWait is the longest expected wait with which the owner may queue the request. Zero means no limit.
	MaxWait time.Duration `json:"accept,omitempty"`
	// LocalOnly is true if the owner may queue the request only if the adapter does not have to be fetched from the weight store.
	LocalOnly bool `json:"near,omitempty"`
	// OthersTooSlow is true if no engine that was tried before can start the request in time.
	OthersTooSlow bool `json:"pressed,omitempty"`
	// Hold is the longest time that the grant is valid. After that time the owner treats the request as broken off.
	Hold time.Duration `json:"hold"`
	// Last is true if no other engine will be tried after this one.
	Last   bool `json:"last,omitempty"`
	Prompt int  `json:"prompt,omitempty"`
	Output int  `json:"output,omitempty"`
	// Parts are the parts of the prompt that other requests may share, in order.
	Parts []owner.PromptPart `json:"parts,omitempty"`
	// Spare is true if the owner may grant the request only with room that no other request needs now. Owners of earlier builds ignore it.
	Spare bool `json:"spare,omitempty"`
	// GapObjective is the longest pause between two events that keeps the stream in time, zero if there is no objective.
	GapObjective time.Duration `json:"gap_objective,omitempty"`
	// Customer sent the request.
	Customer string `json:"customer,omitempty"`
	// Rate is the engine's rate limit as the requesting box knows it.
	Rate *ratelimit.Report `json:"rate,omitempty"`
}

// OwnerRequest converts the message to a request for the owner. It fails if Ref is invalid.
func (r *Request) OwnerRequest(now time.Time) (owner.Request, *result.Error) {
	q := owner.Request{
		Weights: r.Weights, Urgency: r.Urgency, StartBy: now.Add(r.StartIn), Last: r.Last,
		Prompt: r.Prompt, Output: r.Output, Parts: r.Parts, MaxWait: r.MaxWait, LocalOnly: r.LocalOnly, OthersTooSlow: r.OthersTooSlow,
		Customer: r.Customer, Rate: r.Rate, GapObjective: r.GapObjective, Spare: r.Spare,
	}
	if r.Ref == "" {
		return q, nil
	}
	ref, err := resource.ParseRef(r.Ref)
	if err != nil {
		return q, result.New(result.BadRequest, "%v", err)
	}
	q.Ref = ref
	return q, nil
}

// acquireAnswer is the response to a Request that was granted.
type acquireAnswer struct {
	ID      uint64        `json:"id"`
	Stalled time.Duration `json:"stalled,omitempty"`
}

// updateMessage reports to an owner the progress of granted requests and the rate limits of engines.
type updateMessage struct {
	Ends []grantEnd `json:"ends"`
	// FirstTokens are the IDs of the grants whose requests have produced their first token.
	FirstTokens []uint64 `json:"read,omitempty"`
	// Rates are the rate limits that engines reported with their responses.
	Rates []engineRate `json:"rates,omitempty"`
}

// engineRate is the rate limit of one engine.
type engineRate struct {
	Engine string           `json:"engine"`
	Rate   ratelimit.Report `json:"rate"`
}

// headerRate is the response header that contains the latest known rate limit of the owner's engine as JSON. It is set on grants
// and refusals.
const headerRate = "Bellgap-Engine-Rate"

// headerLoad is the response header that contains the load of the owner's engine as JSON, if the engine is scarce. It is set on grants
// and refusals.
const headerLoad = "Bellgap-Engine-Load"

// grantEnd reports how the request with the grant ID ended.
type grantEnd struct {
	ID  uint64    `json:"id"`
	End owner.End `json:"end"`
	// Gap is the longest pause between two events of the ended stream, or between its last event and its cut, zero if there was none.
	Gap time.Duration `json:"gap,omitempty"`
}

// Grant permits one request on an engine until End is called. End must be called exactly once.
type Grant struct {
	// Stalled is the time that the request waited for its adapter.
	Stalled time.Duration
	// ReportFirstToken reports to the owner that the first token of the response has arrived.
	ReportFirstToken func()
	// RecordGap sets the longest pause between two events of the stream, which End reports to the owner. It must not be called
	// concurrently with End.
	RecordGap func(time.Duration)
	// End reports to the owner how the request ended.
	End func(owner.End)
}
