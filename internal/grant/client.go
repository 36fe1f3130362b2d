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
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/part"
	"github.com/bellgap/bellgap/internal/result"
)

const (
	// aliveWithin is how long an owner may be silent. A round trip between zones takes 2 to 3 ms, so a box that says nothing
	// for this long is busy beyond use, frozen, cut off or gone.
	aliveWithin = 180 * time.Millisecond
	// endRing bounds the ends that wait to be told; an owner that misses one lets the grant expire.
	endRing = 4096
	// endEvery gathers the ends for one owner into one call.
	endEvery = 25 * time.Millisecond
	// endTimeout bounds a call that tells ends.
	endTimeout = time.Second
	// maxAnswer bounds an answer.
	maxAnswer = 64 << 10
)

// ClientConfig configures a Client.
type ClientConfig struct {
	HTTP  *http.Client
	Scope tally.Scope
}

// Client asks owners on other boxes. Its Serve has to run, to tell them how requests ended.
type Client struct {
	cfg  ClientConfig
	ends chan farEnd
	done chan struct{}
}

type farEnd struct {
	address netip.AddrPort
	end     end
}

// NewClient returns a Client.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, ends: make(chan farEnd, endRing), done: make(chan struct{})}
}

// Done is closed when Serve has ended.
func (c *Client) Done() <-chan struct{} { return c.done }

// Acquire waits for a grant of the owner at address. The error is a *result.Error; the request has not run.
// OwnerSilent as its code says that the owner did not answer.
func (c *Client) Acquire(ctx context.Context, address netip.AddrPort, a Ask) (*Grant, error) {
	body, err := json.Marshal(a)
	if err != nil {
		return nil, result.New(result.BadRequest, "%v", err)
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := time.AfterFunc(aliveWithin, cancel)
	defer watch.Stop()
	trace := &httptrace.ClientTrace{Got1xxResponse: func(int, textproto.MIMEHeader) error {
		watch.Reset(aliveWithin)
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
	return c.read(resp, address)
}

func (c *Client) read(resp *http.Response, address netip.AddrPort) (*Grant, error) {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, result.New(result.OwnerSilent, "%v", err)
	}
	if resp.StatusCode != http.StatusOK {
		if e, ok := result.Decode(b); ok {
			return nil, e
		}
		return nil, result.New(result.OwnerSilent, "status %d", resp.StatusCode)
	}
	var g given
	if err := json.Unmarshal(b, &g); err != nil {
		return nil, result.New(result.OwnerSilent, "%v", err)
	}
	return &Grant{Stalled: g.Stalled, End: func(e owner.End) { c.tell(address, g.ID, e) }}, nil
}

// tell queues the end of a granted request.
func (c *Client) tell(address netip.AddrPort, id uint64, e owner.End) {
	select {
	case c.ends <- farEnd{address, end{id, e}}:
	default:
		c.cfg.Scope.Counter("grant_ends_dropped").Inc(1)
	}
}

// Serve tells owners how requests ended, until ctx ends.
func (c *Client) Serve(ctx context.Context) error {
	defer part.CloseAtEnd(ctx, c.done)
	var calls errgroup.Group
	defer func() { _ = calls.Wait() }()
	for {
		select {
		case first := <-c.ends:
			c.gather(ctx, &calls, first)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// gather waits a little for more ends and sends one call an owner.
func (c *Client) gather(ctx context.Context, calls *errgroup.Group, first farEnd) {
	byOwner := map[netip.AddrPort][]end{first.address: {first.end}}
	timer := time.NewTimer(endEvery)
	defer timer.Stop()
	for waiting := true; waiting; {
		select {
		case e := <-c.ends:
			byOwner[e.address] = append(byOwner[e.address], e.end)
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
	}
	for address, ends := range byOwner {
		calls.Go(func() error { c.sendEnds(ctx, address, ends); return nil })
	}
}

func (c *Client) sendEnds(ctx context.Context, address netip.AddrPort, ends []end) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	if err := c.post(ctx, address, ended{ends}); err != nil {
		c.cfg.Scope.Counter("grant_ends_lost").Inc(int64(len(ends)))
		klog.V(1).InfoS("ends of grants not told; they expire", "owner", address, "ends", len(ends), "err", err)
	}
}

func (c *Client) post(ctx context.Context, address netip.AddrPort, msg ended) error {
	body, err := json.Marshal(msg)
	if err != nil {
		return eris.Wrap(err, "grant: encode")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+pathEnd, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "grant: request")
	}
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return eris.Wrap(err, "grant: call")
	}
	httpx.Drain(resp.Body)
	return nil
}
