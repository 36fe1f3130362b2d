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

// defaultTokens is the length of an answer whose request names none.
const defaultTokens = 16

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

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

// Handler serves e, and POST /faults, POST /restart, GET /history for tests.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.handleRun)
	mux.HandleFunc("POST /v1/completions", e.handleRun)
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		// A rest is for requests: reports and orders are no work of the kind that it turns away.
		_ = e.say(w.Header())
		httpx.WriteJSON(w, http.StatusOK, e.Report())
	})
	mux.HandleFunc("GET /history", func(w http.ResponseWriter, _ *http.Request) { httpx.WriteJSON(w, http.StatusOK, e.History()) })
	mux.HandleFunc("POST /restart", func(http.ResponseWriter, *http.Request) { e.Restart() })
	mux.HandleFunc("POST /faults", e.handleFaults)
	return mux
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
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		refuse(w, refused{engine.RefusalBadRequest, err.Error()})
		return
	}
	if err := e.Order(r.Context(), o); err != nil {
		refuse(w, err)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, struct{}{})
}

func (e *Engine) handleRun(w http.ResponseWriter, r *http.Request) {
	if rest := e.say(w.Header()); rest != "" {
		w.Header().Set("Retry-After", rest)
		refuseWith(w, http.StatusServiceUnavailable, refused{engine.RefusalBusy, "the engine rests"})
		return
	}
	var q request
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		refuse(w, refused{engine.RefusalBadRequest, err.Error()})
		return
	}
	if q.MaxTokens <= 0 {
		q.MaxTokens = defaultTokens
	}
	a := &answerWriter{w: w, q: q, chat: strings.HasPrefix(r.URL.Path, "/v1/chat/"), id: r.Header.Get(result.HeaderRequest), model: q.Model}
	if e.take(&e.faults.WrongAnswers) {
		a.model = "another@1"
	}
	a.cut = e.take(&e.faults.CutStreams)
	err := e.run(r.Context(), a.id, q.User, q.Model, q.MaxTokens, a.token)
	if err == nil && e.take(&e.faults.LoseAnswers) {
		err = errLost
	}
	if err != nil {
		refuse(w, err)
		return
	}
	a.end()
}

// say says in the head of an answer what the engine says of itself. It returns the seconds of rest to ask for, empty if requests are taken.
func (e *Engine) say(h http.Header) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Rate != "" {
		h.Set(result.HeaderRate, e.faults.Rate)
	}
	if e.faults.Leaving {
		h.Set(result.HeaderLeaving, "1")
	}
	return e.faults.Rest
}

func refuse(w http.ResponseWriter, err error) { refuseWith(w, http.StatusConflict, err) }

func refuseWith(w http.ResponseWriter, status int, err error) {
	var r refused
	if !errors.As(err, &r) {
		panic(http.ErrAbortHandler)
	}
	var body engine.Refusal
	body.Error.Type, body.Error.Message = r.kind, r.text
	httpx.WriteJSON(w, status, body)
}

// answerWriter writes one answer, as a stream or whole.
type answerWriter struct {
	w     http.ResponseWriter
	q     request
	chat  bool
	cut   bool
	id    string
	model string
	text  strings.Builder
	begun bool
}

func (a *answerWriter) token(i int) error {
	text := fmt.Sprintf("%s:%d ", a.q.Model, i)
	if !a.q.Stream {
		a.text.WriteString(text)
		return nil
	}
	if a.cut && i > 0 {
		return errLost
	}
	if !a.begun {
		a.begun = true
		a.w.Header().Set("Content-Type", "text/event-stream")
	}
	return a.event(choice{Text: text, Delta: &message{Content: text}})
}

func (a *answerWriter) event(c choice) error {
	object := "text_completion"
	if a.chat {
		c.Text, object = "", "chat.completion.chunk"
	} else {
		c.Delta = nil
	}
	b, err := json.Marshal(completion{ID: a.id, Object: object, Model: a.model, Choices: []choice{c}})
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(a.w, "data: %s\n\n", b); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

func (a *answerWriter) end() {
	stop := "stop"
	if a.q.Stream {
		// The caller may be gone; there is nobody left to tell.
		_ = a.event(choice{Delta: &message{}, FinishReason: &stop})
		_, _ = fmt.Fprint(a.w, "data: [DONE]\n\n")
		return
	}
	c := completion{ID: a.id, Object: "text_completion", Model: a.model, Choices: []choice{{Text: a.text.String(), FinishReason: &stop}}}
	if a.chat {
		c.Object = "chat.completion"
		c.Choices[0].Text, c.Choices[0].Message = "", &message{Role: "assistant", Content: a.text.String()}
	}
	httpx.WriteJSON(a.w, http.StatusOK, c)
}
