package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/textproto"
	"strings"
	"syscall"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/result"
)

// perConnection lists the headers that concern only one connection.
var perConnection = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// copyHeaders returns the headers that may be passed on.
func copyHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range perConnection {
		out.Del(name)
	}
	return out
}

// unrepeatable is a body that the transport cannot send a second time, also when it is empty.
type unrepeatable struct{ io.Reader }

// Close implements io.Closer.
func (unrepeatable) Close() error { return nil }

// destination is the endpoint that a request is sent to.
type destination struct {
	name    string
	address netip.AddrPort
	// started is the Unix millisecond of its start, zero if it does not say.
	started int64
}

// exchange sends a request to one endpoint and returns its answer once the head of it has been checked.
// The error says whether the request may have run.
func (r *Relay) exchange(ctx context.Context, q *request, to destination, a Attempt) (*http.Response, *result.Error) {
	if rerr := r.stillAllowed(q); rerr != nil {
		return nil, rerr
	}
	// Every way to an endpoint leads through here; what was held while the request waited goes no further.
	if rerr := r.held(q); rerr != nil {
		return nil, rerr
	}
	if rerr := r.unwanted(to); rerr != nil {
		q.tried(to.name, rerr.Code.String())
		return nil, rerr
	}
	out, err := http.NewRequestWithContext(ctx, q.in.Method, "http://"+to.address.String(), nil)
	if err != nil {
		return nil, result.New(result.BadRequest, "%v", err)
	}
	// The target goes out byte for byte as it came in.
	out.URL.Opaque = ""
	out.URL.Path, out.URL.RawPath, out.URL.RawQuery = q.in.URL.Path, q.in.URL.RawPath, q.in.URL.RawQuery
	out.URL.ForceQuery = q.in.URL.ForceQuery
	out.Host = q.in.Host
	out.Header = copyHeaders(q.in.Header)
	out.Header.Del("Content-Length")
	if out.Header.Get("User-Agent") == "" {
		// Keeps the client from adding its own.
		out.Header.Set("User-Agent", "")
	}
	a.Instance, a.Deadline, a.Priority = to.name, q.left(), q.rank()
	a.Keyed, a.Customer = r.cfg.Catalog.Topology().Routes.Keyed(), q.customerName()
	r.cfg.Wire.WriteAttempt(out.Header, a)
	out.Body, out.ContentLength = unrepeatable{bytes.NewReader(q.body)}, int64(len(q.body))
	q.arrivals++
	q.endpoint, q.waited = to.name, clock.Since(q.came)
	sent := httpx.TraceSent(out)
	resp, err := r.cfg.Endpoints.Do(sent.Request)
	if err != nil {
		rerr := r.sendError(ctx, sent.Started(), err)
		if rerr.Code == result.BackendUnreachable || rerr.Code == result.NotListening {
			// It has not arrived, so another try is no repeat.
			q.arrivals--
			q.unreached++
		}
		q.tried(to.name, rerr.Code.String())
		return nil, rerr
	}
	q.first = clock.Since(q.came)
	head := r.cfg.Wire.ReadAnswer(resp.StatusCode, resp.Header)
	rerr := checkAnswer(q, resp.StatusCode, head)
	r.hear(q, to, head, rerr == nil)
	if rerr != nil {
		q.tried(to.name, rerr.Code.String()+":"+rerr.Detail)
		// Closing without reading ends the connection, so that nothing of it is taken for another answer.
		_ = resp.Body.Close()
		return nil, rerr
	}
	return resp, nil
}

// sendError says what a call without an answer means for its request.
func (r *Relay) sendError(ctx context.Context, started bool, err error) *result.Error {
	switch {
	case !started && errors.Is(err, syscall.ECONNREFUSED):
		return result.New(result.NotListening, "%v", err)
	case !started:
		return result.New(result.BackendUnreachable, "%v", err)
	case ctx.Err() != nil:
		return result.New(result.TimedOut, "%v", context.Cause(ctx))
	default:
		return result.Cut(result.AnswerLost, err)
	}
}

// checkAnswer returns an error if an answer is a refusal or is not the endpoint's answer to this request.
func checkAnswer(q *request, status int, head AnswerHead) *result.Error {
	switch {
	case head.Elsewhere:
		return result.New(result.NotHeld, "status %d", status)
	case head.NotRun:
		return result.New(result.BackendRefused, "status %d", status)
	case promises(status) && !head.Sealed:
		return result.New(result.AnswerLost, "status %d without word on whether it ran", status)
	case head.ID != q.head.ID:
		return result.New(result.WrongAnswer, "asked as %q, answered as %q", q.head.ID, head.ID)
	case !head.Sealed && status < http.StatusMultipleChoices:
		return result.New(result.WrongAnswer, "status %d without a signature", status)
	}
	return nil
}

// promises reports whether a status tells callers that the request did not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// writeHead starts the answer to the caller with the endpoint's status and headers.
func (o *output) writeHead(resp *http.Response) {
	if o.started {
		return
	}
	o.started = true
	h := o.w.Header()
	for name, values := range copyHeaders(resp.Header) {
		h[name] = values
	}
	o.w.WriteHeader(resp.StatusCode)
}

// wholeBuffer is how much of an answer is read before its head is passed on, so that one that breaks off early can be
// replaced by another endpoint's, or by a plain failure.
const wholeBuffer = 256 << 10

// copyWhole passes an answer that is not a stream on.
func (o *output) copyWhole(resp *http.Response) *result.Error {
	start, err := io.ReadAll(io.LimitReader(resp.Body, wholeBuffer))
	if err != nil {
		return result.Cut(result.StreamCut, err)
	}
	o.writeHead(resp)
	if _, err := o.w.Write(start); err != nil {
		return result.New(result.CallerGone, "%v", err)
	}
	if len(start) < wholeBuffer {
		return nil
	}
	if _, err := io.Copy(o.w, resp.Body); err != nil {
		return result.Cut(result.StreamCut, err)
	}
	return nil
}
