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

// Paths of the protocol: pathNotify reports leaving endpoints to a box, pathCompare compares the leaving endpoints that two boxes
// know.
const (
	pathNotify  = "/peer/notices/tell"
	pathCompare = "/peer/notices/compare"
)

const (
	// callTimeout bounds a call to another box: a round trip between zones takes 3 ms, on a busy box about 50 ms.
	callTimeout = 250 * time.Millisecond
	// maxConcurrentCalls bounds the boxes that are notified at the same time.
	maxConcurrentCalls = 32
	// batchInterval is the time for which reports are collected into one message, since many endpoints may announce at the same
	// moment.
	batchInterval = 10 * time.Millisecond
	// batchCapacity bounds the reports waiting to be sent. Reports beyond it are dropped; other boxes get them by comparing.
	batchCapacity = 1024
	// compareInterval is the time between two comparisons with another box, which is picked at random each time. A box that is
	// new, was cut off or was suspended is up to date within two intervals, in every zone and also without a coordinator or a
	// store.
	compareInterval = time.Second
	// initialCompareInterval is the time between the attempts of a starting box to make its first comparison.
	initialCompareInterval = 20 * time.Millisecond
	// maxInitialCompares bounds the failed attempts at the first comparison. After them the box accepts requests without it.
	maxInitialCompares = 3
	maxMessageBytes    = 512 << 10
)

// message is the body of requests and replies between boxes.
type message struct {
	// Checksum identifies the set of leaving endpoints that the sender knows, see leavingChecksum.
	Checksum uint64            `json:"sum"`
	Leaving  []LeavingEndpoint `json:"left,omitempty"`
}

// leavingChecksum returns a checksum that is equal on boxes that know the same leaving endpoints, in whatever order.
func leavingChecksum(reports []LeavingEndpoint) uint64 {
	sum := uint64(0)
	for _, l := range reports {
		sum ^= xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(l.Endpoint), uint64(l.Started)))
	}
	return sum
}

// ClientConfig configures a Client.
type ClientConfig struct {
	HTTP  *http.Client
	Board *Board
	// OtherBoxes returns the addresses of the other running boxes.
	OtherBoxes func() []netip.AddrPort
	Scope      tally.Scope
}

// Client reports leaving endpoints to the other boxes. The box that receives the announcement notifies all others, because an
// endpoint announces only once per incarnation that it is leaving. A box that does not know this would send requests to the
// endpoint, which may end while they run.
type Client struct {
	cfg     ClientConfig
	batcher *gather.Gatherer[struct{}, Endpoint]
	done    chan struct{}
	// initialCompareDone is set once the first comparison after the start has succeeded or its attempts are used up.
	initialCompareDone atomic.Bool
}

// NewClient returns a Client. The caller must run Serve.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg, done: make(chan struct{})}
	c.batcher = gather.New(gather.Config[struct{}, Endpoint]{
		QueueSize: batchCapacity, BatchWindow: batchInterval, Send: c.notifyOthers,
		OnDrop: func() { cfg.Scope.Counter("notices_dropped").Inc(1) },
	})
	return c
}

// Done is closed when Serve has ended.
func (c *Client) Done() <-chan struct{} { return c.done }

// ReportLeaving queues a report to the other boxes that an endpoint has announced to this box that it is leaving.
func (c *Client) ReportLeaving(e Endpoint) { c.batcher.Add(struct{}{}, e) }

// Serve sends reports and compares with other boxes until ctx ends.
func (c *Client) Serve(ctx context.Context) error {
	defer part.CloseIfEnded(ctx, c.done)
	var group errgroup.Group
	group.Go(func() error { return c.batcher.Serve(ctx) })
	c.catchUp(ctx)
	for part.Sleep(ctx, compareInterval) {
		c.compare(ctx)
	}
	return group.Wait()
}

// IsCaughtUp reports whether the first comparison after the start has succeeded or its attempts are used up. It is always true
// while there are no other boxes.
func (c *Client) IsCaughtUp() bool {
	return c.initialCompareDone.Load() || len(c.cfg.OtherBoxes()) == 0
}

// catchUp makes the first comparison, once other boxes are known.
func (c *Client) catchUp(ctx context.Context) {
	for attempts := 0; attempts < maxInitialCompares; {
		if len(c.cfg.OtherBoxes()) > 0 {
			if c.compare(ctx) {
				break
			}
			attempts++
		}
		if !part.Sleep(ctx, initialCompareInterval) {
			return
		}
	}
	c.initialCompareDone.Store(true)
}

// notifyOthers sends leaving endpoints to every other box.
func (c *Client) notifyOthers(ctx context.Context, _ struct{}, endpoints []Endpoint) {
	var m message
	for _, e := range endpoints {
		m.Leaving = append(m.Leaving, LeavingEndpoint{Endpoint: e.Name, Started: e.Started, NameReused: e.NameReused})
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, address := range c.cfg.OtherBoxes() {
		group.Go(func() error {
			if _, err := c.post(context.WithoutCancel(ctx), address, pathNotify, m); err != nil {
				c.cfg.Scope.Counter("notices_untold").Inc(1)
				klog.V(1).InfoS("leaving endpoints not delivered to box; it gets them by comparing", "box", address, "endpoints", len(endpoints), "err", err)
			}
			return nil
		})
	}
	// The functions of the group always return nil.
	_ = group.Wait()
}

// compare exchanges leaving endpoints with a random other box if their checksums differ, so that both know all of them. It
// reports whether the other box answered.
func (c *Client) compare(ctx context.Context) bool {
	others := c.cfg.OtherBoxes()
	if len(others) == 0 {
		return false
	}
	address := others[rand.IntN(len(others))]
	known := c.cfg.Board.LeavingEndpoints(clock.Now())
	answer, err := c.post(ctx, address, pathCompare, message{Checksum: leavingChecksum(known)})
	if err != nil {
		c.cfg.Scope.Counter("notices_uncompared").Inc(1)
		return false
	}
	c.cfg.Board.MergeLeaving(clock.Now(), answer.Leaving)
	known = c.cfg.Board.LeavingEndpoints(clock.Now())
	if leavingChecksum(known) == answer.Checksum {
		return true
	}
	if _, err := c.post(ctx, address, pathNotify, message{Leaving: known}); err != nil {
		klog.V(1).InfoS("leaving endpoints not delivered to box", "box", address, "err", err)
	}
	return true
}

func (c *Client) post(ctx context.Context, to netip.AddrPort, path string, m message) (message, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer message
	err := httpx.CallOnce(ctx, c.cfg.HTTP, "http://"+to.String()+path, m, &answer)
	return answer, eris.Wrap(err, "notice: call")
}
