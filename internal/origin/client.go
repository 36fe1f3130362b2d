package origin

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/gather"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/part"
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
	// archiveCheckInterval is how often a box checks for which services it has to archive records. maxServices limits the services.
	archiveCheckInterval = 200 * time.Millisecond
	maxServices          = 1024
)

// Fleet selects the boxes that keep records. The interface separates this package from cluster membership.
type Fleet interface {
	// Keepers returns up to n boxes for the records of an attempt, best first and without this box. All boxes with the same cell map
	// select from the same order.
	Keepers(attempt string, n int) []netip.AddrPort
	// IsArchived reports whether the records of a service are archived, in the given era of the store. With an empty name it reports
	// whether those of any service are.
	IsArchived(service string) (archived bool, era int64)
	// Archivist returns the box that archives the record of an attempt, and whether that is this box. It returns false if there is none.
	Archivist(attempt string) (box netip.AddrPort, isHere, ok bool)
	// ArchiveReaders returns the other boxes that read the archive for an attempt. There are none if this box reads it itself.
	ArchiveReaders(attempt string) []netip.AddrPort
}

// ClientConfig configures a Client.
type ClientConfig struct {
	HTTP     *http.Client
	Register *Register
	Fleet    Fleet
	// Archive keeps records in the platform's store; nil keeps none.
	Archive *Archive
	Scope   tally.Scope
}

// Client records the origins of this box's streams, here and at other boxes, and finds those of other boxes' streams. Serve must run
// while the Client is in use.
type Client struct {
	cfg          ClientConfig
	unresponsive *recent.Set[netip.AddrPort]
	records      *gather.Gatherer[netip.AddrPort, Record]

	mu sync.Mutex
	// services tells, for each service whose streams this box has served, whether their records are archived.
	services map[string]archiving
}

// archiving is the state of the records of one service: whether they are archived, in which era of the store.
type archiving struct {
	isOn bool
	era  int64
}

// NewClient returns a Client.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg, unresponsive: recent.New[netip.AddrPort](unresponsivePeriod), services: map[string]archiving{}}
	c.records = gather.New(gather.Config[netip.AddrPort, Record]{
		QueueSize: queueSize, BatchWindow: batchWindow, Send: c.sendRecords,
		OnDrop: func() { cfg.Scope.Counter("stream_origins_dropped").Inc(1) },
	})
	return c
}

// Done returns a channel that is closed when Serve has returned.
func (c *Client) Done() <-chan struct{} { return c.records.Done() }

// Serve sends records until ctx ends.
func (c *Client) Serve(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return c.records.Serve(ctx) })
	group.Go(func() error {
		for c.cfg.Archive != nil && part.Sleep(ctx, archiveCheckInterval) {
			for _, service := range c.servedServices() {
				c.checkArchived(service)
			}
		}
		return nil
	})
	return group.Wait()
}

// servedServices returns the services whose streams this box has served.
func (c *Client) servedServices() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.services))
}

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

// Begin archives the record of a stream whose first event is forwarded, if the records of its service are archived. It does not block.
func (c *Client) Begin(r Record) {
	if !r.isValid() {
		return
	}
	c.cfg.Register.MarkBegun(clock.Now(), r.Attempt)
	if c.cfg.Archive != nil && !c.checkArchived(r.Service) && c.isArchived(r.Service) {
		c.sendToArchivist(r)
	}
}

func (c *Client) isArchived(service string) bool {
	isArchived, _ := c.cfg.Fleet.IsArchived(service)
	return isArchived
}

// checkArchived begins to archive the records of a service if it is time to. It then sends those of all streams that have begun, and reports
// so.
func (c *Client) checkArchived(service string) (sent bool) {
	isArchived, era := c.cfg.Fleet.IsArchived(service)
	c.mu.Lock()
	last, isKnown := c.services[service]
	if isKnown || len(c.services) < maxServices {
		c.services[service] = archiving{isArchived, era}
	}
	c.mu.Unlock()
	if !isArchived || last == (archiving{true, era}) {
		return false
	}
	earlier := c.cfg.Register.Begun(clock.Now(), service)
	klog.InfoS("archiving the software versions of streams", "service", service, "records", len(earlier))
	for _, e := range earlier {
		c.sendToArchivist(e)
	}
	return true
}

// sendToArchivist adds a record to the archive, here or at the box that archives it.
func (c *Client) sendToArchivist(r Record) {
	box, isHere, ok := c.cfg.Fleet.Archivist(r.Attempt)
	switch {
	case !ok:
	case isHere:
		c.cfg.Archive.Add(r)
	default:
		r.Archive = true
		c.records.Add(box, r)
	}
}

// Find returns the record of an attempt. It asks other boxes unless this box served the attempt, and then the archive. If the answers of
// other boxes differ, the record of the last endpoint counts.
func (c *Client) Find(ctx context.Context, attempt string) (Record, bool) {
	if attempt == "" || len(attempt) > maxTextBytes {
		return Record{}, false
	}
	own, firsthand, found := c.cfg.Register.Find(clock.Now(), attempt)
	if firsthand {
		return own, true
	}
	best, ok := c.findAtAll(ctx, c.cfg.Fleet.Keepers(attempt, askedBoxes), findQuestion{Attempt: attempt})
	if found && (!ok || own.Sequence >= best.Sequence) {
		return own, true
	}
	if ok {
		return best, true
	}
	return c.findArchived(ctx, attempt)
}

// findArchived returns the archived record of an attempt, if any records are archived.
func (c *Client) findArchived(ctx context.Context, attempt string) (Record, bool) {
	if c.cfg.Archive == nil {
		return Record{}, false
	}
	if isArchived, _ := c.cfg.Fleet.IsArchived(""); !isArchived {
		return Record{}, false
	}
	if readers := c.cfg.Fleet.ArchiveReaders(attempt); len(readers) > 0 {
		return c.findAtAll(ctx, readers, findQuestion{Attempt: attempt, Archive: true})
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	r, ok, err := c.cfg.Archive.Find(ctx, attempt)
	if err != nil {
		klog.V(1).InfoS("stream archive not read for a stream", "err", err)
		c.cfg.Scope.Counter("stream_origin_questions_failed").Inc(1)
	}
	return r, ok
}

// findAtAll asks boxes for the record of an attempt, all at once. If their answers differ, the record of the last endpoint counts.
func (c *Client) findAtAll(ctx context.Context, boxes []netip.AddrPort, q findQuestion) (best Record, found bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	var mu sync.Mutex
	var group errgroup.Group
	for _, box := range boxes {
		if c.unresponsive.Has(box, clock.Now()) {
			continue
		}
		group.Go(func() error {
			r, ok := c.findAt(ctx, box, q)
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

// findAt asks one box for the record of an attempt. A box that answers with an error, for example because it is of an older release,
// knows none.
func (c *Client) findAt(ctx context.Context, box netip.AddrPort, q findQuestion) (Record, bool) {
	var answer findAnswer
	err := httpx.CallOnce(ctx, c.cfg.HTTP, "http://"+box.String()+pathFind, q, &answer)
	// A slow read of the archive does not tell whether the box answers other questions.
	if httpx.IsUnanswered(err) && !q.Archive {
		c.unresponsive.Add(box, clock.Now())
	}
	if err != nil {
		klog.V(1).InfoS("question for the origin of a stream failed", "box", box, "err", err)
		c.cfg.Scope.Counter("stream_origin_questions_failed").Inc(1)
		return Record{}, false
	}
	return answer.Record, answer.Known && answer.Record.Attempt == q.Attempt && answer.Record.isValid()
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
