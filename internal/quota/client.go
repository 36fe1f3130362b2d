package quota

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
	"github.com/bellgap/bellgap/internal/customer"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/recent"
	"github.com/bellgap/bellgap/internal/result"
)

const (
	pathTake = "/peer/quota"
	// requestTimeout limits a call to the accountable box: a round trip between zones takes 3 ms, on a busy box about 50 ms.
	requestTimeout = 200 * time.Millisecond
	// unresponsivePeriod is how long a box that did not answer is not called again.
	unresponsivePeriod = 500 * time.Millisecond
	// maxAllowances limits the customers for which a box keeps an allowance. When it is reached, all allowances are dropped.
	maxAllowances = 8192
	// defaultBoxes is the assumed number of boxes while the number is unknown.
	defaultBoxes = 64
)

// Accountable provides the box that is currently accountable for a customer. It separates this package from the membership.
type Accountable interface {
	// BoxFor returns the address of the box that is accountable for a customer, and whether it is this box. ok is false if no box
	// is accountable.
	BoxFor(name string) (address netip.AddrPort, here, ok bool)
	// Boxes returns the number of boxes, or zero if it is unknown.
	Boxes() int
}

// ClientConfig configures a Client.
type ClientConfig struct {
	HTTP        *http.Client
	Accountable Accountable
	// Ledger grants the units of the customers for which this box is accountable.
	Ledger *Ledger
	Scope  tally.Scope
}

// Client takes units of quotas for the requests of this box.
type Client struct {
	cfg          ClientConfig
	unresponsive *recent.Set[netip.AddrPort]
	mu           sync.Mutex
	// allowances contains the allowances of the customers by name.
	allowances map[string]*allowance
}

// NewClient returns a Client.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, unresponsive: recent.New[netip.AddrPort](unresponsivePeriod), allowances: map[string]*allowance{}}
}

func (c *Client) allowance(name string) *allowance {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.allowances[name]
	if a == nil {
		if len(c.allowances) >= maxAllowances {
			clear(c.allowances)
		}
		a = &allowance{}
		c.allowances[name] = a
	}
	return a
}

// Take takes the units of one request. If the quota is used up, the error is a QuotaSpent with the time after which to retry.
func (c *Client) Take(ctx context.Context, cust *customer.Customer, units float64) *result.Error {
	if !cust.Quota.IsLimited() || units <= 0 {
		return nil
	}
	a := c.allowance(cust.Name)
	req, wait, ok := a.takeGranted(clock.Now(), cust.Name, units)
	if ok {
		return nil
	}
	if wait > 0 {
		return c.quotaSpent(cust, "refused by this box shortly after a refusal", wait)
	}
	reply, err := c.request(ctx, cust, req)
	if err != nil && ctx.Err() != nil {
		a.giveBack(-req.Owed)
		return result.New(result.CallerGone, "%v", context.Cause(ctx))
	}
	if err == nil {
		if a.applyReply(clock.Now(), req, reply) {
			return nil
		}
		return c.quotaSpent(cust, "refused by the accountable box", reply.Wait)
	}
	c.cfg.Scope.Counter("quota_unanswered").Inc(1)
	klog.V(2).InfoS("accountable box not reached; using this box's share of the quota", "customer", cust.Name, "err", err)
	if wait, ok = a.takeFallback(clock.Now(), cust.Quota, req, c.boxes()); ok {
		return nil
	}
	return c.quotaSpent(cust, "this box's share of the quota is used up", wait)
}

func (c *Client) boxes() int {
	if n := c.cfg.Accountable.Boxes(); n > 0 {
		return n
	}
	return defaultBoxes
}

// GiveBack returns the units of a request that was not run.
func (c *Client) GiveBack(cust *customer.Customer, units float64) {
	if cust.Quota.IsLimited() && units > 0 {
		c.allowance(cust.Name).giveBack(units)
	}
}

func (c *Client) quotaSpent(cust *customer.Customer, reason string, wait time.Duration) *result.Error {
	rerr := result.New(result.QuotaSpent, "%s: %s", cust.Name, reason)
	rerr.RetryAfter = min(max(wait, time.Millisecond), maxWait)
	return rerr
}

// request takes units from the accountable box. A box that did not answer is not called again for unresponsivePeriod.
func (c *Client) request(ctx context.Context, cust *customer.Customer, req TakeRequest) (TakeReply, error) {
	address, here, ok := c.cfg.Accountable.BoxFor(cust.Name)
	switch {
	case !ok:
		return TakeReply{}, eris.New("quota: no box is accountable")
	case here:
		return c.cfg.Ledger.Take(clock.Now(), cust.Quota, req), nil
	case c.unresponsive.Has(address, clock.Now()):
		return TakeReply{}, eris.Errorf("quota: box %s did not answer recently", address)
	}
	return c.call(ctx, address, req)
}

func (c *Client) call(ctx context.Context, address netip.AddrPort, req TakeRequest) (TakeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var reply TakeReply
	err := httpx.CallOnce(ctx, c.cfg.HTTP, "http://"+address.String()+pathTake, req, &reply)
	if httpx.IsUnanswered(err) {
		c.unresponsive.Add(address, clock.Now())
	}
	return reply, eris.Wrap(err, "quota: call to the accountable box failed")
}
