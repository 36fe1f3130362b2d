// Package body reads the bodies of requests within bounds of size and time.
package body

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/bellgap/bellgap/internal/result"
)

// Limits bound a body.
type Limits struct {
	// Bytes is the largest size.
	Bytes int64
	// Time is the longest time for it to arrive.
	Time time.Duration
}

// Read reads a request's whole body.
func Read(w http.ResponseWriter, r *http.Request, l Limits) ([]byte, *result.Error) {
	if r.ContentLength > l.Bytes {
		return nil, result.New(result.BodyTooLarge, "%d bytes, at most %d", r.ContentLength, l.Bytes)
	}
	rc := http.NewResponseController(w)
	// A connection without deadlines still has the bound on the header.
	_ = rc.SetReadDeadline(time.Now().Add(l.Time))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, l.Bytes))
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return b, nil
	case errors.As(err, &tooLarge):
		return nil, result.New(result.BodyTooLarge, "at most %d bytes", l.Bytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, result.New(result.SlowBody, "at most %s", l.Time)
	default:
		return nil, result.New(result.BadRequest, "body: %v", err)
	}
}
