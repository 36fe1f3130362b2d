package notice

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/gather"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/part"
)

// Paths of the protocol: one tells a box news, the other compares what two boxes know.
const (
	pathTell    = "/peer/notices/tell"
	pathCompare = "/peer/notices/compare"
)

const (
	// tellTimeout bounds a message: a round trip between zones takes 3 ms, on a busy box some 50.
	tellTimeout = 250 * time.Millisecond
	// toldAtOnce bounds the boxes that are told at the same time.
	toldAtOnce = 32
	// newsEvery gathers what endpoints say at the same moment, newsRing bounds it; what is lost is found by comparing.
	newsEvery = 10 * time.Millisecond
	newsRing  = 1024
	// compareEvery is how often a box compares what it knows with another one, drawn anew each time: a new box, or one that was cut off or stood still,
	// knows within two, wherever it is and whether there is a coordinator or a store.
	compareEvery = time.Second
	// firstEvery is how often a box that has started tries until it has compared once, firstTries how often at the most: it takes requests from then on.
	firstEvery = 20 * time.Millisecond
	firstTries = 3
	maxMessage = 512 << 10
)

// message is what one box tells another.
type message struct {
	// Sum stands for all that the sender knows, see sumOf.
	Sum  uint64 `json:"sum"`
	Left []Left `json:"left,omitempty"`
}

// sumOf returns a number that two boxes which know the same endpoints to leave have in common.
func sumOf(all []Left) uint64 {
	sum := uint64(0)
	for _, l := range all {
		sum ^= xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(l.Endpoint), uint64(l.Started)))
	}
	return sum
}

// ClientConfig configures a Client.
type ClientConfig struct {
	HTTP  *http.Client
	Board *Board
	// Others returns the other boxes that are there.
	Others func() []netip.AddrPort
	Scope  tally.Scope
}

// Client tells other boxes which endpoints leave. The first box that hears it tells all: it is said once in a life, and each box that does not know sends
// requests to an endpoint that may end under them.
type Client struct {
	cfg  ClientConfig
	news *gather.Gatherer[struct{}, Endpoint]
	done chan struct{}
	// first says that a comparison has been tried as often as it has to be after a start.
	first atomic.Bool
}

// NewClient returns a Client; its Serve has to run.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg, done: make(chan struct{})}
	c.news = gather.New(gather.Config[struct{}, Endpoint]{
		Ring: newsRing, Every: newsEvery, Send: c.tellAll,
		Dropped: func() { cfg.Scope.Counter("notices_dropped").Inc(1) },
	})
	return c
}

// Done is closed when Serve has ended.
func (c *Client) Done() <-chan struct{} { return c.done }

// Leaves tells the other boxes, soon, that an endpoint told this one that it leaves.
func (c *Client) Leaves(e Endpoint) { c.news.Add(struct{}{}, e) }

// Serve tells and compares until ctx ends.
func (c *Client) Serve(ctx context.Context) error {
	defer part.CloseAtEnd(ctx, c.done)
	var group errgroup.Group
	group.Go(func() error { return c.news.Serve(ctx) })
	c.catchUp(ctx)
	for part.Sleep(ctx, compareEvery) {
		c.compare(ctx)
	}
	return group.Wait()
}

// CaughtUp reports whether this box knows, as far as others answer, what they knew when it started.
func (c *Client) CaughtUp() bool { return c.first.Load() || len(c.cfg.Others()) == 0 }

// catchUp compares for the first time, once other boxes are known.
func (c *Client) catchUp(ctx context.Context) {
	for tries := 0; tries < firstTries; {
		if len(c.cfg.Others()) > 0 {
			if c.compare(ctx) {
				break
			}
			tries++
		}
		if !part.Sleep(ctx, firstEvery) {
			return
		}
	}
	c.first.Store(true)
}

// tellAll tells every other box of endpoints that leave.
func (c *Client) tellAll(ctx context.Context, _ struct{}, all []Endpoint) {
	var m message
	for _, e := range all {
		m.Left = append(m.Left, Left{Endpoint: e.Name, Started: e.Started, Reused: e.Reused})
	}
	var group errgroup.Group
	group.SetLimit(toldAtOnce)
	for _, address := range c.cfg.Others() {
		group.Go(func() error {
			if _, err := c.post(context.WithoutCancel(ctx), address, pathTell, m); err != nil {
				c.cfg.Scope.Counter("notices_untold").Inc(1)
				klog.V(1).InfoS("box not told of endpoints that leave; it finds out by comparing", "box", address, "endpoints", len(all), "err", err)
			}
			return nil
		})
	}
	// Calls return no error.
	_ = group.Wait()
}

// compare compares what this box knows with another one: each tells the other what only it knows. It reports whether that one answered.
func (c *Client) compare(ctx context.Context) bool {
	others := c.cfg.Others()
	if len(others) == 0 {
		return false
	}
	address := others[rand.IntN(len(others))]
	known := c.cfg.Board.Left(clock.Now())
	answer, err := c.post(ctx, address, pathCompare, message{Sum: sumOf(known)})
	if err != nil {
		c.cfg.Scope.Counter("notices_uncompared").Inc(1)
		return false
	}
	c.cfg.Board.Told(clock.Now(), answer.Left)
	known = c.cfg.Board.Left(clock.Now())
	if sumOf(known) == answer.Sum {
		return true
	}
	if _, err := c.post(ctx, address, pathTell, message{Left: known}); err != nil {
		klog.V(1).InfoS("box not told of endpoints that leave", "box", address, "err", err)
	}
	return true
}

func (c *Client) post(ctx context.Context, to netip.AddrPort, path string, m message) (message, error) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var answer message
	err := httpx.AskOnce(ctx, c.cfg.HTTP, "http://"+to.String()+path, m, &answer)
	return answer, eris.Wrap(err, "notice: call")
}
