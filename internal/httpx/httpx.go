// Package httpx provides the HTTP clients and servers of the project with common limits and helpers.
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

	"github.com/bellgap/bellgap/internal/intake"
)

// Limits of every listener and connection.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 90 * time.Second
	maxHeaderBytes    = 32 << 10
	dialTimeout       = time.Second
	maxDrainBytes     = 64 << 10
	// shutdownTimeout limits the graceful shutdown of a server. The only requests left by then are responses of a few hundred bytes,
	// and waiting requests that never end by themselves.
	shutdownTimeout = 100 * time.Millisecond
	// continueTimeout exceeds every request deadline, so that a body is never sent before the server has requested it with 100 Continue.
	continueTimeout = 24 * time.Hour
)

// NewServer returns a server with the common limits.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: intake.Handler(h), ConnContext: intake.ConnContext, ConnState: intake.ConnState, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

// NewTransport returns a transport for many calls to a small number of hosts.
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

// NewSingleUseTransport returns a transport that uses each connection for only one call. This prevents http.Transport from silently retrying a
// call after a reused connection turns out to be broken.
func NewSingleUseTransport() *http.Transport {
	t := NewTransport(1)
	t.DisableKeepAlives = true
	return t
}

// SendTrace records whether any part of a request may have reached the server.
type SendTrace struct {
	Request *http.Request
	started atomic.Bool
	reused  atomic.Bool
}

// NewSendTrace returns a SendTrace whose Request is req with tracing. Send that Request instead of req.
func NewSendTrace(req *http.Request) *SendTrace {
	s := &SendTrace{}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			s.started.Store(true)
			s.reused.Store(info.Reused)
		},
		WroteRequest: func(httptrace.WroteRequestInfo) { s.started.Store(true) },
	}
	s.Request = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	return s
}

// MayHaveSent reports whether the request was assigned a connection. From then on, bytes of the request may have been sent.
func (s *SendTrace) MayHaveSent() bool { return s.started.Load() }

// IsReused reports whether the request was assigned a connection that had carried other requests.
func (s *SendTrace) IsReused() bool { return s.reused.Load() }

// Retirer is a connection that says when no further request may be sent over it.
type Retirer interface{ IsRetired() bool }

// IsRetired reports whether no further request may be sent over a connection, or over one that it wraps and returns from NetConn.
func IsRetired(c net.Conn) bool {
	for {
		if r, ok := c.(Retirer); ok {
			return r.IsRetired()
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return false
		}
		c = wrapper.NetConn()
	}
}

// Drain reads up to maxDrainBytes of the rest of body, so that the connection can be reused, and closes body.
func Drain(body io.ReadCloser) {
	// An error here only prevents the reuse of the connection.
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	_ = body.Close()
}

// EndsWithConnection reports whether a response has neither a length nor chunks, so that the end of its connection ends it, also if the server
// crashes.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// WriteJSON sends v as a JSON response with the given status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails if the client has disconnected; there is no other way to report the error.
	_ = json.NewEncoder(w).Encode(v)
}

// PostOnce sends message as JSON in a POST request. The request has no GetBody, so that the transport cannot send it a second time.
func PostOnce(ctx context.Context, client *http.Client, url string, message any) (*http.Response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, eris.Wrap(err, "httpx: encode request body")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "httpx: create request")
	}
	req.GetBody = nil
	resp, err := client.Do(req)
	return resp, eris.Wrap(err, "httpx: send request")
}

// maxResponseBytes is the maximum size of the response that CallOnce reads.
const maxResponseBytes = 256 << 10

// StatusError is the error of a call that was answered with a status other than 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("httpx: unexpected response status %d", e.Status)
}

// CallOnce sends message with PostOnce and decodes the JSON response into answer. It returns a *StatusError for a response status other
// than 200.
func CallOnce(ctx context.Context, client *http.Client, url string, message, answer any) error {
	resp, err := PostOnce(ctx, client, url, message)
	if err != nil {
		return err
	}
	defer Drain(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return &StatusError{resp.StatusCode}
	}
	return eris.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(answer), "httpx: decode response")
}

// IsUnanswered reports whether err is set and is not a StatusError, so that the call failed without a usable response.
func IsUnanswered(err error) bool {
	var status *StatusError
	return err != nil && !errors.As(err, &status)
}

// Serve serves connections of l until ctx ends. It then accepts no more connections, and gives responses in progress at most
// shutdownTimeout to complete.
func Serve(ctx context.Context, s *http.Server, l net.Listener) error {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := s.Shutdown(shutdownCtx); err != nil {
			_ = s.Close()
		}
	})
	if err := s.Serve(l); stop() {
		return err
	}
	<-closed
	return ctx.Err()
}
