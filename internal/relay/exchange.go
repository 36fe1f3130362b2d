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

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/detour"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/pairing"
	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/slowpeer"
)

// hopByHopHeaders lists the headers that apply only to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// forwardableHeaders returns a copy of h without the headers that apply only to a single connection.
func forwardableHeaders(h http.Header) http.Header {
	forwarded := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			forwarded.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// singleUseBody is a request body that the transport cannot send a second time, even if it is empty.
type singleUseBody struct{ io.Reader }

// Close implements io.Closer.
func (singleUseBody) Close() error { return nil }

// destination is the endpoint that a request is sent to.
type destination struct {
	name    string
	address netip.AddrPort
	// started is when the endpoint started, in Unix milliseconds, zero if the endpoint does not report it.
	started int64
	// softwareVersion is the version of the endpoint's software, empty if its entry names none.
	softwareVersion string
}

// endpointDestination returns the destination for an endpoint of a plain service.
func endpointDestination(e catalog.EndpointView) destination {
	return destination{e.Name, e.Spec.Address, e.Spec.Started, e.Spec.SoftwareVersion}
}

// exchange sends a request to one endpoint and returns the answer after checking its head. The result code of the
// error tells whether the request may have run.
func (r *Relay) exchange(ctx context.Context, q *request, to destination, a Attempt) (*http.Response, *result.Error) {
	if rerr := r.recheckKey(q); rerr != nil {
		return nil, rerr
	}
	// Every request to an endpoint passes through here, so a request that was quarantined while it waited is stopped
	// here.
	if rerr := r.checkQuarantine(q); rerr != nil {
		return nil, rerr
	}
	if rerr := r.checkNotices(to); rerr != nil {
		q.recordTry(to.name, rerr.Code.String())
		return nil, rerr
	}
	if rerr := r.refuseLateRun(q); rerr != nil {
		q.recordTry(to.name, rerr.Code.String())
		return nil, rerr
	}
	sendCtx, content, endSend := q.caller.Send(ctx, bytes.NewReader(q.body))
	defer endSend()
	outgoing, err := http.NewRequestWithContext(pairing.WithEndpoint(sendCtx, to.name), q.incoming.Method, "http://"+to.address.String(), nil)
	if err != nil {
		return nil, result.New(result.BadRequest, "%v", err)
	}
	// The target of the request is forwarded byte for byte.
	outgoing.URL.Opaque = ""
	outgoing.URL.Path, outgoing.URL.RawPath, outgoing.URL.RawQuery = q.incoming.URL.Path, q.incoming.URL.RawPath, q.incoming.URL.RawQuery
	outgoing.URL.ForceQuery = q.incoming.URL.ForceQuery
	outgoing.Host = q.incoming.Host
	outgoing.Header = forwardableHeaders(q.incoming.Header)
	outgoing.Header.Del("Content-Length")
	if outgoing.Header.Get("User-Agent") == "" {
		// An empty value keeps the HTTP client from adding its own.
		outgoing.Header.Set("User-Agent", "")
	}
	a.Instance, a.Deadline, a.Priority = to.name, q.timeLeft(), q.rank()
	a.Keyed, a.Customer = r.cfg.Catalog.Topology().Routes.RequiresKey(), q.customerName()
	r.cfg.Wire.WriteAttempt(outgoing.Header, a)
	outgoing.Body, outgoing.ContentLength = singleUseBody{content}, int64(len(q.body))
	q.arrivals++
	q.pending.beginRun()
	r.recordOrigin(q, to)
	q.sentVersion = to.softwareVersion
	q.lastEndpoint, q.untilSent = to.name, clock.Since(q.receivedAt)
	traced := httpx.NewSendTrace(outgoing)
	resp, err := r.cfg.Endpoints.Do(traced.Request)
	if err != nil {
		rerr := r.classifySendError(ctx, traced.MayHaveSent(), slowpeer.SendError(sendCtx, err))
		if rerr.Code == result.EndpointNotReading {
			r.recordSlowEndpoint(q, to)
		}
		if isConnectFailure(rerr) {
			// The request has not arrived, so the next try is not a retry.
			q.arrivals--
			q.connectFailures++
		}
		q.recordTry(to.name, rerr.Code.String())
		return nil, rerr
	}
	q.untilAnswered = clock.Since(q.receivedAt)
	rerr := r.guardHead(q, func() *result.Error { return r.readAnswerHead(q, to, resp) })
	if rerr != nil {
		outcome := rerr.Code.String() + ":" + rerr.Detail
		if traced.IsReused() {
			outcome += ",reused"
		}
		q.recordTry(to.name, outcome)
		// Closing the unread body ends the connection, so that no part of this answer is mistaken for another answer.
		_ = resp.Body.Close()
		return nil, rerr
	}
	if resp.Body != http.NoBody {
		resp.Body = countedBody{resp.Body, &q.answerBytes}
	}
	return resp, nil
}

// readAnswerHead reads the head of an answer with what it says of the endpoint. It returns an error unless the answer is one to this request.
func (r *Relay) readAnswerHead(q *request, to destination, resp *http.Response) *result.Error {
	head := r.cfg.Wire.ReadAnswer(resp.StatusCode, resp.Header)
	r.recordUnproven(q, to, resp.StatusCode, head)
	rerr := checkAnswer(q, resp.StatusCode, head)
	q.wasRun = rerr == nil && resp.StatusCode < http.StatusMultipleChoices
	r.handleNotice(q, to, head, rerr == nil)
	return rerr
}

// recordSlowEndpoint counts and logs a request that ended because the endpoint did not read its body.
func (r *Relay) recordSlowEndpoint(q *request, to destination) {
	r.cfg.Scope.Counter("slow_endpoints_ended").Inc(1)
	klog.InfoS("request ended, its endpoint does not read the body", "request", q.head.ID, "endpoint", to.name, "customer", q.customerName(), "route", q.route.Name,
		"held", len(q.body), "took", clock.Since(q.receivedAt)-q.untilSent)
}

// isConnectFailure reports whether no connection to an endpoint came up, so that the request has not arrived there.
func isConnectFailure(rerr *result.Error) bool {
	switch rerr.Code {
	case result.BackendUnreachable, result.NotListening, result.NoPath:
		return true
	default:
		return false
	}
}

// classifySendError returns the result of a request that was not answered. started tells whether sending had begun.
func (r *Relay) classifySendError(ctx context.Context, started bool, err error) *result.Error {
	switch {
	case !started && errors.Is(err, syscall.ECONNREFUSED):
		return result.New(result.NotListening, "%v", err)
	case !started && errors.Is(err, detour.ErrNoPath):
		return result.New(result.NoPath, "%v", err)
	case !started:
		return result.New(result.BackendUnreachable, "%v", err)
	case errors.Is(err, slowpeer.ErrEndpointNotReading):
		return result.New(result.EndpointNotReading, "%v", err)
	case errors.Is(err, pairing.ErrSurplus):
		return result.New(result.TooMuchSurplus, "%v", err)
	case errors.Is(err, pairing.ErrMergedHead), httpx.IsInvalidHead(err):
		return result.New(result.AnswerLost, "%v", err)
	case ctx.Err() != nil:
		return result.New(result.TimedOut, "%v", context.Cause(ctx))
	default:
		return result.NewConnError(result.AnswerLost, err)
	}
}

// checkAnswer returns an error if an answer is a refusal or does not belong to this request. A refusal of another request, or one that names
// none, proves nothing about this one, so the ids are compared first.
func checkAnswer(q *request, status int, head AnswerHead) *result.Error {
	unproven := unprovenReason(q, status, head)
	switch {
	case head.ID != "" && head.ID != q.head.ID:
		return result.New(result.WrongAnswer, "request has id %q, answer has id %q", q.head.ID, head.ID)
	case unproven != "":
		return result.New(result.AnswerLost, "status %d does not show whether the request ran: %s", status, unproven)
	case head.Misdirected:
		return result.New(result.NotHeld, "status %d", status)
	case head.NotRun:
		return result.New(result.BackendRefused, "status %d", status)
	case head.ID == "":
		return result.New(result.WrongAnswer, "request has id %q, answer has none", q.head.ID)
	case !head.Signed && status < http.StatusMultipleChoices:
		return result.New(result.WrongAnswer, "status %d without a signature", status)
	}
	return nil
}

// crashCheck returns a function that reports whether an endpoint has crashed. An endpoint that leaves may stop accepting connections before
// its last answers end, so it does not count as crashed.
func (r *Relay) crashCheck(ctx context.Context, q *request, to destination) func() bool {
	return func() bool {
		return !r.isLeavingOrGone(q.service, to.name) && r.cfg.Quarantine.HasCrashed(ctx, to.address)
	}
}

// writeHead starts the answer to the caller with the endpoint's status and headers. It does nothing if the answer has
// already been started.
func (o *output) writeHead(resp *http.Response) {
	if o.started {
		return
	}
	o.started, o.status = true, resp.StatusCode
	h := o.w.Header()
	for name, values := range forwardableHeaders(resp.Header) {
		h[name] = values
	}
	o.w.WriteHeader(resp.StatusCode)
	if o.onStarted != nil && resp.StatusCode == http.StatusOK {
		o.onStarted()
	}
}

// answerBuffer is how many bytes of an answer are read before its head is forwarded. If the answer breaks off within
// them, it can be replaced by the answer of another endpoint or by an error.
const answerBuffer = 256 << 10

// copyAnswer forwards an answer that is not a stream.
func (o *output) copyAnswer(resp *http.Response) *result.Error {
	defer o.w.ReleaseAnswer()
	start, err := o.w.ReadAnswer(resp.Body, answerBuffer)
	whole := errors.Is(err, io.EOF)
	if whole && o.isCutByCrash(resp) {
		whole, err = false, io.ErrUnexpectedEOF
	}
	if err != nil && !whole {
		return result.NewConnError(result.StreamCut, err)
	}
	if o.onEvent != nil {
		o.onEvent()
	}
	o.writeHead(resp)
	o.w.ReleaseAnswer()
	if _, err := o.w.Write(start); err != nil {
		return writeError(err)
	}
	if whole {
		return o.flushLong(len(start))
	}
	readErr, writeErr := o.w.Copy(resp.Body)
	if readErr == nil && writeErr == nil && o.isCutByCrash(resp) {
		readErr = io.ErrUnexpectedEOF
	}
	switch {
	case writeErr != nil:
		return writeError(writeErr)
	case readErr != nil:
		return o.excuseCut(o.cutError(readErr))
	}
	return o.flushLong(len(start))
}

// serverBuffer is how many bytes of an answer the HTTP server may keep until the handler returns.
const serverBuffer = 4 << 10

// flushLong flushes an answer of which the server may have written a part already. The result of a short answer does not tell
// whether its caller read it; flushing it would only change its framing.
func (o *output) flushLong(size int) *result.Error {
	if size < serverBuffer {
		return nil
	}
	if err := o.w.FlushError(); err != nil {
		return writeError(err)
	}
	return nil
}

// writeError returns the result of a write to the caller that failed.
func writeError(err error) *result.Error {
	if errors.Is(err, slowpeer.ErrCallerNotReading) {
		return result.New(result.CallerNotReading, "%v", err)
	}
	return result.New(result.CallerGone, "%v", err)
}

// cutError returns the result of an answer that the endpoint broke off, and records whether a pause of the caller may be the reason.
func (o *output) cutError(err error) *result.Error {
	rerr := result.NewConnError(result.StreamCut, err)
	if o.w.WasUnread() {
		o.unreadCut = rerr
	}
	return rerr
}

// isExcused reports whether rerr is a cut that may be due to a pause of the caller. Endpoints cut answers that are left unread, so
// such a cut is not the endpoint's failure.
func (o *output) isExcused(rerr *result.Error) bool { return rerr != nil && rerr == o.unreadCut }

// excuseCut returns the final result of an answer that ended with rerr. An excused cut is the caller's doing. It is still reported as
// broken off, so that the quarantine finds out if the endpoint crashed.
func (o *output) excuseCut(rerr *result.Error) *result.Error {
	if !o.isExcused(rerr) {
		return rerr
	}
	return &result.Error{Code: result.CallerNotReading, Detail: rerr.Detail, BrokenOff: rerr.BrokenOff}
}
