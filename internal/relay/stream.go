package relay

import (
	"bufio"
	"errors"
	"io"
	"net/http"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/result"
)

const (
	// eventBuffer is the buffer size of a stream reader in bytes. Most events have tens of bytes.
	eventBuffer = 4 << 10
	// maxEvent bounds the bytes of one event.
	maxEvent = 1 << 20
)

// eventReader reads a stream event by event.
type eventReader struct {
	lines *bufio.Reader
	event []byte
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(body, eventBuffer)}
}

// next returns the next event, including the blank line that ends it. The slice is valid until the next call. The
// error is io.EOF at the end of a complete stream. With any error, the returned bytes are not a complete event.
func (e *eventReader) next() ([]byte, error) {
	e.event = e.event[:0]
	for {
		line, err := e.lines.ReadSlice('\n')
		e.event = append(e.event, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(e.event) < maxEvent {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.event) > 0 {
				return e.event, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(e.event) > maxEvent {
			return nil, bufio.ErrTooLong
		}
		if isBlank(line) {
			return e.event, nil
		}
	}
}

func isBlank(line []byte) bool {
	return len(line) == 1 || (len(line) == 2 && line[0] == '\r')
}

// isCutByCrash reports whether an answer that has ended without an error was cut short. If an endpoint is killed, its connections end as they
// do after an answer without length or chunks.
func (o *output) isCutByCrash(resp *http.Response) bool {
	return httpx.EndsWithConnection(resp) && o.hasCrashed != nil && o.hasCrashed()
}

// copyEvents forwards a stream event by event and returns the id of the last forwarded event.
func (o *output) copyEvents(wire Wire, resp *http.Response, lastID string) (string, *result.Error) {
	events := newEventReader(resp.Body)
	isEmpty := lastID == ""
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) && ((isEmpty && httpx.EndsWithConnection(resp)) || o.isCutByCrash(resp)) {
			return lastID, o.cutError(io.ErrUnexpectedEOF)
		}
		if errors.Is(err, io.EOF) {
			o.writeHead(resp)
			return lastID, nil
		}
		if err != nil {
			return lastID, o.cutError(err)
		}
		isEmpty = false
		// A blank line alone is no event, and shows no progress of the stream.
		if o.onEvent != nil && !isBlank(event) {
			o.onEvent()
		}
		o.writeHead(resp)
		if _, err := o.w.Write(event); err != nil {
			return lastID, writeError(err)
		}
		if err := o.w.FlushError(); err != nil {
			return lastID, writeError(err)
		}
		if o.onForwarded != nil {
			o.onForwarded()
		}
		if id := wire.EventID(event); id != "" {
			lastID = id
		}
	}
}
