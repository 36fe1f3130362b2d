package gateway

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/result"
)

// copyAnswer passes a checked answer on. Nothing is written before the first part has passed its check.
// An error before that is written as the whole answer; later ones end the stream with an error event.
func copyAnswer(w http.ResponseWriter, a *engine.Answer) *result.Error {
	if !a.Stream {
		b, err := a.Whole()
		if err != nil {
			rerr := result.From(err, result.StreamCut)
			rerr.Write(w, "")
			return rerr
		}
		w.Header().Set("Content-Type", "application/json")
		if _, err := w.Write(b); err != nil {
			return result.New(result.CallerGone, "%v", err)
		}
		return nil
	}
	first, err := a.Next()
	if err != nil {
		rerr := result.From(err, result.StreamCut)
		rerr.Write(w, "")
		return rerr
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	return copyEvents(w, a, first)
}

func copyEvents(w http.ResponseWriter, a *engine.Answer, event []byte) *result.Error {
	rc := http.NewResponseController(w)
	for {
		if _, err := w.Write(event); err != nil {
			return result.New(result.CallerGone, "%v", err)
		}
		// A failed flush shows at the next write.
		_ = rc.Flush()
		var err error
		event, err = a.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			rerr := result.From(err, result.StreamCut)
			writeErrorEvent(w, rerr)
			return rerr
		}
	}
}

// writeErrorEvent ends a stream with an event that says how it ended; there is no end mark after it.
func writeErrorEvent(w http.ResponseWriter, rerr *result.Error) {
	b, err := json.Marshal(rerr.Body(""))
	if err != nil {
		return
	}
	// The caller may be gone; there is nobody left to tell.
	_, _ = w.Write([]byte("data: " + string(b) + "\n\n"))
}
