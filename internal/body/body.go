// Package body reads request bodies with limits on size, time and memory.
package body

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/bellgap/bellgap/internal/intake"
	"github.com/bellgap/bellgap/internal/result"
)

// firstBuffer is the size in bytes of the first buffer for a body. Most bodies fit.
const firstBuffer = 16 << 10

// errTooLong is the error of a body that goes on behind its length.
var errTooLong = errors.New("body: more bytes than announced")

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
	size := r.ContentLength
	if size < 0 {
		size = l.Bytes
	}
	b, err := readAll(r.Context(), http.MaxBytesReader(w, r.Body, l.Bytes), size, r.ContentLength >= 0)
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return b, nil
	case errors.As(err, &tooLarge):
		return nil, result.New(result.BodyTooLarge, "at most %d bytes", l.Bytes)
	case errors.Is(err, intake.ErrNoRoom):
		return nil, result.New(result.TooMuchHeld, "%d bytes were read", len(b))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, result.New(result.SlowBody, "at most %s", l.Time)
	default:
		return nil, result.New(result.BadRequest, "reading the request body failed: %v", err)
	}
}

// readAll reads a body of at most size bytes. Each buffer is reserved before it is allocated. The second one has the whole size if that is
// known, so that no more than the first one is copied. On an error it returns what has been read.
func readAll(ctx context.Context, body io.Reader, size int64, isKnown bool) ([]byte, error) {
	holding := intake.HoldingOf(ctx)
	reserved := int64(0)
	var b []byte
	for {
		if len(b) == cap(b) && int64(len(b)) == size {
			return b, expectEnd(body)
		}
		if len(b) == cap(b) {
			next := min(size, max(firstBuffer, 2*int64(cap(b))))
			if isKnown && len(b) > 0 {
				next = size
			}
			// The buffer before is garbage that may stay for a while.
			reserved += next
			if err := holding.Reserve(reserved); err != nil {
				return b, err
			}
			b = append(make([]byte, 0, next), b...)
		}
		n, err := body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return b, err
		}
	}
}

// expectEnd reads on behind the last byte that a body may have.
func expectEnd(body io.Reader) error {
	for {
		var further [1]byte
		n, err := body.Read(further[:])
		switch {
		case errors.Is(err, io.EOF) && n == 0:
			return nil
		case err != nil:
			return err
		case n > 0:
			return errTooLong
		}
	}
}
