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
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/gather"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/result"
)

const (
	// aliveWithin is how long an owner may be silent. A round trip between zones takes 2 to 3 ms, so a box that says nothing
	// for this long is busy beyond use, frozen, cut off or gone.
	aliveWithin = 180 * time.Millisecond
	// newsRing bounds the news that wait to be told; an owner that misses an end lets the grant expire.
	newsRing = 4096
	// newsEvery gathers the news for one owner into one call.
	newsEvery = 25 * time.Millisecond
	// newsTimeout bounds a call that tells news.
	newsTimeout = time.Second
	// maxAnswer bounds an answer.
	maxAnswer = 64 << 10
)

// ClientConfig configures a Client.
type ClientConfig struct {
	HTTP *http.Client
	// Rates is what this box knows of the engines' rates.
	Rates *ratelimit.Book
	Scope tally.Scope
}

// Client asks owners on other boxes. Its Serve has to run, to tell them how requests go and ended.
type Client struct {
	cfg  ClientConfig
	news *gather.Gatherer[netip.AddrPort, news]
}

// news is what the owner at an address is to hear of a grant: its end or, if read, that the first token has come. With rate it is what an engine
// said of its rate.
type news struct {
	address netip.AddrPort
	end     end
	read    bool
	rate    *engineRate
}

// NewClient returns a Client.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg}
	c.news = gather.New(gather.Config[netip.AddrPort, news]{
		Ring: newsRing, Every: newsEvery, Send: c.send,
		Dropped: func() { cfg.Scope.Counter("grant_news_dropped").Inc(1) },
	})
	return c
}

// Done is closed when Serve has ended.
func (c *Client) Done() <-chan struct{} { return c.news.Done() }

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
	if w := ToldRate(resp.Header); w != nil {
		c.cfg.Rates.Heard(clock.Now(), a.Engine, *w)
	}
	return c.read(resp, address)
}

// ToldRate returns what an owner told of its engine's rate, nil if that is nothing.
func ToldRate(h http.Header) *ratelimit.Word {
	text := h.Get(headerRate)
	if text == "" {
		return nil
	}
	w := &ratelimit.Word{}
	if err := json.Unmarshal([]byte(text), w); err != nil {
		klog.ErrorS(err, "rate told by an owner not understood")
		return nil
	}
	return w
}

// TellRate tells the owner at address what its engine said of its rate.
func (c *Client) TellRate(address netip.AddrPort, engine string, w ratelimit.Word) {
	c.tell(news{address: address, rate: &engineRate{engine, w}})
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
	return &Grant{
		Stalled: g.Stalled,
		Read:    func() { c.tell(news{address: address, end: end{ID: g.ID}, read: true}) },
		End:     func(e owner.End) { c.tell(news{address: address, end: end{g.ID, e}}) },
	}, nil
}

// tell queues news of a granted request.
func (c *Client) tell(n news) { c.news.Add(n.address, n) }

// Serve tells owners how requests go and ended, until ctx ends.
func (c *Client) Serve(ctx context.Context) error { return c.news.Serve(ctx) }

// messageOf puts the news for one owner into one message.
func messageOf(all []news) ended {
	var msg ended
	for _, n := range all {
		switch {
		case n.rate != nil:
			msg.Rates = append(msg.Rates, *n.rate)
		case n.read:
			msg.Read = append(msg.Read, n.end.ID)
		default:
			msg.Ends = append(msg.Ends, n.end)
		}
	}
	return msg
}

func (c *Client) send(ctx context.Context, address netip.AddrPort, all []news) {
	msg := messageOf(all)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), newsTimeout)
	defer cancel()
	if err := c.post(ctx, address, msg); err != nil {
		c.cfg.Scope.Counter("grant_ends_lost").Inc(int64(len(msg.Ends)))
		klog.V(1).InfoS("ends of grants not told; they expire", "owner", address, "ends", len(msg.Ends), "err", err)
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
