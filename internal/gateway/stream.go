package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/slowpeer"
)

// copyAnswer copies a validated answer to the caller. It writes nothing before the first event of a stream or the whole answer is
// validated. An error before that is sent as the complete answer. A later error ends the stream with an error event.
func (g *Gateway) copyAnswer(w http.ResponseWriter, a *engine.Answer) *result.Error {
	if caller, ok := w.(*slowpeer.Caller); ok {
		a.Held = caller.NewBuffer()
	}
	defer func() { a.Held.Release() }()
	if !a.IsStream {
		b, err := a.ReadAll()
		if err != nil {
			rerr := g.endedResult(result.From(err, result.StreamCut))
			rerr.Write(w, "")
			return rerr
		}
		w.Header().Set("Content-Type", "application/json")
		if _, err := w.Write(b); err != nil {
			return writeError(err)
		}
		return nil
	}
	first, err := a.NextEvent()
	if err != nil {
		rerr := g.endedResult(result.From(err, result.StreamCut))
		rerr.Write(w, "")
		return rerr
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	return g.copyEvents(w, a, first)
}

// copyEvents copies the events of a stream to the caller, beginning with event.
func (g *Gateway) copyEvents(w http.ResponseWriter, a *engine.Answer, event []byte) *result.Error {
	rc := http.NewResponseController(w)
	for {
		if _, err := w.Write(event); err != nil {
			return writeError(err)
		}
		if err := rc.Flush(); err != nil {
			return writeError(err)
		}
		var err error
		event, err = a.NextEvent()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			rerr := g.endedResult(cutError(w, result.From(err, result.StreamCut)))
			writeErrorEvent(w, rerr)
			return rerr
		}
	}
}

// writeError returns the result of a write to the caller that failed.
func writeError(err error) *result.Error {
	if errors.Is(err, slowpeer.ErrCallerNotReading) {
		return result.New(result.CallerNotReading, "%v", err)
	}
	return result.New(result.CallerGone, "%v", err)
}

// cutError returns the result of an answer that broke off with rerr. Endpoints cut answers that are left unread, so a cut after such
// a pause of the caller is not the endpoint's failure.
func cutError(w http.ResponseWriter, rerr *result.Error) *result.Error {
	if caller, ok := w.(*slowpeer.Caller); ok && caller.WasUnread() {
		return &result.Error{Code: result.CallerNotReading, Detail: rerr.Detail, BrokenOff: rerr.BrokenOff}
	}
	return rerr
}

// writeErrorEvent ends a stream with an event that contains the error. No end marker follows.
func writeErrorEvent(w http.ResponseWriter, rerr *result.Error) {
	b, err := json.Marshal(rerr.Body(""))
	if err != nil {
		return
	}
	// A write error means that the caller has disconnected.
	_, _ = w.Write([]byte("data: " + string(b) + "\n\n"))
}
