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
)

// Bounds of an answer.
const (
	maxAnswer  = 16 << 20
	maxEvent   = 1 << 20
	dataPrefix = "data: "
	doneEvent  = "[DONE]"
)

// Answer is the engine's answer to one call. Every part of it is checked before it is returned.
type Answer struct {
	// Stream says that the answer comes as server-sent events.
	Stream bool
	resp   *http.Response
	lines  *bufio.Reader
	model  string
	runID  string
	whole  bool
}

// identity is the part of every answer that says what it belongs to.
type identity struct {
	ID    string `json:"id"`
	Model string `json:"model"`
}

// NewAnswer returns the answer in resp, which has to be for ref and runID.
func NewAnswer(resp *http.Response, ref resource.Ref, runID string) *Answer {
	return &Answer{
		Stream: strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"),
		resp:   resp, lines: bufio.NewReader(resp.Body), model: ref.String(), runID: runID,
	}
}

// Close frees the connection; closing before the end cancels the engine's stream.
func (a *Answer) Close() {
	if a.whole {
		// What follows the end mark is read, so that the connection can be used again.
		httpx.Drain(a.resp.Body)
		return
	}
	// Its error changes nothing: the answer is over either way.
	_ = a.resp.Body.Close()
}

// Whole returns an answer that is not a stream.
func (a *Answer) Whole() ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(a.resp.Body, maxAnswer+1))
	if err != nil {
		return nil, result.Cut(result.StreamCut, err)
	}
	if len(b) > maxAnswer {
		return nil, result.New(result.StreamCut, "after %d bytes", len(b))
	}
	a.whole = true
	return b, a.check(b)
}

// Next returns the next event of a stream with its blank line, or io.EOF after the end mark.
// An answer that breaks off before the end mark is a StreamCut.
func (a *Answer) Next() ([]byte, error) {
	if a.whole {
		return nil, io.EOF
	}
	var event []byte
	for {
		line, err := a.lines.ReadSlice('\n')
		if err != nil {
			return nil, result.Cut(result.StreamCut, err)
		}
		if len(event)+len(line) > maxEvent {
			return nil, result.New(result.StreamCut, "an event of more than %d bytes", maxEvent)
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
		a.whole = true
		return event, nil
	}
	return event, a.check(data)
}

// check compares what the answer says it belongs to with what was asked for.
func (a *Answer) check(b []byte) error {
	var id identity
	if err := json.Unmarshal(b, &id); err != nil {
		return result.New(result.WrongAnswer, "not JSON: %v", err)
	}
	if id.Model != a.model || !strings.HasSuffix(id.ID, a.runID) {
		return result.New(result.WrongAnswer, "asked %s as %s, got %s as %s", a.model, a.runID, id.Model, id.ID)
	}
	return nil
}
