package origin

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/gather"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/recent"
)

// Paths of the protocol: pathRecord receives records, pathFind returns the record of an attempt.
const (
	pathRecord = "/peer/origins/record"
	pathFind   = "/peer/origins/find"
)

const (
	// keepers is the number of other boxes that keep a record. askedBoxes is the number of boxes that are asked for one. It is higher,
	// so that the change of one member between record and question does not hide a record.
	keepers    = 3
	askedBoxes = keepers + 2
	// findTimeout limits the questions for one record: a round trip between zones takes 3 ms, on a busy box about 50 ms.
	findTimeout = 150 * time.Millisecond
	// recordTimeout limits a message with records.
	recordTimeout = time.Second
	// batchWindow is how long records are collected into one message, queueSize limits the records that wait for it.
	batchWindow = 10 * time.Millisecond
	queueSize   = 4096
	// unresponsivePeriod is how long a box that did not answer is not asked again.
	unresponsivePeriod = time.Second
)

// Fleet selects the boxes that keep records. The interface separates this package from cluster membership.
type Fleet interface {
	// Keepers returns up to n boxes for the records of an attempt, best first and without this box. All boxes with the same cell map
	// select from the same order.
	Keepers(attempt string, n int) []netip.AddrPort
}

// ClientConfig configures a Client.
type ClientConfig struct {
	HTTP     *http.Client
	Register *Register
	Fleet    Fleet
	Scope    tally.Scope
}

// Client records the origins of this box's streams, here and at other boxes, and finds those of other boxes' streams. Serve must run
// while the Client is in use.
type Client struct {
	cfg          ClientConfig
	unresponsive *recent.Set[netip.AddrPort]
	records      *gather.Gatherer[netip.AddrPort, Record]
}

// NewClient returns a Client.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg, unresponsive: recent.New[netip.AddrPort](unresponsivePeriod)}
	c.records = gather.New(gather.Config[netip.AddrPort, Record]{
		QueueSize: queueSize, BatchWindow: batchWindow, Send: c.sendRecords,
		OnDrop: func() { cfg.Scope.Counter("stream_origins_dropped").Inc(1) },
	})
	return c
}

// Done returns a channel that is closed when Serve has returned.
func (c *Client) Done() <-chan struct{} { return c.records.Done() }

// Serve sends records until ctx ends.
func (c *Client) Serve(ctx context.Context) error { return c.records.Serve(ctx) }

// Len returns the number of records that this box keeps.
func (c *Client) Len() int { return c.cfg.Register.Len() }

// Record keeps a record of an attempt that this box serves, and queues it for other boxes. It does not block.
func (c *Client) Record(r Record) {
	if !r.isValid() {
		return
	}
	c.cfg.Register.Put(clock.Now(), r, true)
	for _, box := range c.cfg.Fleet.Keepers(r.Attempt, keepers) {
		c.records.Add(box, r)
	}
}

// Find returns the record of an attempt. It asks other boxes unless this box served the attempt. If their answers differ, the record
// of the last endpoint counts.
func (c *Client) Find(ctx context.Context, attempt string) (Record, bool) {
	if attempt == "" || len(attempt) > maxTextBytes {
		return Record{}, false
	}
	best, firsthand, found := c.cfg.Register.Find(clock.Now(), attempt)
	if firsthand {
		return best, true
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	var mu sync.Mutex
	var group errgroup.Group
	for _, box := range c.cfg.Fleet.Keepers(attempt, askedBoxes) {
		if c.unresponsive.Has(box, clock.Now()) {
			continue
		}
		group.Go(func() error {
			r, ok := c.ask(ctx, box, attempt)
			mu.Lock()
			defer mu.Unlock()
			if ok && (!found || r.Sequence > best.Sequence) {
				best, found = r, true
			}
			return nil
		})
	}
	// The goroutines return no errors.
	_ = group.Wait()
	return best, found
}

// ask asks one box for the record of an attempt. A box that answers with an error, for example because it is of an older release,
// knows none.
func (c *Client) ask(ctx context.Context, box netip.AddrPort, attempt string) (Record, bool) {
	var answer findAnswer
	err := httpx.CallOnce(ctx, c.cfg.HTTP, "http://"+box.String()+pathFind, findQuestion{attempt}, &answer)
	if httpx.IsUnanswered(err) {
		c.unresponsive.Add(box, clock.Now())
	}
	if err != nil {
		klog.V(1).InfoS("question for the origin of a stream failed", "box", box, "err", err)
		c.cfg.Scope.Counter("stream_origin_questions_failed").Inc(1)
		return Record{}, false
	}
	return answer.Record, answer.Known && answer.Record.Attempt == attempt && answer.Record.isValid()
}

// sendRecords sends records to one box. A box that does not receive them knows less; the others still keep them.
func (c *Client) sendRecords(ctx context.Context, box netip.AddrPort, records []Record) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	for len(records) > 0 {
		n := min(len(records), maxRecordsPerMessage)
		resp, err := httpx.PostOnce(ctx, c.cfg.HTTP, "http://"+box.String()+pathRecord, recordMessage{records[:n]})
		if err != nil {
			klog.V(1).InfoS("origins of streams not delivered", "box", box, "records", len(records), "err", err)
			c.cfg.Scope.Counter("stream_origins_undelivered").Inc(int64(len(records)))
			return
		}
		httpx.Drain(resp.Body)
		records = records[n:]
	}
}
