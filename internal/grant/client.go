package grant

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/engineload"
	"github.com/bellgap/bellgap/internal/gather"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/result"
)

const (
	// keepaliveTimeout is the longest time without a response or keepalive from an owner. A round trip between zones takes 2 to 3
	// ms, so a box that sends nothing for this long is overloaded, suspended, disconnected, or gone.
	keepaliveTimeout = 180 * time.Millisecond
	// updateBufferSize limits the number of updates that wait to be sent. Further updates are dropped. If the end of a grant is
	// dropped, the grant expires at the owner.
	updateBufferSize = 4096
	// updateInterval is the time over which updates are collected into one call per owner.
	updateInterval = 25 * time.Millisecond
	// updateTimeout limits the duration of a call that sends updates.
	updateTimeout = time.Second
	// maxAnswerBytes limits the size of the response to a Request.
	maxAnswerBytes = 64 << 10
)

// ClientConfig configures a Client.
type ClientConfig struct {
	HTTP *http.Client
	// Rates holds the rate limits of engines that are known to this box.
	Rates *ratelimit.Registry
	// EngineLoads records the loads of engines; nil records none.
	EngineLoads *engineload.Table
	Scope       tally.Scope
}

// Client requests grants from owners on other boxes. Serve must run while the Client is in use, to send the progress of granted
// requests to the owners.
type Client struct {
	cfg     ClientConfig
	updates *gather.Gatherer[netip.AddrPort, grantUpdate]
}

// grantUpdate is a message for the owner at an address. If rate is set, the message contains the rate limit of an engine. If
// firstToken is set, it reports that the first token of a granted request has arrived. Otherwise it reports the end of a granted
// request.
type grantUpdate struct {
	address    netip.AddrPort
	end        grantEnd
	firstToken bool
	rate       *engineRate
}

// NewClient returns a Client, which sends no updates until Serve runs.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg}
	c.updates = gather.New(gather.Config[netip.AddrPort, grantUpdate]{
		QueueSize: updateBufferSize, BatchWindow: updateInterval, Send: c.sendUpdates,
		OnDrop: func() { cfg.Scope.Counter("grant_news_dropped").Inc(1) },
	})
	return c
}

// Done returns a channel that is closed when Serve has returned.
func (c *Client) Done() <-chan struct{} { return c.updates.Done() }

// Acquire waits for a grant from the owner at address. If it fails, the request has not run and the error is a *result.Error.
// The code OwnerSilent means that the owner did not send a valid response.
func (c *Client) Acquire(ctx context.Context, address netip.AddrPort, request Request) (*Grant, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, result.New(result.BadRequest, "%v", err)
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	silenceTimer := time.AfterFunc(keepaliveTimeout, cancel)
	defer silenceTimer.Stop()
	trace := &httptrace.ClientTrace{Got1xxResponse: func(int, textproto.MIMEHeader) error {
		silenceTimer.Reset(keepaliveTimeout)
		return nil
	}}
	req, err := http.NewRequestWithContext(
		httptrace.WithClientTrace(callCtx, trace), http.MethodPost, "http://"+address.String()+pathAcquire, bytes.NewReader(body),
	)
	if err != nil {
		return nil, result.New(result.BadRequest, "%v", err)
	}
	req.GetBody = nil
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		if ctx.Err() != nil {
			return nil, result.New(result.CallerGone, "%v", context.Cause(ctx))
		}
		return nil, result.New(result.OwnerSilent, "%v", err)
	}
	defer httpx.Drain(resp.Body)
	if report := RateFromHeader(resp.Header); report != nil {
		c.cfg.Rates.Record(clock.Now(), request.Engine, *report)
	}
	c.recordLoad(resp.Header, request.Engine)
	return c.readAnswer(resp, address)
}

// recordLoad records the engine's load from the response header of its owner. A load of another engine than the one that was asked for
// is ignored.
func (c *Client) recordLoad(h http.Header, engine string) {
	encoded := h.Get(headerLoad)
	if encoded == "" || c.cfg.EngineLoads == nil {
		return
	}
	var report engineload.Report
	if err := json.Unmarshal([]byte(encoded), &report); err != nil || report.Engine != engine {
		c.cfg.Scope.Counter("engine_load_invalid").Inc(1)
		return
	}
	c.cfg.Scope.Counter("engine_loads_received").Inc(1)
	c.cfg.EngineLoads.RecordAnswer(clock.Now(), report)
}

// RateFromHeader returns the engine's rate limit from the response header of its owner, or nil if the header is missing or
// invalid.
func RateFromHeader(h http.Header) *ratelimit.Report {
	encoded := h.Get(headerRate)
	if encoded == "" {
		return nil
	}
	report := &ratelimit.Report{}
	if err := json.Unmarshal([]byte(encoded), report); err != nil {
		klog.ErrorS(err, "invalid rate limit in the response of an engine owner; ignored")
		return nil
	}
	return report
}

// QueueRate queues the rate limit that an engine reported, to be sent to its owner at address.
func (c *Client) QueueRate(address netip.AddrPort, engine string, report ratelimit.Report) {
	c.queueUpdate(grantUpdate{address: address, rate: &engineRate{engine, report}})
}

// readAnswer converts the owner's response to a grant or an error.
func (c *Client) readAnswer(resp *http.Response, address netip.AddrPort) (*Grant, error) {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, result.New(result.OwnerSilent, "%v", err)
	}
	if resp.StatusCode != http.StatusOK {
		if e, ok := result.Decode(b); ok {
			return nil, e
		}
		return nil, result.New(result.OwnerSilent, "status %d", resp.StatusCode)
	}
	var answer acquireAnswer
	if err := json.Unmarshal(b, &answer); err != nil {
		return nil, result.New(result.OwnerSilent, "%v", err)
	}
	// A grant may be given up while its answer still arrives.
	var gap atomic.Int64
	return &Grant{
		RecordGap:        func(longest time.Duration) { gap.Store(int64(longest)) },
		Stalled:          answer.Stalled,
		ReportFirstToken: func() { c.queueUpdate(grantUpdate{address: address, end: grantEnd{ID: answer.ID}, firstToken: true}) },
		End: func(e owner.End) {
			c.queueUpdate(grantUpdate{address: address, end: grantEnd{answer.ID, e, time.Duration(gap.Load())}})
		},
	}, nil
}

// queueUpdate adds an update to the messages that Serve sends.
func (c *Client) queueUpdate(u grantUpdate) { c.updates.Add(u.address, u) }

// Serve sends the updates to the owners until ctx is done.
func (c *Client) Serve(ctx context.Context) error { return c.updates.Serve(ctx) }

// mergeUpdates combines the updates for one owner into one message.
func mergeUpdates(updates []grantUpdate) updateMessage {
	var msg updateMessage
	for _, u := range updates {
		switch {
		case u.rate != nil:
			msg.Rates = append(msg.Rates, *u.rate)
		case u.firstToken:
			msg.FirstTokens = append(msg.FirstTokens, u.end.ID)
		default:
			msg.Ends = append(msg.Ends, u.end)
		}
	}
	return msg
}

// sendUpdates sends updates to the owner at address. If the call fails, it counts and logs the ends that were lost.
func (c *Client) sendUpdates(ctx context.Context, address netip.AddrPort, updates []grantUpdate) {
	msg := mergeUpdates(updates)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), updateTimeout)
	defer cancel()
	if err := c.postUpdates(ctx, address, msg); err != nil {
		c.cfg.Scope.Counter("grant_ends_lost").Inc(int64(len(msg.Ends)))
		klog.V(1).InfoS("grant ends not delivered; the grants will expire", "owner", address, "ends", len(msg.Ends), "err", err)
	}
}

func (c *Client) postUpdates(ctx context.Context, address netip.AddrPort, msg updateMessage) error {
	body, err := json.Marshal(msg)
	if err != nil {
		return eris.Wrap(err, "grant: encoding updates failed")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+pathEnd, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "grant: creating update request failed")
	}
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return eris.Wrap(err, "grant: sending updates failed")
	}
	httpx.Drain(resp.Body)
	return nil
}
