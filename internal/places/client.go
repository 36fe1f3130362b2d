package places

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/gather"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/recent"
)

const (
	pathAcquire = "/peer/place"
	pathEnd     = "/peer/places/end"
	// acquireTimeout limits one call to the keeper. A round trip between zones takes 3 ms, and about 50 ms if a box is busy.
	// Latency objectives of plain requests are 150 ms and more.
	acquireTimeout = 60 * time.Millisecond
	endTimeout     = time.Second
	// uncountedWait is the wait before the retry of a request to a brittle endpoint that has no keeper: a new one is found within a
	// heartbeat or two.
	uncountedWait = 500 * time.Millisecond
	// unresponsivePeriod is how long no further call is sent to a box that did not answer.
	unresponsivePeriod = time.Second
	// endsInterval is the time over which ended requests are collected into one message per keeper.
	// endsBufferSize limits the number of ended requests that wait to be sent.
	endsInterval   = 10 * time.Millisecond
	endsBufferSize = 4096
)

// Locator finds the keeper of an endpoint, which is the box that counts its requests. The interface separates this package from
// cluster membership.
type Locator interface {
	// BoxFor returns the address of the keeper and whether the keeper is this box. ok is false if the endpoint has no keeper.
	BoxFor(endpoint string) (address netip.AddrPort, here, ok bool)
}

// ClientConfig configures a Client.
type ClientConfig struct {
	HTTP    *http.Client
	Locator Locator
	// Keeper counts the requests at the endpoints that this box is responsible for.
	Keeper *Keeper
	// Rates holds the rate limits of endpoints that are known to this box.
	Rates *ratelimit.Registry
	Scope tally.Scope
}

// Client acquires places for the requests of this box. Serve must run while the Client is in use.
type Client struct {
	cfg          ClientConfig
	unresponsive *recent.Set[netip.AddrPort]
	ends         *gather.Gatherer[netip.AddrPort, EndReport]

	mu sync.Mutex
	// uncounted holds the brittle endpoints at which this box has a request that no keeper counts.
	uncounted map[string]bool
}

// NewClient returns a Client, which sends nothing about ended requests until Serve runs.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg, unresponsive: recent.New[netip.AddrPort](unresponsivePeriod), uncounted: map[string]bool{}}
	c.ends = gather.New(gather.Config[netip.AddrPort, EndReport]{
		QueueSize: endsBufferSize, BatchWindow: endsInterval, Send: c.sendEnds,
		OnDrop: func() { cfg.Scope.Counter("place_ends_dropped").Inc(1) },
	})
	return c
}

// Done returns a channel that is closed when Serve has returned.
func (c *Client) Done() <-chan struct{} { return c.ends.Done() }

// Serve reports ended requests to their keepers until ctx is done.
func (c *Client) Serve(ctx context.Context) error { return c.ends.Serve(ctx) }

// Place permits one request at an endpoint until End is called. End must be called exactly once.
type Place struct {
	End func(Outcome)
}

// Outcome describes how a request with a place ended. Its zero value shows nothing about the endpoint.
type Outcome struct {
	// Latency is the time until the response arrived, zero if none arrived that shows the speed of the endpoint.
	Latency time.Duration
	// Rejected is true if the endpoint rejected the request for want of room, Down if nothing listened at its address.
	Rejected, Down bool
}

// Refusal is the reason why a request received no place.
type Refusal struct {
	// Wait is the time after which the request may be retried.
	Wait time.Duration
	// RateLimited is true if the endpoint's rate limit is exhausted, and false if the endpoint has too many requests in progress. Brittle
	// is true if it may have no more of them because it is brittle.
	RateLimited bool
	Brittle     bool
}

// Acquire acquires a place for one request. The Place is nil if the request was refused. While no keeper is available, only this
// box's own share of the endpoint's rate limits the requests.
func (c *Client) Acquire(ctx context.Context, req Request) (*Place, Refusal) {
	req.Rate = c.knownRate(req)
	address, here, ok := c.cfg.Locator.BoxFor(req.Endpoint)
	if !ok || (!here && c.unresponsive.Has(address, clock.Now())) {
		return c.acquireUncounted(req)
	}
	sentAt := clock.Now()
	req.Counts = c.cfg.Rates.RecentCounts(sentAt, req.Endpoint)
	if here {
		answer := c.cfg.Keeper.Acquire(sentAt, req)
		c.recordCount(sentAt, req.Endpoint, answer)
		return c.placeOrRefusal(req, answer, func(e EndReport) {
			c.cfg.Keeper.UpdateRate(clock.Now(), e.Endpoint, e.Rate)
			c.cfg.Keeper.End(clock.Now(), e)
		})
	}
	answer, err := c.requestPlace(ctx, address, req)
	if err != nil {
		c.cfg.Scope.Counter("places_unanswered").Inc(1)
		klog.V(2).InfoS("place request to keeper failed; falling back to own share of the rate", "endpoint", req.Endpoint, "keeper", address, "err", err)
		return c.acquireUncounted(req)
	}
	if answer.Rate != nil {
		c.cfg.Rates.Record(clock.Now(), req.Endpoint, *answer.Rate)
	}
	c.recordCount(sentAt, req.Endpoint, answer)
	return c.placeOrRefusal(req, answer, func(e EndReport) { c.ends.Add(address, e) })
}

// recordCount stores the count in a keeper's answer, for the next keeper.
func (c *Client) recordCount(sentAt time.Time, endpoint string, answer Answer) {
	if answer.Count != nil {
		c.cfg.Rates.RecordCount(sentAt, endpoint, *answer.Count)
	}
}

// knownRate returns the latest known rate limit of the endpoint, or nil if none is known.
func (c *Client) knownRate(req Request) *ratelimit.Report {
	if !c.cfg.Rates.HasReports() {
		return nil
	}
	return c.cfg.Rates.LatestReport(clock.Now(), req.Endpoint, req.Started)
}

// acquireUncounted acquires a place without a keeper, limited only by this box's own share of the endpoint's rate.
func (c *Client) acquireUncounted(req Request) (*Place, Refusal) {
	end, ok := c.takeUncounted(req)
	if !ok {
		c.cfg.Scope.Counter("brittle_refused").Inc(1)
		return nil, Refusal{Wait: uncountedWait, Brittle: true}
	}
	if wait, ok := c.cfg.Rates.TakeOwnShare(clock.Now(), req.Endpoint, req.Started); !ok {
		end()
		return nil, Refusal{Wait: wait, RateLimited: true}
	}
	return &Place{End: func(Outcome) { end() }}, Refusal{}
}

// takeUncounted takes the only place that this box has at a brittle endpoint without a keeper, and returns how to give it back.
func (c *Client) takeUncounted(req Request) (end func(), ok bool) {
	if report := c.knownRate(req); !req.Careful && (report == nil || !report.Brittle) {
		return func() {}, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uncounted[req.Endpoint] {
		return nil, false
	}
	c.uncounted[req.Endpoint] = true
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.uncounted, req.Endpoint)
	}, true
}

// placeOrRefusal converts the keeper's answer to a place or a refusal.
func (c *Client) placeOrRefusal(req Request, answer Answer, end func(EndReport)) (*Place, Refusal) {
	if !answer.Granted {
		if answer.RateLimited {
			c.cfg.Scope.Counter("rate_refused").Inc(1)
		}
		if answer.Brittle {
			c.cfg.Scope.Counter("brittle_refused").Inc(1)
		}
		return nil, Refusal{Wait: answer.Wait, RateLimited: answer.RateLimited, Brittle: answer.Brittle}
	}
	return &Place{End: func(o Outcome) {
		end(EndReport{Endpoint: req.Endpoint, ID: answer.ID, Latency: o.Latency, Rejected: o.Rejected, Down: o.Down, Rate: c.knownRate(req)})
	}}, Refusal{}
}

// requestPlace sends the request to the keeper at address. A keeper that does not answer is skipped for unresponsivePeriod.
func (c *Client) requestPlace(ctx context.Context, address netip.AddrPort, req Request) (Answer, error) {
	callCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	var answer Answer
	err := httpx.CallOnce(callCtx, c.cfg.HTTP, "http://"+address.String()+pathAcquire, req, &answer)
	if httpx.IsUnanswered(err) && ctx.Err() == nil {
		c.unresponsive.Add(address, clock.Now())
	}
	return answer, eris.Wrap(err, "places: request to keeper failed")
}

// sendEnds sends ended requests to the keeper at address.
func (c *Client) sendEnds(ctx context.Context, address netip.AddrPort, ends []EndReport) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	resp, err := httpx.PostOnce(ctx, c.cfg.HTTP, "http://"+address.String()+pathEnd, ends)
	if err != nil {
		c.cfg.Scope.Counter("place_ends_lost").Inc(int64(len(ends)))
		klog.V(1).InfoS("ended requests not reported; their places will expire", "keeper", address, "ends", len(ends), "err", err)
		return
	}
	httpx.Drain(resp.Body)
}
