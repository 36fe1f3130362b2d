// Package httpx holds the settings that every HTTP client and server of the project shares.
package httpx

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Bounds of every listener and connection.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 32 << 10
	dialTimeout       = time.Second
	drainLimit        = 64 << 10
	// closeTime bounds the end of a server: what is left then is answers of a few hundred bytes, and waits that nobody ends.
	closeTime = 100 * time.Millisecond
	// continueTimeout lies past every deadline: the body is never sent unasked.
	continueTimeout = 24 * time.Hour
)

// NewServer returns a server with the bounds of every listener set.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// NewTransport returns a transport for many calls to few peers.
func NewTransport(connsPerHost int) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    connsPerHost,
		IdleConnTimeout:        idleTimeout / 2,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// NewOnceTransport returns a transport that uses each connection for one call, so that it has no broken reused connection to repeat a call on.
func NewOnceTransport() *http.Transport {
	t := NewTransport(1)
	t.DisableKeepAlives = true
	return t
}

// Sent tells whether any part of a request may have reached the far side.
type Sent struct {
	Request *http.Request
	wrote   atomic.Bool
}

// TraceSent returns req with a trace of whether its writing has begun.
func TraceSent(req *http.Request) *Sent {
	s := &Sent{}
	trace := &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { s.wrote.Store(true) },
		WroteRequest: func(httptrace.WroteRequestInfo) { s.wrote.Store(true) },
	}
	s.Request = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	return s
}

// Started reports whether a connection had been given to the request, from when on its bytes may have left.
func (s *Sent) Started() bool { return s.wrote.Load() }

// Drain reads a little of what is left, so that the connection can be used again, and closes body.
func Drain(body io.ReadCloser) {
	// Errors here only cost the connection.
	_, _ = io.CopyN(io.Discard, body, drainLimit)
	_ = body.Close()
}

// WriteJSON sends v with the status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The reader may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// PostOnce posts a message as JSON. The transport has nothing to send it a second time.
func PostOnce(ctx context.Context, client *http.Client, url string, message any) (*http.Response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, eris.Wrap(err, "httpx: encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "httpx: request")
	}
	req.GetBody = nil
	resp, err := client.Do(req)
	return resp, eris.Wrap(err, "httpx: call")
}

// maxAnswer bounds the answers that AskOnce reads.
const maxAnswer = 256 << 10

// StatusError says that a call was answered with a status other than 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("httpx: status %d", e.Status) }

// AskOnce posts a message as JSON, see PostOnce, and decodes the answer. An answer with another status than 200 is a *StatusError.
func AskOnce(ctx context.Context, client *http.Client, url string, message, answer any) error {
	resp, err := PostOnce(ctx, client, url, message)
	if err != nil {
		return err
	}
	defer Drain(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return &StatusError{resp.StatusCode}
	}
	return eris.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(answer), "httpx: answer")
}

// IsUnanswered reports whether a call failed without any answer.
func IsUnanswered(err error) bool {
	var status *StatusError
	return err != nil && !errors.As(err, &status)
}

// Serve serves l until ctx ends, then takes no more connections and lets answers that are being written end, for closeTime at most.
func Serve(ctx context.Context, s *http.Server, l net.Listener) error {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		last, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTime)
		defer cancel()
		if err := s.Shutdown(last); err != nil {
			_ = s.Close()
		}
	})
	if err := s.Serve(l); stop() {
		return err
	}
	<-closed
	return ctx.Err()
}
