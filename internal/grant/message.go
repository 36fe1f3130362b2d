// Package grant asks the owner of an engine, on whichever box it is, for leave to send one request there.
// The request itself never passes through the owner: until a grant has arrived it provably has not run.
package grant

import (
	"time"

	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// Paths of the protocol.
const (
	pathAcquire = "/peer/acquire"
	pathEnd     = "/peer/end"
)

// Ask is what the owner needs to know of a request.
type Ask struct {
	Engine  string `json:"engine"`
	Ref     string `json:"ref,omitempty"`
	Weights string `json:"weights,omitempty"`
	Urgency int    `json:"urgency"`
	// StartIn is the time until the latest useful start.
	StartIn time.Duration `json:"start_in"`
	// Accept is the longest expected wait with which the owner takes the request in; zero accepts any.
	Accept time.Duration `json:"accept,omitempty"`
	// Near asks the owner to take the request in only if the adapter needs not be brought from the weight store.
	Near bool `json:"near,omitempty"`
	// Pressed says that none of the engines asked before can start the request in time.
	Pressed bool `json:"pressed,omitempty"`
	// Hold is how long the grant may be held; after that the owner counts it as ended.
	Hold time.Duration `json:"hold"`
	// Last says that no other engine will be tried after this one.
	Last   bool `json:"last,omitempty"`
	Prompt int  `json:"prompt,omitempty"`
	Output int  `json:"output,omitempty"`
	// Parts are those of the prompt that other requests may share, in order.
	Parts []owner.Part `json:"parts,omitempty"`
	// Customer is whose request it is.
	Customer string `json:"customer,omitempty"`
	// Rate is what the asker knows of the requests a second that the engine takes.
	Rate *ratelimit.Word `json:"rate,omitempty"`
}

// Request returns the owner's form of an ask.
func (a *Ask) Request(now time.Time) (owner.Request, *result.Error) {
	q := owner.Request{
		Weights: a.Weights, Urgency: a.Urgency, StartBy: now.Add(a.StartIn), Last: a.Last,
		Prompt: a.Prompt, Output: a.Output, Parts: a.Parts, Accept: a.Accept, Near: a.Near, Pressed: a.Pressed,
		Customer: a.Customer, Rate: a.Rate,
	}
	if a.Ref == "" {
		return q, nil
	}
	ref, err := resource.ParseRef(a.Ref)
	if err != nil {
		return q, result.New(result.BadRequest, "%v", err)
	}
	q.Ref = ref
	return q, nil
}

// given answers an Ask that was granted.
type given struct {
	ID      uint64        `json:"id"`
	Stalled time.Duration `json:"stalled,omitempty"`
}

// ended tells how granted requests ended, and whose first tokens have come.
type ended struct {
	Ends []end    `json:"ends"`
	Read []uint64 `json:"read,omitempty"`
	// Rates are what engines said in their answers of the requests a second that they take.
	Rates []engineRate `json:"rates,omitempty"`
}

type engineRate struct {
	Engine string         `json:"engine"`
	Rate   ratelimit.Word `json:"rate"`
}

// headerRate carries what an owner knows of its engine's rate, as JSON, with whatever it answers.
const headerRate = "Bellgap-Engine-Rate"

type end struct {
	ID  uint64    `json:"id"`
	End owner.End `json:"end"`
}

// Grant lets one request run on an engine until End is called. Call it once.
type Grant struct {
	// Stalled is how long the request waited for its adapter.
	Stalled time.Duration
	// Read tells the owner that the first token of the answer has come.
	Read func()
	End  func(owner.End)
}
