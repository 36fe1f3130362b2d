package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/slowpeer"
)

const (
	// eventBuffer is the buffer size of a stream reader in bytes. Most events have tens of bytes.
	eventBuffer = 4 << 10
	// maxEvent bounds the bytes of one event.
	maxEvent = 1 << 20
	// maxKeptEvent bounds the bytes that a reader keeps allocated between two events.
	maxKeptEvent = 32 << 10
)

// eventReader reads a stream event by event.
type eventReader struct {
	lines *bufio.Reader
	event []byte
	// held counts the bytes of the event.
	held *slowpeer.Buffer
}

func newEventReader(body io.Reader, held *slowpeer.Buffer) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(body, eventBuffer), held: held}
}

// release forgets the last event.
func (e *eventReader) release() {
	e.held.Release()
	if e.event = e.event[:0]; cap(e.event) > maxKeptEvent {
		e.event = nil
	}
}

// next returns the next event, including the blank line that ends it. The slice is valid until the next call. The
// error is io.EOF at the end of a complete stream. With any error, the returned bytes are not a complete event.
func (e *eventReader) next() ([]byte, error) {
	e.release()
	for {
		line, err := e.lines.ReadSlice('\n')
		if holdErr := e.held.Grow(len(line)); holdErr != nil {
			return nil, holdErr
		}
		e.event = append(e.event, line...)
		if len(e.event) > maxEvent {
			return nil, bufio.ErrTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.event) > 0 {
				return e.event, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if isBlank(line) {
			if len(e.event) == len(line) {
				e.takeBlankLines()
			}
			return e.event, nil
		}
	}
}

// takeBlankLines adds the blank lines that have already arrived to a blank line. Passing on each of them costs as much as an event.
func (e *eventReader) takeBlankLines() {
	for e.lines.Buffered() > 0 {
		// Neither call fails, as a byte is buffered.
		next, _ := e.lines.Peek(1)
		if next[0] != '\n' {
			return
		}
		_, _ = e.lines.ReadByte()
		e.event = append(e.event, '\n')
	}
}

// isBlank reports whether a line, or an event, consists of line ends only.
func isBlank(line []byte) bool { return len(bytes.TrimLeft(line, "\r\n")) == 0 }

// isCutByCrash reports whether an answer that has ended without an error was cut short. If an endpoint is killed, its connections end as they
// do after an answer without length or chunks.
func (o *output) isCutByCrash(resp *http.Response) bool {
	return httpx.EndsWithConnection(resp) && o.hasCrashed != nil && o.hasCrashed()
}

// copyEvents forwards a stream event by event and returns the id of the last forwarded event.
func (o *output) copyEvents(wire Wire, resp *http.Response, lastID string) (string, *result.Error) {
	events := newEventReader(resp.Body, o.w.NewBuffer())
	defer events.release()
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
			o.isEventTooLong = errors.Is(err, bufio.ErrTooLong) || errors.Is(err, slowpeer.ErrTooMuchHeld)
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
