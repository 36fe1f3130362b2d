package detour

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/httpx"
)

const (
	// silenceLimit is the time after which a carrier is asked whether it still connects to endpoints, if bytes were sent through it and none came back.
	// After each answer it grows by half, up to maxSilenceLimit.
	silenceLimit    = 250 * time.Millisecond
	maxSilenceLimit = 4 * time.Second
	// askTimeout limits such a question. A round trip between zones takes 3 ms.
	askTimeout = 300 * time.Millisecond
	// maxAsked is the number of carriers that are asked at the same time.
	maxAsked = 4
)

// carrier is another box through which this box has open detours.
type carrier struct {
	address netip.AddrPort
	// open is the number of open detours. The mutex of the Client guards it.
	open int
	// isLeaving is set once the box was seen to leave.
	isLeaving atomic.Bool

	mu sync.Mutex
	// unansweredSince is when the first byte was sent since the last byte arrived, zero if nothing was sent.
	unansweredSince time.Time
	// limit is the current silence limit.
	limit time.Duration
	// isAsked is set while the carrier is being asked, isLost once it could not tell that it connects to endpoints.
	isAsked bool
	isLost  bool
}

// recordSent records that bytes were sent.
func (c *carrier) recordSent(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unansweredSince.IsZero() {
		c.unansweredSince = now
	}
}

// recordArrival records that bytes arrived.
func (c *carrier) recordArrival() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unansweredSince, c.limit, c.isLost = time.Time{}, silenceLimit, false
}

// beginAsking reports whether the carrier has been silent for too long, and then marks it as being asked.
func (c *carrier) beginAsking(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isAsked || c.unansweredSince.IsZero() || now.Sub(c.unansweredSince) < c.limit {
		return false
	}
	c.isAsked = true
	return true
}

// endAsking records whether the carrier said that it connects to endpoints, and reports whether it has just been lost.
func (c *carrier) endAsking(connects bool) (lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isAsked = false
	if connects {
		c.limit = min(c.limit*3/2, maxSilenceLimit)
		return false
	}
	lost = !c.isLost
	c.isLost = true
	return lost
}

// cancelAsking undoes beginAsking.
func (c *carrier) cancelAsking() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isAsked = false
}

// askSilentCarriers asks carriers that have been silent for too long whether they still connect to endpoints. Of those that do not, the idle connections are
// closed and no new ones are opened for a time: a cut of their links, or their end, does not close connections by itself.
func (c *Client) askSilentCarriers(ctx context.Context, group *errgroup.Group) {
	for _, silent := range c.openCarriers() {
		if !silent.beginAsking(clock.Now()) {
			continue
		}
		isStarted := group.TryGo(func() error {
			c.checkCarrier(ctx, silent)
			return nil
		})
		if !isStarted {
			silent.cancelAsking()
			return
		}
	}
}

// checkCarrier asks a silent carrier whether it still connects to endpoints, and stops using it if it does not.
func (c *Client) checkCarrier(ctx context.Context, silent *carrier) {
	connects := c.connectsToEndpoints(ctx, silent.address)
	if ctx.Err() != nil {
		return
	}
	if !connects {
		c.failed.Add(silent.address, clock.Now())
		c.cfg.OnLost(silent.address)
	}
	if silent.endAsking(connects) {
		c.cfg.Scope.Counter("carriers_lost").Inc(1)
		klog.InfoS("box through which endpoints were connected no longer reaches them or does not answer", "address", silent.address)
		c.cfg.CloseIdle()
	}
}

// connectsToEndpoints asks another box whether it connects to endpoints. A box of an older build answers that it does not know the question, which counts as yes.
func (c *Client) connectsToEndpoints(ctx context.Context, address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return false
	}
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return false
	}
	httpx.Drain(resp.Body)
	return resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotFound
}

// openCarriers returns the boxes through which detours are open.
func (c *Client) openCarriers() []*carrier {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*carrier, 0, len(c.carriers))
	for _, each := range c.carriers {
		all = append(all, each)
	}
	return all
}

// addDetour returns the carrier at an address, with one more open detour.
func (c *Client) addDetour(address, endpoint netip.AddrPort) *carrier {
	c.mu.Lock()
	defer c.mu.Unlock()
	of := c.carriers[address]
	if of == nil {
		of = &carrier{address: address, limit: silenceLimit}
		c.carriers[address] = of
	}
	of.open++
	c.detours[endpoint]++
	return of
}

// removeDetour removes an open detour to an endpoint through a carrier.
func (c *Client) removeDetour(of *carrier, endpoint netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if of.open--; of.open == 0 {
		delete(c.carriers, of.address)
	}
	if c.detours[endpoint]--; c.detours[endpoint] == 0 {
		delete(c.detours, endpoint)
	}
}
