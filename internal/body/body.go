// Package body reads request bodies with limits on size and time.
package body

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/bellgap/bellgap/internal/result"
)

// Limits are the limits on a request body.
type Limits struct {
	// Bytes is the maximum size.
	Bytes int64
	// Time is the maximum time for the whole body to arrive.
	Time time.Duration
}

// Read reads the whole body of a request, or returns an error if it exceeds the limits.
func Read(w http.ResponseWriter, r *http.Request, l Limits) ([]byte, *result.Error) {
	if r.ContentLength > l.Bytes {
		return nil, result.New(result.BodyTooLarge, "%d bytes, at most %d", r.ContentLength, l.Bytes)
	}
	rc := http.NewResponseController(w)
	// If the connection does not support deadlines, only the server's time limit on the request header applies.
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
		return nil, result.New(result.BadRequest, "reading the request body failed: %v", err)
	}
}
