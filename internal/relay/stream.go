package relay

import (
	"bufio"
	"errors"
	"io"
	"net/http"

	"github.com/bellgap/bellgap/internal/result"
)

const (
	// eventBuffer is the size of the reader of a stream; events of tens of bytes are usual.
	eventBuffer = 4 << 10
	// maxEvent bounds one event.
	maxEvent = 1 << 20
)

// eventReader reads whole events of a stream.
type eventReader struct {
	lines *bufio.Reader
	event []byte
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(body, eventBuffer)}
}

// next returns the next event with its blank line. The error is io.EOF at the end of a whole stream.
// An event that breaks off is not returned. The slice is valid until the next call.
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

// copyEvents passes a stream on event by event and returns the id of the last event passed on.
func (o *output) copyEvents(wire Wire, resp *http.Response, last string) (string, *result.Error) {
	events := newEventReader(resp.Body)
	rc := http.NewResponseController(o.w)
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			o.writeHead(resp)
			return last, nil
		}
		if err != nil {
			return last, result.Cut(result.StreamCut, err)
		}
		if o.beat != nil {
			o.beat()
		}
		o.writeHead(resp)
		if _, err := o.w.Write(event); err != nil {
			return last, result.New(result.CallerGone, "%v", err)
		}
		if err := rc.Flush(); err != nil {
			return last, result.New(result.CallerGone, "%v", err)
		}
		if id := wire.EventID(event); id != "" {
			last = id
		}
	}
}
