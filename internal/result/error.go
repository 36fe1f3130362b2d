package result

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Names of the headers that carry details of a result in addition to the HTTP status.
const (
	HeaderCode    = "Bellgap-Code"
	HeaderRan     = "Bellgap-Ran"
	HeaderEngine  = "Bellgap-Engine"
	HeaderBox     = "Bellgap-Box"
	HeaderRequest = "X-Request-Id"
	// HeaderRate carries the rate, in requests per second, that an engine or a service accepts from all boxes together. It is used in
	// bellgap's own engine interface.
	HeaderRate = "Bellgap-Rate-Limit"
	// HeaderLeaving is "1" if an engine or a service is leaving. It then gets no new work.
	HeaderLeaving = "Bellgap-Leaving"
	// HeaderBrittle is the number of requests that an engine or a service may reject in a second for want of room. If it rejects more, it
	// falls over.
	HeaderBrittle = "Bellgap-Brittle"
	// HeaderCall identifies one call of a box to an engine or a service. They return it with the answer, so that a late answer to another
	// call can be told. An answer without it counts as the answer to the call in flight.
	HeaderCall = "Bellgap-Call-Id"
)

// Error is a result other than OK.
type Error struct {
	Code Code
	// Detail supplements the text of the code. It is sent to callers and must not contain secrets.
	Detail string
	// RetryAfter overrides the code's default if it is positive.
	RetryAfter time.Duration
	// Elsewhere lists the addresses that would accept the request, best first.
	Elsewhere []string
	// BrokenOff is set if the remote side closed the connection over which it had received the request. It is set only on the box that
	// sent the request, and is not sent to callers.
	BrokenOff bool
}

// New returns an Error with a formatted detail.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// NewConnError returns the Error of a call whose connection failed with err. BrokenOff stays unset if the call timed out or this side canceled it.
func NewConnError(c Code, err error) *Error {
	e := New(c, "%v", err)
	e.BrokenOff = !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
	return e
}

// AdjustForRetries returns the Error to send to the caller of a request that was tried several times. If an earlier try may have run, a result that
// says the request did not run is true of the last try only, so AdjustForRetries replaces it by AnswerLost.
func (e *Error) AdjustForRetries(mayHaveRun bool) *Error {
	if !mayHaveRun || e.Code.Info().Ran != RanNo {
		return e
	}
	return New(AnswerLost, "an earlier attempt may have run; the last attempt failed: %s", e.Error())
}

// Error implements error.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%d %s", e.Code, e.Code)
	}
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code, e.Detail)
}

// RetryDelay returns the delay after which a retry makes sense, or zero if the caller should not retry.
func (e *Error) RetryDelay() time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return e.Code.Info().RetryAfter
}

// From returns the Error that err wraps, or a new Error with the fallback code if err wraps none.
func From(err error, fallback Code) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: fallback, Detail: err.Error()}
}

// Is reports whether err wraps an Error with code c.
func Is(err error, c Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == c
}

// Body is the JSON form of an Error. It has the error format that OpenAI clients expect.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the inner object of Body.
type BodyError struct {
	Message   string   `json:"message"`
	Type      string   `json:"type"`
	Code      Code     `json:"code"`
	Ran       string   `json:"ran"`
	RetryMS   int64    `json:"retry_after_ms,omitempty"`
	Elsewhere []string `json:"elsewhere,omitempty"`
	RequestID string   `json:"request_id,omitempty"`
}

// Body returns the JSON form of e.
func (e *Error) Body(requestID string) Body {
	i := e.Code.Info()
	msg := i.Text
	if e.Detail != "" {
		msg += ": " + e.Detail
	}
	return Body{BodyError{
		Message: msg, Type: i.Name, Code: e.Code, Ran: i.Ran.String(),
		RetryMS: e.RetryDelay().Milliseconds(), Elsewhere: e.Elsewhere, RequestID: requestID,
	}}
}

// Write sends e as the complete response, with the HTTP status of its code and a Retry-After header if a retry makes sense.
func (e *Error) Write(w http.ResponseWriter, requestID string) {
	if d := e.RetryDelay(); d > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
	}
	e.WriteStatus(w, e.Code.Info().Status, requestID)
}

// ReadJSON decodes a request body of at most maxBytes bytes into target. If that fails, it responds with BadRequest and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, maxBytes int64, target any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBytes)).Decode(target)
	if err != nil {
		New(BadRequest, "%v", err).Write(w, "")
	}
	return err == nil
}

// WriteStatus sends e as the complete response with the given HTTP status. It sets no Retry-After header; its caller may do so.
func (e *Error) WriteStatus(w http.ResponseWriter, status int, requestID string) {
	i := e.Code.Info()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderCode, strconv.Itoa(int(e.Code)))
	h.Set(HeaderRan, i.Ran.String())
	if requestID != "" {
		h.Set(HeaderRequest, requestID)
	}
	w.WriteHeader(status)
	// Encoding fails if the client has disconnected; there is no other way to report the error.
	_ = json.NewEncoder(w).Encode(e.Body(requestID))
}

// Decode extracts the Error from a response body. ok is false if the body contains none.
func Decode(body []byte) (e *Error, ok bool) {
	var b Body
	// A body that is not JSON leaves the code zero.
	_ = json.Unmarshal(body, &b)
	if b.Error.Code == 0 {
		return nil, false
	}
	return &Error{
		Code: b.Error.Code, Detail: b.Error.Message,
		RetryAfter: time.Duration(b.Error.RetryMS) * time.Millisecond, Elsewhere: b.Error.Elsewhere,
	}, true
}
