package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/slowpeer"
)

// Limits on an answer and markers in its event stream.
const (
	maxAnswerBytes = 16 << 20
	maxEventBytes  = 1 << 20
	dataPrefix     = "data: "
	doneEvent      = "[DONE]"
)

// Answer is an engine's answer to one call. Its model name and run ID are verified, in a stream for each event with data.
type Answer struct {
	// IsStream is set if the answer is a stream of server-sent events.
	IsStream bool
	// Held counts the bytes that are kept of the answer. Nil does not limit them in sum.
	Held     *slowpeer.Buffer
	resp     *http.Response
	reader   *bufio.Reader
	model    string
	runID    string
	complete bool
}

// answerIdentity holds the fields of an answer or event that identify the run and the model.
type answerIdentity struct {
	ID    string `json:"id"`
	Model string `json:"model"`
}

// NewAnswer returns the answer in resp. Reading from it fails unless the answer is for ref and runID.
func NewAnswer(resp *http.Response, ref resource.Ref, runID string) *Answer {
	return &Answer{
		IsStream: strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"),
		resp:     resp, reader: bufio.NewReader(resp.Body), model: ref.String(), runID: runID,
	}
}

// heldBody counts what is read from a body as held.
type heldBody struct {
	io.Reader
	held *slowpeer.Buffer
}

// Read implements io.Reader.
func (b heldBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if holdErr := b.held.Grow(n); holdErr != nil {
		return n, holdErr
	}
	return n, err
}

// Close releases the connection and the bytes that are held. Closing before the end of the answer cancels the run at the engine.
func (a *Answer) Close() {
	a.Held.Release()
	if a.complete {
		// Reading the rest of the body lets the transport reuse the connection.
		httpx.Drain(a.resp.Body)
		return
	}
	// The error is irrelevant, as the answer is discarded.
	_ = a.resp.Body.Close()
}

// ReadAll reads and returns the complete answer. It must not be used for a stream.
func (a *Answer) ReadAll() ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(heldBody{a.resp.Body, a.Held}, maxAnswerBytes+1))
	if err != nil {
		return nil, result.NewConnError(result.StreamCut, err)
	}
	if len(b) > maxAnswerBytes {
		return nil, result.New(result.StreamCut, "answer too large: read %d bytes", len(b))
	}
	a.complete = true
	return b, a.checkIdentity(b)
}

// NextEvent returns the next event of a stream, including its terminating blank line. After the end event it returns io.EOF.
// If the stream ends before the end event, it returns a StreamCut error.
func (a *Answer) NextEvent() ([]byte, error) {
	if a.complete {
		return nil, io.EOF
	}
	// The last event has been written.
	a.Held.Release()
	var event []byte
	for {
		line, err := a.reader.ReadSlice('\n')
		if err != nil {
			return nil, result.NewConnError(result.StreamCut, err)
		}
		if len(event)+len(line) > maxEventBytes {
			return nil, result.New(result.StreamCut, "event larger than %d bytes", maxEventBytes)
		}
		if err := a.Held.Grow(len(line)); err != nil {
			return nil, result.New(result.StreamCut, "%v", err)
		}
		event = append(event, line...)
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			break
		}
	}
	data, ok := bytes.CutPrefix(event, []byte(dataPrefix))
	if !ok {
		return event, nil
	}
	data = bytes.TrimSpace(data)
	if string(data) == doneEvent {
		a.complete = true
		return event, nil
	}
	return event, a.checkIdentity(data)
}

// checkIdentity returns a WrongAnswer error unless the model and the run ID in the JSON text b are those of the call.
func (a *Answer) checkIdentity(b []byte) error {
	var id answerIdentity
	if err := json.Unmarshal(b, &id); err != nil {
		return result.New(result.WrongAnswer, "answer is not valid JSON: %v", err)
	}
	if id.Model != a.model || !strings.HasSuffix(id.ID, a.runID) {
		return result.New(result.WrongAnswer, "requested model %s with run ID %s, got model %s with ID %s", a.model, a.runID, id.Model, id.ID)
	}
	return nil
}
