// Package places counts the requests of all boxes at each endpoint of a plain service, so that no more are sent there than it answers in time.
// One box at a time keeps the count of an endpoint; the others ask it before they send.
package places

import (
	"math"
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/turn"
)

const (
	// openingDepth is how many requests a place an endpoint gets at first, until its answers have shown how long one takes.
	openingDepth = 2
	// serviceSmoothing weighs the newest answer in the time that a request takes.
	serviceSmoothing = 0.05
	// maxWait bounds when a refused request is told to come back.
	maxWait = 2 * time.Second
	// maxEndpoints bounds the endpoints that a Keeper remembers; beyond it those without requests are dropped.
	maxEndpoints = 4096
	// maxHold bounds how long a place is held whose request never ends.
	maxHold = time.Minute
)

// Ask asks for a place at an endpoint for one request.
type Ask struct {
	Endpoint string `json:"endpoint"`
	// Slots is how many requests the endpoint runs at once.
	Slots int `json:"slots"`
	// Within is the time in which the answer is of full use.
	Within time.Duration `json:"within"`
	// Hold is how long the request may last.
	Hold time.Duration `json:"hold"`
	// Urgency is higher for what goes first, Customer whose request it is.
	Urgency  int    `json:"urgency,omitempty"`
	Customer string `json:"customer,omitempty"`
	// Started is the Unix millisecond of the endpoint's start as the asker knows it, Rate what it knows of the endpoint's rate.
	Started int64           `json:"started,omitempty"`
	Rate    *ratelimit.Word `json:"rate,omitempty"`
}

// AnySlots is for endpoints that do not say how many requests they run at once.
const AnySlots = math.MaxInt32

// Answer grants a place or says when to come back.
type Answer struct {
	Granted bool   `json:"granted"`
	ID      uint64 `json:"id,omitempty"`
	// Wait is how long to come back after, if no place was granted.
	Wait time.Duration `json:"wait,omitempty"`
	// Limited says that none was granted for the endpoint's rate, which Rate tells if it names one.
	Limited bool            `json:"limited,omitempty"`
	Rate    *ratelimit.Word `json:"rate,omitempty"`
}

// End ends a request that had a place.
type End struct {
	Endpoint string `json:"endpoint"`
	ID       uint64 `json:"id"`
	// Took is the time until the answer came, zero if none came that says how fast the endpoint is.
	Took time.Duration `json:"took,omitempty"`
	// Rate is what the asker knows by now of the endpoint's rate.
	Rate *ratelimit.Word `json:"rate,omitempty"`
}

// Keeper counts the requests at the endpoints that are this box's to count.
type Keeper struct {
	mu        sync.Mutex
	nextID    uint64
	endpoints map[string]*count
}

// count is what is known of one endpoint.
type count struct {
	slots int
	held  map[uint64]place
	// service is how long one request takes in a slot of its own, zero while no answer has shown it.
	service time.Duration
	turns   turn.Turns
	// rate keeps to the requests a second that the endpoint names. The box that counts them hears of it with what boxes ask and end anyway: keeping to
	// it takes no message more, and a box needs not know the rate to be held to it.
	rate ratelimit.Limiter
}

// place is held by one request.
type place struct {
	until time.Time
	// with is how many requests were there when it came, itself included.
	with int
}

// NewKeeper returns a Keeper. Its places are numbered from firstID: ends of places that a former process gave must end none of this one's.
func NewKeeper(firstID uint64) *Keeper {
	return &Keeper{nextID: firstID, endpoints: map[string]*count{}}
}

// Take answers an ask. While a slot is free a place is granted; beyond that, while the answer is expected in time.
func (k *Keeper) Take(now time.Time, a Ask) Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.count(now, a.Endpoint)
	c.rate.Born(a.Started)
	c.rate.Hear(now, a.Rate)
	c.slots = max(1, a.Slots)
	c.expire(now)
	with := len(c.held) + 1
	if with > c.slots && !c.inTime(with, a.Within) {
		own := c.service / time.Duration(c.slots)
		return Answer{Wait: max(c.service, c.turns.Take(now, own, maxWait)), Rate: c.rate.Word(now)}
	}
	if wait, ok := c.rate.Check(now, ratelimit.Ask{Urgency: a.Urgency, Customer: a.Customer}); !ok {
		return Answer{Wait: wait, Limited: true, Rate: c.rate.Word(now)}
	}
	c.rate.Use(now, a.Customer)
	k.nextID++
	c.held[k.nextID] = place{until: now.Add(min(max(a.Hold, 0), maxHold)), with: with}
	return Answer{Granted: true, ID: k.nextID, Rate: c.rate.Word(now)}
}

// Hear takes in what an endpoint said of its rate.
func (k *Keeper) Hear(now time.Time, endpoint string, w *ratelimit.Word) {
	if w == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.count(now, endpoint).rate.Hear(now, w)
}

// inTime reports whether the answer to one of so many requests is expected within a time.
func (c *count) inTime(with int, within time.Duration) bool {
	if c.service == 0 {
		return with <= openingDepth*c.slots
	}
	return time.Duration(float64(c.service)*c.depth(with)) <= within
}

// depth returns how many times as long as in a slot of its own a request takes among so many.
func (c *count) depth(with int) float64 { return max(1, float64(with)/float64(c.slots)) }

// End takes the end of a request in.
func (k *Keeper) End(e End) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.endpoints[e.Endpoint]
	if c == nil {
		return
	}
	p, ok := c.held[e.ID]
	delete(c.held, e.ID)
	if !ok || e.Took <= 0 {
		return
	}
	alone := time.Duration(float64(e.Took) / c.depth(p.with))
	if c.service == 0 {
		c.service = alone
		return
	}
	c.service += time.Duration(math.Round(serviceSmoothing * float64(alone-c.service)))
}

func (k *Keeper) count(now time.Time, endpoint string) *count {
	c := k.endpoints[endpoint]
	if c == nil {
		if len(k.endpoints) >= maxEndpoints {
			k.forget(now)
		}
		c = &count{held: map[uint64]place{}}
		k.endpoints[endpoint] = c
	}
	return c
}

// forget drops endpoints without requests that name no rate.
func (k *Keeper) forget(now time.Time) {
	for name, c := range k.endpoints {
		if len(c.held) == 0 && c.rate.Idle(now) {
			delete(k.endpoints, name)
		}
	}
}

// expire ends places whose requests must be over: the box that had one is gone, or the message of its end was lost.
func (c *count) expire(now time.Time) {
	for id, p := range c.held {
		if now.After(p.until) {
			delete(c.held, id)
		}
	}
}
