package relay

import (
	"net/http"
	"time"

	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/owner"
)

// Head holds the values of a request's headers, independent of the names of the headers.
type Head struct {
	// ID identifies this attempt of the caller. Endpoints return it with the answer.
	ID string
	// Deadline is how long the caller waits, zero if the caller sets no limit.
	Deadline time.Duration
	// Model is the base model, Adapter the adapter of that model. Both are empty for plain services.
	Model   string
	Adapter string
	// Prompt is the number of tokens in the prompt, Output the maximum number of tokens in the answer. OutputHint is the
	// caller's estimate of the tokens in the answer.
	Prompt     int
	Output     int
	OutputHint int
	// HasTokenCounts is set if the caller sent Prompt and Output.
	HasTokenCounts bool
	// Key is the key of the customer, empty if the request has none or more than one.
	Key string
	// Parts lists the parts of the prompt in order. Other requests may share all parts except the last one.
	Parts []owner.PromptPart
	// SharedParts lists the IDs of these parts without the last one.
	SharedParts []string
	// LastEvent is the id of the last event that the caller received, if it resumes a broken stream.
	LastEvent string
	// Resumes is the ID of the attempt that brought the first event of the stream that the caller resumes, empty if the caller names none.
	Resumes string
}

// expectedOutput returns the expected number of tokens in the answer.
func (h *Head) expectedOutput() int {
	if h.OutputHint > 0 {
		return min(h.OutputHint, h.Output)
	}
	return h.Output
}

// Attempt holds what is sent to one endpoint in addition to the caller's request.
type Attempt struct {
	// Instance is the id of the endpoint. Any other endpoint at its address refuses the request.
	Instance string
	// Deadline is the time that the request has left.
	Deadline time.Duration
	// Version is the version that the adapter must have, zero for any version.
	Version int64
	// Priority is the rank of the request, 0 first.
	Priority int
	// LastEvent, if set, is the id of the event after which the stream is resumed.
	LastEvent string
	// Keyed is set if callers identify customers by keys. The key is then not forwarded. Instead, the endpoint receives
	// the name of the customer in Customer, which is empty for requests on open routes.
	Keyed    bool
	Customer string
}

// AnswerHead holds the values of the headers of an endpoint's answer.
type AnswerHead struct {
	// ID is the id of the request that the answer belongs to.
	ID string
	// Signed is set if the answer carries the endpoint's signature.
	Signed bool
	// NotRun is set if the endpoint did not run the request and never will.
	NotRun bool
	// Misdirected is set if the request was for another instance, model or version than that of the endpoint.
	Misdirected bool
	// Instance is the id of the endpoint that answered, empty if the answer does not contain it.
	Instance string
	// Notice is the notice that the endpoint sent about itself.
	Notice notice.HeaderNotices
}

// Wire reads and writes the headers of callers and endpoints. It is the interface at the network boundary.
type Wire interface {
	// ReadHead reads a caller's headers.
	ReadHead(h http.Header) (Head, error)
	// WriteAttempt sets the headers for an endpoint and removes headers that callers must not set.
	WriteAttempt(h http.Header, a Attempt)
	// ID returns the id of the caller's attempt that the headers of a request, or of the answer to it, carry.
	ID(h http.Header) string
	// ReadAnswer reads the headers of an endpoint's answer.
	ReadAnswer(status int, h http.Header) AnswerHead
	// WriteRetryAfter sets the header that states when the caller may retry.
	WriteRetryAfter(h http.Header, d time.Duration)
	// EventID returns the id of a stream's event, empty if the event has none.
	EventID(event []byte) string
}
