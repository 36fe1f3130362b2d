package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
)

// Limits on one call.
const (
	orderTimeout  = 2 * time.Minute
	reportTimeout = 2 * time.Second
	maxSmallBody  = 1 << 20
)

// OrderRefusedError says that the engine answered an order and did not carry it out.
type OrderRefusedError struct {
	// Type is one of the Refusal types; RefusalStaleEpoch says that a newer owner has given orders.
	Type    string
	Message string
}

// Error implements error.
func (e *OrderRefusedError) Error() string {
	return "engine: order refused: " + e.Type + ": " + e.Message
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// HTTP sends requests and orders. Its transport repeats no POST.
	HTTP *http.Client
}

// Headers are those by which engines and services speak of themselves on bellgap's own interface.
var Headers = notice.Headers{Rate: result.HeaderRate, Leaving: result.HeaderLeaving}

// Client speaks to engines.
type Client struct {
	http *http.Client
}

// NewClient returns a Client.
func NewClient(cfg ClientConfig) *Client { return &Client{http: cfg.HTTP} }

// Give sends an order and waits until it is carried out.
func (c *Client) Give(ctx context.Context, to Target, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return eris.Wrap(err, "engine: encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address.String()+"/orders", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "engine: order")
	}
	sent := httpx.TraceSent(req)
	resp, err := c.http.Do(sent.Request)
	switch {
	case err != nil && sent.Started() && ctx.Err() == nil:
		return eris.Wrapf(ErrBrokenOff, "engine: order: %v", err)
	case err != nil:
		return eris.Wrap(err, "engine: order")
	}
	defer httpx.Drain(resp.Body)
	if resp.StatusCode == http.StatusOK {
		return nil
	}
	r := refusal(resp.Body)
	return &OrderRefusedError{Type: r.Error.Type, Message: r.Error.Message}
}

// Report asks for the engine's report.
func (c *Client) Report(ctx context.Context, from Target) (Report, error) {
	var r Report
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.Address.String()+"/report", nil)
	if err != nil {
		return r, eris.Wrap(err, "engine: report")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return r, eris.Wrap(err, "engine: report")
	}
	defer httpx.Drain(resp.Body)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxSmallBody)).Decode(&r); err != nil {
		return r, eris.Wrap(err, "engine: report")
	}
	r.Notice = Headers.Read(resp.StatusCode, resp.Header)
	return r, nil
}

// Call is one request to an engine.
type Call struct {
	Address netip.AddrPort
	// Path is the path of the OpenAI API.
	Path string
	Ref  resource.Ref
	// RunID names this run; the engine's answer has to carry it.
	RunID   string
	Urgency string
	Body    []byte
	// Notice, if set, is called with what the head of an answer says of the engine.
	Notice func(notice.Word)
}

// Run sends a call and returns the answer once its status is known. The error is a *result.Error that says whether it ran.
func (c *Client) Run(ctx context.Context, call Call) (*Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address.String()+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, result.New(result.BackendUnreachable, "%v", err)
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(result.HeaderRequest, call.RunID)
	req.Header.Set("X-Priority", call.Urgency)
	sent := httpx.TraceSent(req)
	resp, err := c.http.Do(sent.Request)
	if err != nil {
		return nil, callError(ctx, sent.Started(), err)
	}
	word := Headers.Read(resp.StatusCode, resp.Header)
	if call.Notice != nil {
		call.Notice(word)
	}
	if resp.StatusCode != http.StatusOK {
		defer httpx.Drain(resp.Body)
		return nil, statusError(resp, word)
	}
	return NewAnswer(resp, call.Ref, call.RunID), nil
}

func callError(ctx context.Context, started bool, err error) *result.Error {
	switch {
	case !started:
		return result.New(result.BackendUnreachable, "%v", err)
	case ctx.Err() != nil:
		return result.New(result.CallerGone, "%v", context.Cause(ctx))
	default:
		return result.Cut(result.AnswerLost, err)
	}
}

// statusError reads an answer other than 200: a refusal of a known type did not run, anything else may have.
func statusError(resp *http.Response, word notice.Word) *result.Error {
	r := refusal(resp.Body)
	switch r.Error.Type {
	case RefusalNotLoaded, RefusalNoSlot:
		return result.New(result.BackendRefused, "%s: %s", r.Error.Type, r.Error.Message)
	case RefusalBusy:
		rerr := result.New(result.EndpointResting, "%s", r.Error.Message)
		rerr.RetryAfter = word.Rest
		return rerr
	case RefusalBadRequest:
		return result.New(result.BadRequest, "%s", r.Error.Message)
	default:
		return result.New(result.AnswerLost, "the engine answered status %d", resp.StatusCode)
	}
}

func refusal(body io.Reader) Refusal {
	var r Refusal
	// A body that cannot be read leaves the type empty, which claims nothing.
	_ = json.NewDecoder(io.LimitReader(body, maxSmallBody)).Decode(&r)
	return r
}
