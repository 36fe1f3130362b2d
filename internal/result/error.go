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

// Header names that carry a result beside the HTTP status.
const (
	HeaderCode    = "Bellgap-Code"
	HeaderRan     = "Bellgap-Ran"
	HeaderEngine  = "Bellgap-Engine"
	HeaderBox     = "Bellgap-Box"
	HeaderRequest = "X-Request-Id"
	// HeaderRate is how many requests a second an engine or a service takes from all boxes together; bellgap's own interface uses it.
	HeaderRate = "Bellgap-Rate-Limit"
	// HeaderLeaving is "1" where an engine or a service leaves: it gets no new work.
	HeaderLeaving = "Bellgap-Leaving"
)

// Error is a result other than OK.
type Error struct {
	Code Code
	// Detail adds to the text of the code; it holds no secrets.
	Detail string
	// RetryAfter replaces the default of the code when positive.
	RetryAfter time.Duration
	// Elsewhere lists addresses that would take the request, best first.
	Elsewhere []string
	// BrokenOff says that the far side broke the connection off on which it had the request. It is known to the box alone that sent it.
	BrokenOff bool
}

// New returns an Error with a formatted detail.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Cut returns the Error of a call whose connection ended with err. What ended for want of time, or by this side, was not broken off.
func Cut(c Code, err error) *Error {
	e := New(c, "%v", err)
	e.BrokenOff = !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
	return e
}

// After returns what a caller may be told when earlier tries may have run: that the request did not run holds for the last one only then.
func (e *Error) After(mayHaveRun bool) *Error {
	if !mayHaveRun || e.Code.Info().Ran != RanNo {
		return e
	}
	return New(AnswerLost, "an earlier try may have run; then %s", e.Error())
}

// Error implements error.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%d %s", e.Code, e.Code)
	}
	return fmt.Sprintf("%d %s: %s", e.Code, e.Code, e.Detail)
}

// Wait returns when to ask again, or zero.
func (e *Error) Wait() time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return e.Code.Info().RetryAfter
}

// From returns the Error inside err, or one with the fallback code.
func From(err error, fallback Code) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: fallback, Detail: err.Error()}
}

// Is reports whether err ended with code c.
func Is(err error, c Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == c
}

// Body is the JSON form of an Error; its shape is the one OpenAI clients read.
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
		RetryMS: e.Wait().Milliseconds(), Elsewhere: e.Elsewhere, RequestID: requestID,
	}}
}

// Write sends e as the whole answer.
func (e *Error) Write(w http.ResponseWriter, requestID string) {
	if d := e.Wait(); d > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10))
	}
	e.WriteStatus(w, e.Code.Info().Status, requestID)
}

// ReadJSON reads a message of so many bytes at most. It answers with BadRequest and returns false if that is not possible.
func ReadJSON(w http.ResponseWriter, r *http.Request, most int64, into any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, most)).Decode(into)
	if err != nil {
		New(BadRequest, "%v", err).Write(w, "")
	}
	return err == nil
}

// WriteStatus sends e as the whole answer with a status of its own; when to come back is left to the caller.
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
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(e.Body(requestID))
}

// Decode reads the Error out of an answer's body; ok is false if it holds none.
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
