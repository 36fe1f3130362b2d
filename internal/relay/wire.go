package relay

import (
	"net/http"
	"time"

	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/owner"
)

// Head is what the headers of a request say, whatever their names.
type Head struct {
	// ID names this attempt of the caller; endpoints return it with the answer.
	ID string
	// Deadline is how long the caller waits; zero if it does not say.
	Deadline time.Duration
	// Model is the base model, Adapter the adapter of it; both empty for plain services.
	Model   string
	Adapter string
	// Prompt and Output count the tokens to read and, at most, to write; OutputHint is the caller's guess.
	Prompt     int
	Output     int
	OutputHint int
	// Counted says that Prompt and Output were named.
	Counted bool
	// Key is the customer's key, empty if there is none or more than one.
	Key string
	// Parts are those of the prompt, in order; other requests may share all but the last.
	Parts []owner.Part
	// LastEvent is the id of the last event that the caller has, if it takes up a broken stream.
	LastEvent string
}

// expectedOutput returns how many tokens the answer will probably have.
func (h *Head) expectedOutput() int {
	if h.OutputHint > 0 {
		return min(h.OutputHint, h.Output)
	}
	return h.Output
}

// Attempt is what one endpoint is told beside what the caller sent.
type Attempt struct {
	// Instance is the id of the endpoint; any other one at its address refuses the request.
	Instance string
	// Deadline is what is left of the request's time.
	Deadline time.Duration
	// Version, if not zero, is the version that the adapter must have.
	Version int64
	// Priority is the rank of the request, 0 first.
	Priority int
	// LastEvent takes a stream up after the event with this id.
	LastEvent string
	// Keyed says that callers name customers by keys: the key stays here, and Customer is the name that the endpoint gets, empty for
	// requests on open routes.
	Keyed    bool
	Customer string
}

// AnswerHead is what the headers of an endpoint's answer say.
type AnswerHead struct {
	// ID is that of the request that the answer belongs to.
	ID string
	// Sealed says that the answer carries the endpoint's signature.
	Sealed bool
	// NotRun says that the endpoint did not run the request and never will.
	NotRun bool
	// Elsewhere says that the request was for another instance, model or version than the one here.
	Elsewhere bool
	// Instance is the id of the endpoint that answered, empty if it does not say.
	Instance string
	// Notice is what the endpoint says of itself.
	Notice notice.Word
}

// Wire names the headers of callers and endpoints. It is an interface at the network boundary.
type Wire interface {
	// ReadHead reads a caller's headers.
	ReadHead(h http.Header) (Head, error)
	// WriteAttempt sets the headers for an endpoint and removes those that callers may not set.
	WriteAttempt(h http.Header, a Attempt)
	// ReadAnswer reads the headers of an endpoint's answer.
	ReadAnswer(status int, h http.Header) AnswerHead
	// WriteRetryAfter tells a caller when to come back.
	WriteRetryAfter(h http.Header, d time.Duration)
	// EventID returns the id that a stream's event carries.
	EventID(event []byte) string
}
