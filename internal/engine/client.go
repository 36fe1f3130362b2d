package engine

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/pairing"
	"github.com/bellgap/bellgap/internal/recent"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/slowpeer"
)

// Limits on the calls of a Client.
const (
	orderTimeout      = 2 * time.Minute
	reportTimeout     = 2 * time.Second
	maxSmallBodyBytes = 1 << 20
	// returnsIDsMemory is how long an engine that returned the id of a call is expected to return those of later calls. An engine of an older
	// build may replace it at its address.
	returnsIDsMemory = 10 * time.Minute
)

// OrderRefusedError is returned if the engine responded to an order without executing it.
type OrderRefusedError struct {
	// Type is one of the Refusal types. RefusalStaleEpoch means that the engine has received orders from a newer owner.
	Type    string
	Message string
}

// Error implements error.
func (e *OrderRefusedError) Error() string {
	return "engine: order refused: " + e.Type + ": " + e.Message
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// HTTP sends all calls. Its transport must not retry POST requests.
	HTTP *http.Client
}

// NoticeHeaders names the response headers in which engines and services announce their own state on bellgap's own interface.
var NoticeHeaders = notice.HeaderNames{Rate: result.HeaderRate, Leaving: result.HeaderLeaving, Brittle: result.HeaderBrittle}

// Client is an HTTP client for engines.
type Client struct {
	http *http.Client
	// returnsIDs holds the addresses of engines that recently returned the id of a call.
	returnsIDs *recent.Set[netip.AddrPort]
}

// NewClient returns a Client that sends its calls with cfg.HTTP.
func NewClient(cfg ClientConfig) *Client {
	return &Client{http: cfg.HTTP, returnsIDs: recent.New[netip.AddrPort](returnsIDsMemory)}
}

// CallID returns the id of the call that the headers of a call to an engine, or of the answer to it, carry. It is empty if there is none.
func CallID(h http.Header) string { return h.Get(result.HeaderCall) }

// SendOrder sends an order and waits until the engine has executed it.
func (c *Client) SendOrder(ctx context.Context, to Target, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return eris.Wrap(err, "engine: encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address.String()+"/orders", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "engine: create order request")
	}
	req.Header.Set(result.HeaderCall, rand.Text())
	sent := httpx.NewSendTrace(req)
	resp, err := c.http.Do(sent.Request)
	switch {
	case err != nil && sent.MayHaveSent() && ctx.Err() == nil:
		return eris.Wrapf(ErrConnectionLost, "engine: send order: %v", err)
	case err != nil:
		return eris.Wrap(err, "engine: send order")
	}
	defer httpx.Drain(resp.Body)
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	r := decodeRefusal(resp.Body)
	return &OrderRefusedError{Type: r.Error.Type, Message: r.Error.Message}
}

// Report fetches the engine's report.
func (c *Client) Report(ctx context.Context, from Target) (Report, error) {
	var r Report
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.Address.String()+"/report", nil)
	if err != nil {
		return r, eris.Wrap(err, "engine: create report request")
	}
	req.Header.Set(result.HeaderCall, rand.Text())
	resp, err := c.http.Do(req)
	if err != nil {
		return r, eris.Wrap(err, "engine: fetch report")
	}
	defer httpx.Drain(resp.Body)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxSmallBodyBytes)).Decode(&r); err != nil {
		return r, eris.Wrap(err, "engine: decode report")
	}
	r.Notice = NoticeHeaders.Read(resp.StatusCode, resp.Header)
	return r, nil
}

// Call is an inference request to an engine.
type Call struct {
	Address netip.AddrPort
	// Path is the URL path in the OpenAI API.
	Path string
	Ref  resource.Ref
	// RunID identifies this run. The ID in the engine's answer must end with it.
	RunID   string
	Urgency string
	Body    []byte
	// Notice, if set, is called with the state that the engine announces in the response headers.
	Notice func(notice.HeaderNotices)
}

// Run sends a call and returns the answer once the response headers have arrived. The error is a *result.Error, whose result code
// shows whether the engine may have run the request.
func (c *Client) Run(ctx context.Context, call Call) (*Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address.String()+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, result.New(result.BackendUnreachable, "%v", err)
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(result.HeaderRequest, call.RunID)
	req.Header.Set("X-Priority", call.Urgency)
	req.Header.Set(result.HeaderCall, rand.Text())
	sent := httpx.NewSendTrace(req)
	resp, err := c.http.Do(sent.Request)
	if err != nil {
		return nil, transportError(ctx, sent.MayHaveSent(), err)
	}
	engineNotice := NoticeHeaders.Read(resp.StatusCode, resp.Header)
	namesCall := c.namesCall(resp, call.Address)
	if namesCall && call.Notice != nil {
		call.Notice(engineNotice)
	}
	if resp.StatusCode == http.StatusOK {
		return NewAnswer(resp, call.Ref, call.RunID), nil
	}
	if !namesCall {
		// Closing the unread body ends the connection, as the answer that is due may still follow.
		_ = resp.Body.Close()
		klog.V(1).InfoS("refusal of an engine names no call", "engine", call.Address, "run", call.RunID, "status", resp.StatusCode)
		return nil, result.New(result.AnswerLost, "engine responded with status %d to a call that it did not name", resp.StatusCode)
	}
	defer httpx.Drain(resp.Body)
	return nil, statusError(resp, engineNotice)
}

// namesCall reports whether a response names its call, or is of an engine that has named none recently. A response with the id of another call
// does not come this far.
func (c *Client) namesCall(resp *http.Response, address netip.AddrPort) bool {
	now := clock.Now()
	if CallID(resp.Header) != "" {
		c.returnsIDs.Add(address, now)
		return true
	}
	return !c.returnsIDs.Has(address, now)
}

// transportError returns the error for a call without a response. started reports whether any part of the request may have been
// sent.
func transportError(ctx context.Context, started bool, err error) *result.Error {
	switch {
	case !started:
		return result.New(result.BackendUnreachable, "%v", err)
	case ctx.Err() != nil:
		return result.New(result.CallerGone, "%v", context.Cause(ctx))
	case errors.Is(err, slowpeer.ErrEndpointNotReading):
		return result.New(result.EndpointNotReading, "%v", err)
	case errors.Is(err, pairing.ErrSurplus):
		return result.New(result.TooMuchSurplus, "%v", err)
	case errors.Is(err, pairing.ErrMergedHead), httpx.IsInvalidHead(err):
		return result.New(result.AnswerLost, "%v", err)
	default:
		return result.NewConnError(result.AnswerLost, err)
	}
}

// statusError returns the error for a response with a status other than 200. If its body is a refusal of a known type, the engine
// did not run the request. Otherwise the engine may have run it.
func statusError(resp *http.Response, engineNotice notice.HeaderNotices) *result.Error {
	r := decodeRefusal(resp.Body)
	switch r.Error.Type {
	case RefusalNotLoaded, RefusalNoSlot:
		return result.New(result.BackendRefused, "%s: %s", r.Error.Type, r.Error.Message)
	case RefusalBusy:
		rerr := result.New(result.EndpointResting, "%s", r.Error.Message)
		rerr.RetryAfter = engineNotice.RetryAfter
		return rerr
	case RefusalBadRequest:
		return result.New(result.BadRequest, "%s", r.Error.Message)
	default:
		return result.New(result.AnswerLost, "engine responded with status %d", resp.StatusCode)
	}
}

// decodeRefusal decodes the body of a response with a status other than 200.
func decodeRefusal(body io.Reader) Refusal {
	var r Refusal
	// An invalid body leaves the type empty, which callers treat as unknown.
	_ = json.NewDecoder(io.LimitReader(body, maxSmallBodyBytes)).Decode(&r)
	return r
}
