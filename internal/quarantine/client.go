package quarantine

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/gather"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/part"
)

// Paths of the protocol.
const (
	// pathReport tells a box that keeps a case; it tells the others where that is due. pathTell tells any box.
	pathReport = "/peer/quarantine/report"
	pathTell   = "/peer/quarantine/tell"
)

const (
	// tellFrom is the number of endpoints from which every box is told of a case. One that ended alone is told to two boxes: where a sixth of all
	// engines end at once for another reason, thousands of requests were there, and hardly one of them meets a second end.
	tellFrom = 2
	// tellTimeout bounds a message: a round trip between zones takes 3 ms, on a busy box some 50. reportTimeout bounds a report with all that it causes.
	tellTimeout   = 250 * time.Millisecond
	reportTimeout = 600 * time.Millisecond
	// toldAtOnce bounds the boxes that are told at the same time.
	toldAtOnce = 32
	// repairEvery is how often a box looks for held requests that the cell map does not name, and tells the coordinator of them.
	repairEvery = time.Second
	// clearedRing bounds what waits to be told of requests that ran well, clearedEvery gathers it; what is lost counts on for its time.
	clearedRing  = 256
	clearedEvery = 50 * time.Millisecond
	maxMessage   = 256 << 10
)

// everyBox stands for all other boxes among the receivers of what has been cleared.
var everyBox netip.AddrPort

// Fleet says which boxes there are. It is an interface at the boundary to membership.
type Fleet interface {
	// Keepers returns the boxes that keep the cases of a fingerprint, and whether this one does too.
	Keepers(f Fingerprint) (others []netip.AddrPort, here bool)
	// Others returns the other boxes that are there.
	Others() []netip.AddrPort
	// Coordinator returns the box that publishes the cell map, if it is another one.
	Coordinator() (netip.AddrPort, bool)
	// Published returns the held requests that the newest cell maps name, and whether maps have changed since it was last asked.
	Published() (all []Held, changed bool)
}

// ClientConfig configures a Client.
type ClientConfig struct {
	HTTP     *http.Client
	Register *Register
	Fleet    Fleet
	Scope    tally.Scope
	// Off lets every request pass and counts nothing.
	Off bool
}

// Client is this box's part in the count of endpoints that end under requests. Two boxes that a hash chooses keep each case, so that the count is one
// over all boxes and outlives any of them; from the second endpoint on every box knows it; once the request is held the cell map names it, so
// that it stays held when all boxes start again.
type Client struct {
	cfg     ClientConfig
	cleared *gather.Gatherer[netip.AddrPort, Case]
	done    chan struct{}
	// looks joins looks at the same endpoint.
	looks singleflight.Group
	// maps is held while a new cell map is taken in.
	maps sync.Mutex
}

// NewClient returns a Client; its Serve has to run.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg, done: make(chan struct{})}
	c.cleared = gather.New(gather.Config[netip.AddrPort, Case]{
		Ring: clearedRing, Every: clearedEvery, Send: c.sendCleared,
		Dropped: func() { cfg.Scope.Counter("quarantine_clears_dropped").Inc(1) },
	})
	return c
}

// Done is closed when Serve has ended.
func (c *Client) Done() <-chan struct{} { return c.done }

// Held reports whether a request is held.
func (c *Client) Held(f Fingerprint) (v Verdict, held bool) {
	if c.cfg.Off {
		return v, false
	}
	c.takeMaps()
	return c.cfg.Register.Held(clock.Now(), f)
}

// ToPublish returns what the cell map is to name, if this box publishes it.
func (c *Client) ToPublish() []Held {
	c.takeMaps()
	return c.cfg.Register.ToPublish(clock.Now())
}

// Inherit takes in what a cell map names that this box is to continue.
func (c *Client) Inherit(all []Held) {
	for _, h := range all {
		c.cfg.Register.Add(clock.Now(), h.asCase())
	}
}

// Cases returns the requests under which endpoints have ended.
func (c *Client) Cases() []Case {
	c.takeMaps()
	return c.cfg.Register.Cases()
}

// takeMaps takes in what the newest cell maps name. Done before each look, so that no request passes between a map and what follows from it.
func (c *Client) takeMaps() {
	c.maps.Lock()
	defer c.maps.Unlock()
	if all, changed := c.cfg.Fleet.Published(); changed {
		c.cfg.Register.Published(clock.Now(), all)
	}
}

// Ended takes in that an endpoint ended while it had a request. It returns once the boxes that keep the case know, and once all boxes do if it
// is the second endpoint or a later one: the caller who is told of the failure after that may come again to any box.
func (c *Client) Ended(ctx context.Context, s Suspect, e Endpoint) {
	known, more := c.cfg.Register.Ended(clock.Now(), s, e)
	if !more || known.Count() == 0 {
		return
	}
	c.cfg.Scope.Counter("quarantine_endpoints_ended").Inc(1)
	klog.InfoS("endpoint ended under a request", "fingerprint", s.Fingerprint, "request", s.What, "endpoint", e.Name, "ended", known.Count())
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	others, here := c.cfg.Fleet.Keepers(s.Fingerprint)
	answered := c.post(ctx, others, pathReport, []Case{known})
	known, _ = c.cfg.Register.Add(clock.Now(), known)
	if here || answered == 0 {
		c.tellAll(ctx, []Case{known})
	}
}

// Ran takes in that an endpoint has answered a request whole: it has not ended under it.
func (c *Client) Ran(f Fingerprint) {
	if c.cfg.Off {
		return
	}
	known, ok := c.cfg.Register.Ran(clock.Now(), f)
	if !ok {
		return
	}
	others, here := c.cfg.Fleet.Keepers(f)
	for _, address := range others {
		c.cleared.Add(address, known)
	}
	if here {
		c.cleared.Add(everyBox, known)
	}
}

// RanWell reports whether a request has run well here lately, so that it cannot be one that ends endpoints.
func (c *Client) RanWell(f Fingerprint) bool {
	return c.cfg.Off || c.cfg.Register.RanWell(clock.Now(), f)
}

// Release lets a request pass again, on all boxes. It reports whether the request was known.
func (c *Client) Release(ctx context.Context, f Fingerprint) bool {
	c.takeMaps()
	known, ok := c.cfg.Register.Clear(clock.Now(), f)
	if !ok {
		return false
	}
	klog.InfoS("request let pass by an operator", "fingerprint", f, "request", known.What)
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	c.post(ctx, c.cfg.Fleet.Others(), pathTell, []Case{known})
	return true
}

// report takes in what another box tells this one, which keeps the cases, and returns what is known of them now.
func (c *Client) report(ctx context.Context, told []Case) []Case {
	all, news := c.take(told)
	c.tellAll(ctx, news)
	return c.known(all)
}

// take takes cases in. It returns all that is known of them, and which of them are news here.
func (c *Client) take(told []Case) (all, news []Case) {
	for _, one := range told {
		known, more := c.cfg.Register.Add(clock.Now(), one)
		all = append(all, known)
		if more {
			news = append(news, known)
		}
	}
	return all, news
}

// known returns what is known of cases by now.
func (c *Client) known(cases []Case) []Case {
	all, _ := c.take(cases)
	return all
}

// tellAll tells every other box of the cases that concern all. A box where one of the requests has run well lately says so; all are told of that.
func (c *Client) tellAll(ctx context.Context, cases []Case) {
	var due []Case
	for _, one := range cases {
		if len(one.Ended) >= tellFrom {
			due = append(due, one)
		}
	}
	if len(due) == 0 {
		return
	}
	c.post(ctx, c.cfg.Fleet.Others(), pathTell, due)
	var cleared []Case
	for i, now := range c.known(due) {
		if len(now.Cleared) > len(due[i].Cleared) {
			cleared = append(cleared, now)
		}
	}
	if len(cleared) > 0 {
		c.post(ctx, c.cfg.Fleet.Others(), pathTell, cleared)
	}
}

// post sends cases to boxes and takes in what these know. It returns how many answered.
func (c *Client) post(ctx context.Context, to []netip.AddrPort, path string, cases []Case) (answered int) {
	var group errgroup.Group
	group.SetLimit(toldAtOnce)
	var mu sync.Mutex
	for _, address := range to {
		group.Go(func() error {
			known, err := c.call(ctx, address, path, cases)
			if err != nil {
				c.cfg.Scope.Counter("quarantine_untold").Inc(1)
				klog.V(1).InfoS("box not told of cases", "box", address, "path", path, "cases", len(cases), "err", err)
				return nil
			}
			c.take(known)
			mu.Lock()
			defer mu.Unlock()
			answered++
			return nil
		})
	}
	// Calls return no error.
	_ = group.Wait()
	return answered
}

func (c *Client) call(ctx context.Context, address netip.AddrPort, path string, cases []Case) ([]Case, error) {
	timeout := tellTimeout
	if path == pathReport {
		timeout = reportTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var known []Case
	err := httpx.AskOnce(ctx, c.cfg.HTTP, "http://"+address.String()+path, cases, &known)
	return known, eris.Wrap(err, "quarantine: call")
}

func (c *Client) sendCleared(ctx context.Context, to netip.AddrPort, all []Case) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	if to == everyBox {
		c.tellAll(ctx, all)
		return
	}
	c.post(ctx, []netip.AddrPort{to}, pathReport, all)
}

// Serve repairs what was not told, and forgets what is over, until ctx ends.
func (c *Client) Serve(ctx context.Context) error {
	defer part.CloseAtEnd(ctx, c.done)
	var group errgroup.Group
	group.Go(func() error { return c.cleared.Serve(ctx) })
	for part.Sleep(ctx, repairEvery) {
		c.repair(ctx)
	}
	return group.Wait()
}

// repair tells the coordinator of held requests that its map does not name: it was not reached when they came to be held, or is a new one.
func (c *Client) repair(ctx context.Context) {
	c.takeMaps()
	c.cfg.Register.Expire(clock.Now())
	missing := c.cfg.Register.Unpublished()
	if address, ok := c.cfg.Fleet.Coordinator(); ok && len(missing) > 0 {
		c.post(ctx, []netip.AddrPort{address}, pathTell, missing)
	}
}
