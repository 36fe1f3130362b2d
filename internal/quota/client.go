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
	// askTimeout bounds an ask: a round trip between zones takes 3 ms, on a busy box some 50.
	askTimeout = 200 * time.Millisecond
	// silentFor is how long a box that did not answer is not asked.
	silentFor = 500 * time.Millisecond
	// maxHolders bounds the customers that a box holds units of.
	maxHolders = 8192
	// unknownBoxes stands for the number of boxes while none is known.
	unknownBoxes = 64
)

// Accountable says which box is accountable for a customer now. It is an interface at the boundary to membership.
type Accountable interface {
	// For returns the address of the box that is accountable, and whether it is this one; ok is false if there is none.
	For(name string) (address netip.AddrPort, here, ok bool)
	// Boxes returns how many boxes there are, zero if that is not known.
	Boxes() int
}

// ClientConfig configures a Client.
type ClientConfig struct {
	HTTP        *http.Client
	Accountable Accountable
	// Ledger is that of this box.
	Ledger *Ledger
	Scope  tally.Scope
}

// Client takes units for the requests of this box.
type Client struct {
	cfg    ClientConfig
	silent *recent.Set[netip.AddrPort]
	mu     sync.Mutex
	// holders are those of the customers, by name.
	holders map[string]*holder
}

// NewClient returns a Client.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, silent: recent.New[netip.AddrPort](silentFor), holders: map[string]*holder{}}
}

func (c *Client) holder(name string) *holder {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.holders[name]
	if h == nil {
		if len(c.holders) >= maxHolders {
			clear(c.holders)
		}
		h = &holder{}
		c.holders[name] = h
	}
	return h
}

// Take takes the units of one request. The error is a QuotaSpent that says when to come back.
func (c *Client) Take(ctx context.Context, who *customer.Customer, units float64) *result.Error {
	if !who.Quota.Limited() || units <= 0 {
		return nil
	}
	h := c.holder(who.Name)
	ask, wait, ok := h.use(clock.Now(), who.Name, units)
	if ok {
		return nil
	}
	if wait > 0 {
		return c.spent(who, "refused lately", wait)
	}
	answer, err := c.ask(ctx, who, ask)
	if err != nil && ctx.Err() != nil {
		h.giveBack(-ask.Owed)
		return result.New(result.CallerGone, "%v", context.Cause(ctx))
	}
	if err == nil {
		if h.answered(clock.Now(), ask, answer) {
			return nil
		}
		return c.spent(who, "refused by the accountable box", answer.Wait)
	}
	c.cfg.Scope.Counter("quota_unanswered").Inc(1)
	klog.V(2).InfoS("quota by this box's own share", "customer", who.Name, "err", err)
	if wait, ok = h.unanswered(clock.Now(), who.Quota, ask, c.boxes()); ok {
		return nil
	}
	return c.spent(who, "this box's own share is used up", wait)
}

func (c *Client) boxes() int {
	if n := c.cfg.Accountable.Boxes(); n > 0 {
		return n
	}
	return unknownBoxes
}

// GiveBack returns the units of a request that never ran.
func (c *Client) GiveBack(who *customer.Customer, units float64) {
	if who.Quota.Limited() && units > 0 {
		c.holder(who.Name).giveBack(units)
	}
}

func (c *Client) spent(who *customer.Customer, why string, wait time.Duration) *result.Error {
	rerr := result.New(result.QuotaSpent, "%s: %s", who.Name, why)
	rerr.RetryAfter = min(max(wait, time.Millisecond), maxWait)
	return rerr
}

// ask asks the accountable box. One that does not answer is not asked again for a while.
func (c *Client) ask(ctx context.Context, who *customer.Customer, a Ask) (Answer, error) {
	address, here, ok := c.cfg.Accountable.For(who.Name)
	switch {
	case !ok:
		return Answer{}, eris.New("quota: no box is accountable")
	case here:
		return c.cfg.Ledger.Take(clock.Now(), who.Quota, a), nil
	case c.silent.Has(address, clock.Now()):
		return Answer{}, eris.Errorf("quota: %s did not answer lately", address)
	}
	return c.call(ctx, address, a)
}

func (c *Client) call(ctx context.Context, address netip.AddrPort, a Ask) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var answer Answer
	err := httpx.AskOnce(ctx, c.cfg.HTTP, "http://"+address.String()+pathTake, a, &answer)
	if httpx.IsUnanswered(err) {
		c.silent.Add(address, clock.Now())
	}
	return answer, eris.Wrap(err, "quota: call")
}
