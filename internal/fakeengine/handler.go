package fakeengine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/result"
)

// defaultMaxTokens is the length of a response if the request has no max_tokens.
const defaultMaxTokens = 16

type request struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages,omitempty"`
	Prompt    json.RawMessage `json:"prompt,omitempty"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	User      string          `json:"user"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// completion is a whole response or one event of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

// Handler returns the HTTP API of the engine. Besides the API of a real engine it has POST /faults, POST /restart and
// GET /history for tests.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleRun)
	mux.HandleFunc("POST /v1/completions", e.handleRun)
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		// Faults.RetryAfter makes the engine refuse only requests. Reports and orders are still accepted.
		_ = e.setNoticeHeaders(w.Header())
		httpx.WriteJSON(w, http.StatusOK, e.Report())
	})
	mux.HandleFunc("GET /history", func(w http.ResponseWriter, _ *http.Request) { httpx.WriteJSON(w, http.StatusOK, e.History()) })
	mux.HandleFunc("POST /restart", func(http.ResponseWriter, *http.Request) { e.Restart() })
	mux.HandleFunc("POST /faults", e.handleFaults)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := engine.CallID(r.Header); id != "" {
			w.Header().Set(result.HeaderCall, id)
		}
		mux.ServeHTTP(w, r)
	})
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		writeRefusal(w, refusalError{engine.RefusalBadRequest, err.Error()})
		return
	}
	if err := e.ExecuteOrder(r.Context(), order); err != nil {
		writeRefusal(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) handleRun(w http.ResponseWriter, r *http.Request) {
	if retryAfter := e.setNoticeHeaders(w.Header()); retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
		writeRefusalWithStatus(w, http.StatusServiceUnavailable, refusalError{engine.RefusalBusy, "the engine refuses requests for now"})
		return
	}
	var req request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeRefusal(w, refusalError{engine.RefusalBadRequest, err.Error()})
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	cw := &completionWriter{
		w: w, req: req, chat: strings.HasPrefix(r.URL.Path, "/v1/chat/"), id: r.Header.Get(result.HeaderRequest), model: req.Model,
	}
	if e.consumeFault(&e.faults.WrongModelResponses) {
		cw.model = "another@1"
	}
	cw.cutStream = e.consumeFault(&e.faults.CutStreams)
	err := e.run(r.Context(), cw.id, req.User, req.Model, req.MaxTokens, cw.writeToken)
	if err == nil && e.consumeFault(&e.faults.DropResponses) {
		err = errDropResponse
	}
	if err != nil {
		writeRefusal(w, err)
		return
	}
	cw.writeEnd()
}

// setNoticeHeaders sets the headers that announce the engine's rate limit and that it is leaving. It returns the value of the
// Retry-After header for requests, or an empty string if the engine accepts requests.
func (e *Engine) setNoticeHeaders(h http.Header) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.RateLimit != "" {
		h.Set(result.HeaderRate, e.faults.RateLimit)
	}
	if e.faults.Leaving {
		h.Set(result.HeaderLeaving, "1")
	}
	return e.faults.RetryAfter
}

// writeRefusal writes a refusal with the status 409 (Conflict).
func writeRefusal(w http.ResponseWriter, err error) {
	writeRefusalWithStatus(w, http.StatusConflict, err)
}

// writeRefusalWithStatus writes a refusal. It closes the connection without a response if err is not a refusalError.
func writeRefusalWithStatus(w http.ResponseWriter, status int, err error) {
	var r refusalError
	if !errors.As(err, &r) {
		panic(http.ErrAbortHandler)
	}
	var body engine.Refusal
	body.Error.Type, body.Error.Message = r.kind, r.message
	httpx.WriteJSON(w, status, body)
}

// completionWriter writes the response to one request, either as a stream or as one JSON object.
type completionWriter struct {
	w         http.ResponseWriter
	req       request
	chat      bool
	cutStream bool
	id        string
	model     string
	text      strings.Builder
	headerSet bool
}

func (cw *completionWriter) writeToken(i int) error {
	text := fmt.Sprintf("%s:%d ", cw.req.Model, i)
	if !cw.req.Stream {
		cw.text.WriteString(text)
		return nil
	}
	if cw.cutStream && i > 0 {
		return errDropResponse
	}
	if !cw.headerSet {
		cw.headerSet = true
		cw.w.Header().Set("Content-Type", "text/event-stream")
	}
	return cw.writeEvent(choice{Text: text, Delta: &message{Content: text}})
}

func (cw *completionWriter) writeEvent(c choice) error {
	object := "text_completion"
	if cw.chat {
		c.Text, object = "", "chat.completion.chunk"
	} else {
		c.Delta = nil
	}
	b, err := json.Marshal(completion{ID: cw.id, Object: object, Model: cw.model, Choices: []choice{c}})
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(cw.w, "data: %s\n\n", b); err != nil {
		return err
	}
	return http.NewResponseController(cw.w).Flush()
}

func (cw *completionWriter) writeEnd() {
	finishReason := "stop"
	if cw.req.Stream {
		// Ignore errors: if the caller has closed the connection, they cannot be reported to it.
		_ = cw.writeEvent(choice{Delta: &message{}, FinishReason: &finishReason})
		_, _ = fmt.Fprint(cw.w, "data: [DONE]\n\n")
		return
	}
	c := completion{
		ID: cw.id, Object: "text_completion", Model: cw.model,
		Choices: []choice{{Text: cw.text.String(), FinishReason: &finishReason}},
	}
	if cw.chat {
		c.Object = "chat.completion"
		c.Choices[0].Text, c.Choices[0].Message = "", &message{Role: "assistant", Content: cw.text.String()}
	}
	httpx.WriteJSON(cw.w, http.StatusOK, c)
}
