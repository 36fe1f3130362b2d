package places

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/gather"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/recent"
)

const (
	pathTake = "/peer/place"
	pathEnd  = "/peer/places/end"
	// askTimeout bounds an ask: a round trip between zones takes 3 ms, on a busy box some 50. Objectives of plain requests are 150 ms and more.
	askTimeout = 60 * time.Millisecond
	endTimeout = time.Second
	// silentFor is how long a box that did not answer is not asked.
	silentFor = time.Second
	// endsEvery gathers the ends for one keeper into one message, endsRing bounds those that wait.
	endsEvery = 10 * time.Millisecond
	endsRing  = 4096
)

// Keepers says which box keeps the count of an endpoint. It is an interface at the boundary to membership.
type Keepers interface {
	// For returns the address of the box that keeps the count, and whether it is this one; ok is false if there is none.
	For(endpoint string) (address netip.AddrPort, here, ok bool)
}

// ClientConfig configures a Client.
type ClientConfig struct {
	HTTP    *http.Client
	Keepers Keepers
	// Keeper is that of this box.
	Keeper *Keeper
	Scope  tally.Scope
}

// Client takes places for the requests of this box. Its Serve has to run.
type Client struct {
	cfg    ClientConfig
	silent *recent.Set[netip.AddrPort]
	ends   *gather.Gatherer[netip.AddrPort, End]
}

// NewClient returns a Client.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg, silent: recent.New[netip.AddrPort](silentFor)}
	c.ends = gather.New(gather.Config[netip.AddrPort, End]{
		Ring: endsRing, Every: endsEvery, Send: c.tell,
		Dropped: func() { cfg.Scope.Counter("place_ends_dropped").Inc(1) },
	})
	return c
}

// Done is closed when Serve has ended.
func (c *Client) Done() <-chan struct{} { return c.ends.Done() }

// Serve tells keepers of ends until ctx ends.
func (c *Client) Serve(ctx context.Context) error { return c.ends.Serve(ctx) }

// Place is held by one request until End is called. Call it once, with the time until the answer came, or zero if none came that says how
// fast the endpoint is.
type Place struct {
	End func(took time.Duration)
}

// Take asks for a place. The Place is nil if there is none, and wait is then when to come back. While nobody keeps the count every request gets one.
func (c *Client) Take(ctx context.Context, a Ask) (p *Place, wait time.Duration) {
	address, here, ok := c.cfg.Keepers.For(a.Endpoint)
	if !ok || (!here && c.silent.Has(address, clock.Now())) {
		return uncounted(), 0
	}
	if here {
		answer := c.cfg.Keeper.Take(clock.Now(), a)
		return c.place(a, answer, c.cfg.Keeper.End)
	}
	answer, err := c.ask(ctx, address, a)
	if err != nil {
		c.cfg.Scope.Counter("places_unanswered").Inc(1)
		klog.V(2).InfoS("no word on places", "endpoint", a.Endpoint, "keeper", address, "err", err)
		return uncounted(), 0
	}
	return c.place(a, answer, func(e End) { c.ends.Add(address, e) })
}

// uncounted returns a place that nobody counts.
func uncounted() *Place { return &Place{End: func(time.Duration) {}} }

func (c *Client) place(a Ask, answer Answer, end func(End)) (*Place, time.Duration) {
	if !answer.Granted {
		return nil, answer.Wait
	}
	return &Place{End: func(took time.Duration) { end(End{Endpoint: a.Endpoint, ID: answer.ID, Took: took}) }}, 0
}

// ask asks the keeper at an address. One that does not answer is not asked again for a while.
func (c *Client) ask(ctx context.Context, address netip.AddrPort, a Ask) (Answer, error) {
	timed, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var answer Answer
	err := httpx.AskOnce(timed, c.cfg.HTTP, "http://"+address.String()+pathTake, a, &answer)
	if httpx.IsUnanswered(err) && ctx.Err() == nil {
		c.silent.Add(address, clock.Now())
	}
	return answer, eris.Wrap(err, "places: call")
}

// tell tells a keeper of ends.
func (c *Client) tell(ctx context.Context, address netip.AddrPort, all []End) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTimeout)
	defer cancel()
	resp, err := httpx.PostOnce(ctx, c.cfg.HTTP, "http://"+address.String()+pathEnd, all)
	if err != nil {
		c.cfg.Scope.Counter("place_ends_lost").Inc(int64(len(all)))
		klog.V(1).InfoS("ends of places not told; they expire", "keeper", address, "ends", len(all), "err", err)
		return
	}
	httpx.Drain(resp.Body)
}
