// Package places limits the concurrent requests of all boxes to each endpoint of a plain service. An endpoint gets only as many
// requests as it can answer in time. For each endpoint one box at a time is the keeper, which counts the requests in progress. A
// box must acquire a place from the keeper before it sends a request to the endpoint, and reports to the keeper when the request
// has ended.
package places

import (
	"math"
	"sync"
	"time"

	"github.com/bellgap/bellgap/internal/brittle"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/turn"
)

const (
	// initialDepth is the number of requests per slot that an endpoint may have until its first response shows how long a request
	// takes.
	initialDepth = 2
	// serviceSmoothing is the weight of the newest response in the moving average of the service time.
	serviceSmoothing = 0.05
	// maxWait limits the wait before a refused request is retried.
	maxWait = 2 * time.Second
	// maxEndpoints is the number of endpoints at which a Keeper evicts the idle ones before it adds another.
	maxEndpoints = 4096
	// maxHold limits the time until a place expires whose request is never reported as ended, whatever its box asks for. Routes may have
	// timeouts of minutes.
	maxHold = 15 * time.Minute
)

// Request is the message by which a box requests a place at an endpoint for one request.
type Request struct {
	Endpoint string `json:"endpoint"`
	// Slots is the number of requests that the endpoint runs at the same time.
	Slots int `json:"slots"`
	// MaxLatency is the time within which the response has its full value.
	MaxLatency time.Duration `json:"within"`
	// Hold is the longest duration of the request.
	Hold time.Duration `json:"hold"`
	// Urgency is higher for requests that take precedence. Customer sent the request.
	Urgency  int    `json:"urgency,omitempty"`
	Customer string `json:"customer,omitempty"`
	// Started is the start time of the endpoint in Unix milliseconds, and Rate is its rate limit, both as the requesting box knows
	// them.
	Started int64             `json:"started,omitempty"`
	Rate    *ratelimit.Report `json:"rate,omitempty"`
	// Counts are from the latest answers of the endpoint's keepers.
	Counts []ratelimit.KeeperCount `json:"counts,omitempty"`
	// Careful is true if another endpoint of the service is brittle. It matters while nothing is known of this one.
	Careful bool `json:"careful,omitempty"`
}

// UnlimitedSlots is the value of Request.Slots for endpoints that do not declare how many requests they run at the same time.
const UnlimitedSlots = math.MaxInt32

// Answer is the response to a Request. It grants a place or contains the wait before the next attempt.
type Answer struct {
	Granted bool   `json:"granted"`
	ID      uint64 `json:"id,omitempty"`
	// Wait is the time after which the request may be retried, if no place was granted.
	Wait time.Duration `json:"wait,omitempty"`
	// RateLimited is true if the endpoint's rate limit was the reason for the refusal. Rate is that limit, nil if the endpoint
	// has none.
	RateLimited bool              `json:"limited,omitempty"`
	Rate        *ratelimit.Report `json:"rate,omitempty"`
	// Count is the number of requests that this keeper has granted. It is nil if the endpoint has no rate limit, or if the request was
	// refused for another reason.
	Count *ratelimit.KeeperCount `json:"count,omitempty"`
	// Brittle is true if the request was refused because the endpoint is brittle.
	Brittle bool `json:"brittle,omitempty"`
}

// EndReport is the message by which a box reports that a request with a place has ended.
type EndReport struct {
	Endpoint string `json:"endpoint"`
	ID       uint64 `json:"id"`
	// Latency is the time until the response arrived. It is zero if no response arrived that shows the speed of the endpoint.
	Latency time.Duration `json:"took,omitempty"`
	// Rate is the endpoint's rate limit as the reporting box knows it at the end of the request.
	Rate *ratelimit.Report `json:"rate,omitempty"`
	// Rejected is true if the endpoint rejected the request for want of room, Down if nothing listened at its address.
	Rejected bool `json:"rejected,omitempty"`
	Down     bool `json:"down,omitempty"`
}

// Keeper counts the requests at the endpoints that this box is responsible for.
type Keeper struct {
	// id identifies this incarnation of the box.
	id        uint64
	mu        sync.Mutex
	nextID    uint64
	endpoints map[string]*endpointCount
}

// endpointCount is the state of one endpoint.
type endpointCount struct {
	slots int
	// held contains the places in use, by their IDs.
	held map[uint64]place
	// serviceTime is the average time that a request takes if it doesn't share a slot. It is zero until a response has shown it.
	serviceTime time.Duration
	// retryTurns spreads the retries of refused requests over time.
	retryTurns turn.RetrySchedule
	// limiter enforces the rate limit that the endpoint reports. The keeper receives the limit in the Request and EndReport
	// messages, so the limit needs no messages of its own. It also applies to boxes that don't know it.
	limiter ratelimit.Limiter
	// granted is the number of requests that were granted so far. others contains that of other keepers, as far as it is deducted.
	granted uint64
	others  map[uint64]otherCount
	// brittle limits the requests at the endpoint while it is brittle. start is the start time of the run for which it does so, and
	// answered is set once a request has been answered by that run.
	brittle  brittle.Limiter
	start    int64
	answered bool
}

// otherCount is the number of requests that another keeper had granted at countedAt.
type otherCount struct {
	granted   uint64
	countedAt time.Time
}

// place is a place in use by one request.
type place struct {
	expiresAt time.Time
	grantedAt time.Time
	// concurrency is the number of requests at the endpoint when this one was admitted, including this one.
	concurrency int
}

// NewKeeper returns a Keeper that numbers its places after firstID. Each incarnation of a box must use a different firstID: an
// EndReport for a place that a previous incarnation granted must not end a place that this incarnation granted.
func NewKeeper(firstID uint64) *Keeper {
	return &Keeper{id: firstID, nextID: firstID, endpoints: map[string]*endpointCount{}}
}

// Acquire grants a place if the endpoint's rate limit allows the request, and if the endpoint has a free slot or its response is
// expected in time.
func (k *Keeper) Acquire(now time.Time, req Request) Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.getOrCreate(now, req.Endpoint)
	c.limiter.SetStart(req.Started)
	c.limiter.ApplyReport(now, req.Rate)
	k.applyCounts(now, c, req.Counts)
	c.slots = max(1, req.Slots)
	c.expirePlaces(now)
	c.updateBrittle(now, req)
	concurrency := len(c.held) + 1
	if !c.brittle.Allow(now, len(c.held), req.Urgency) {
		interval := c.serviceTime / time.Duration(c.brittle.Limit())
		wait := max(c.serviceTime, c.retryTurns.NextDelay(now, interval, maxWait))
		return Answer{Wait: wait, Brittle: true, Rate: c.limiter.CurrentReport(now)}
	}
	if !c.brittle.IsActive() && concurrency > c.slots && !c.isInTime(concurrency, req.MaxLatency) {
		interval := c.serviceTime / time.Duration(c.slots)
		return Answer{Wait: max(c.serviceTime, c.retryTurns.NextDelay(now, interval, maxWait)), Rate: c.limiter.CurrentReport(now)}
	}
	if wait, ok := c.limiter.Check(now, ratelimit.Request{Urgency: req.Urgency, Customer: req.Customer}); !ok {
		return Answer{Wait: wait, RateLimited: true, Rate: c.limiter.CurrentReport(now), Count: k.count(c)}
	}
	c.limiter.Use(now, req.Customer)
	c.granted++
	k.nextID++
	c.held[k.nextID] = place{expiresAt: now.Add(min(max(req.Hold, 0), maxHold)), grantedAt: now, concurrency: concurrency}
	return Answer{Granted: true, ID: k.nextID, Rate: c.limiter.CurrentReport(now), Count: k.count(c)}
}

// count returns the number of granted requests at an endpoint, or nil if the endpoint has no rate limit.
func (k *Keeper) count(c *endpointCount) *ratelimit.KeeperCount {
	if !c.limiter.IsLimited() {
		return nil
	}
	count := &ratelimit.KeeperCount{Keeper: k.id, Granted: c.granted, Tokens: c.limiter.Tokens()}
	if len(c.others) > 0 {
		count.Others = make(map[uint64]uint64, len(c.others))
		for keeper, other := range c.others {
			count.Others[keeper] = other.granted
		}
	}
	return count
}

// applyCounts deducts the requests that other keepers have granted since their last known counts. Without this, a box that becomes the
// keeper again would also grant what has accrued while another one granted the whole rate. Tokens that are taken over from the keeper
// before lack the requests that it has deducted itself; these must not be deducted again.
func (k *Keeper) applyCounts(now time.Time, c *endpointCount, counts []ratelimit.KeeperCount) {
	c.expireOthers(now)
	newest, isComplete := k.newestCount(c, counts)
	if newest == nil {
		return
	}
	if c.limiter.AdoptTokens(now, *newest, isComplete) {
		countedAt := now.Add(-newest.Age)
		c.recordOther(newest.Keeper, newest.Granted, countedAt)
		for keeper, granted := range newest.Others {
			if keeper != k.id {
				c.recordOther(keeper, granted, countedAt)
			}
		}
	}
	requests := uint64(0)
	for _, other := range counts {
		if other.Keeper != k.id {
			requests += c.recordOther(other.Keeper, other.Granted, now.Add(-other.Age))
		}
	}
	c.limiter.UseElsewhere(now, requests)
}

// newestCount returns the newest count of another keeper that contains requests not known before, or nil if there is none. isComplete
// is false if one of these keepers is unknown.
func (k *Keeper) newestCount(c *endpointCount, counts []ratelimit.KeeperCount) (newest *ratelimit.KeeperCount, isComplete bool) {
	isComplete = true
	for i := range counts {
		other := &counts[i]
		before, isKnown := c.others[other.Keeper]
		if other.Keeper == k.id || isKnown && other.Granted <= before.granted {
			continue
		}
		isComplete = isComplete && isKnown
		if newest == nil || other.Age < newest.Age {
			newest = other
		}
	}
	return newest, isComplete
}

// recordOther records the count of another keeper. It returns the number of requests since its last known count, zero if there is none.
func (c *endpointCount) recordOther(keeper, granted uint64, countedAt time.Time) uint64 {
	before, isKnown := c.others[keeper]
	if isKnown && granted <= before.granted {
		return 0
	}
	if c.others == nil || !isKnown && len(c.others) >= ratelimit.MaxOthers {
		c.others = map[uint64]otherCount{}
	}
	c.others[keeper] = otherCount{granted, countedAt}
	if !isKnown {
		return 0
	}
	return granted - before.granted
}

// expireOthers removes the counts that no box passes on any more.
func (c *endpointCount) expireOthers(now time.Time) {
	for keeper, other := range c.others {
		if now.Sub(other.countedAt) >= ratelimit.CountRetention {
			delete(c.others, keeper)
		}
	}
}

// updateBrittle begins or ends the limit of a brittle endpoint according to what the endpoint and others of its service reported.
func (c *endpointCount) updateBrittle(now time.Time, req Request) {
	if req.Started > c.start {
		c.start, c.answered = req.Started, false
		c.brittle.End()
	}
	tolerated, isBrittle := c.limiter.Brittle()
	switch {
	case isBrittle && c.answered && c.slots < UnlimitedSlots:
		c.brittle.Begin(now, tolerated, c.slots, brittle.StartKnown)
	case isBrittle || (req.Careful && !c.answered):
		c.brittle.Begin(now, tolerated, c.slots, brittle.StartNew)
	default:
		c.brittle.End()
	}
}

// UpdateRate records the rate limit that an endpoint reported. A nil limit is ignored.
func (k *Keeper) UpdateRate(now time.Time, endpoint string, report *ratelimit.Report) {
	if report == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.getOrCreate(now, endpoint).limiter.ApplyReport(now, report)
}

// isInTime reports whether the response is expected within maxLatency if concurrency requests are at the endpoint.
func (c *endpointCount) isInTime(concurrency int, maxLatency time.Duration) bool {
	if c.serviceTime == 0 {
		return concurrency <= initialDepth*c.slots
	}
	return time.Duration(float64(c.serviceTime)*c.loadFactor(concurrency)) <= maxLatency
}

// loadFactor returns how many times longer a request takes among concurrency requests than in a slot of its own.
func (c *endpointCount) loadFactor(concurrency int) float64 {
	return max(1, float64(concurrency)/float64(c.slots))
}

// End releases the place of a request and updates the average service time of its endpoint. It ignores unknown places.
func (k *Keeper) End(now time.Time, e EndReport) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.endpoints[e.Endpoint]
	if c == nil {
		return
	}
	p, ok := c.held[e.ID]
	if !ok {
		return
	}
	delete(c.held, e.ID)
	c.recordBrittle(now, e, p)
	if e.Latency <= 0 {
		return
	}
	sample := time.Duration(float64(e.Latency) / c.loadFactor(p.concurrency))
	if c.serviceTime == 0 {
		c.serviceTime = sample
		return
	}
	c.serviceTime += time.Duration(math.Round(serviceSmoothing * float64(sample-c.serviceTime)))
}

// recordBrittle records how a request ended.
func (c *endpointCount) recordBrittle(now time.Time, e EndReport, p place) {
	switch {
	case e.Rejected:
		// Requests that were sent later may have arrived first.
		c.brittle.RecordRejection(now, p.grantedAt, max(p.concurrency-1, len(c.held)))
	case e.Latency > 0:
		c.answered = true
		c.brittle.RecordAnswer(now, p.grantedAt, p.concurrency, e.Latency)
	case e.Down:
		c.brittle.Restart()
	case c.brittle.IsActive() && now.Before(p.expiresAt):
		// The endpoint may still run the request.
		p.expiresAt = now.Add(min(c.serviceTime, p.expiresAt.Sub(now)))
		c.held[e.ID] = p
	}
}

// getOrCreate returns the state of an endpoint, which it creates if needed.
func (k *Keeper) getOrCreate(now time.Time, endpoint string) *endpointCount {
	c := k.endpoints[endpoint]
	if c == nil {
		if len(k.endpoints) >= maxEndpoints {
			k.evictIdle(now)
		}
		c = &endpointCount{held: map[uint64]place{}}
		k.endpoints[endpoint] = c
	}
	return c
}

// evictIdle removes the endpoints that have neither requests nor a current rate limit.
func (k *Keeper) evictIdle(now time.Time) {
	for name, c := range k.endpoints {
		if len(c.held) == 0 && c.limiter.CanForget(now) {
			delete(k.endpoints, name)
		}
	}
}

// expirePlaces releases the places that are past their maximum duration. The box that sent such a request is gone, or its
// EndReport was lost.
func (c *endpointCount) expirePlaces(now time.Time) {
	for id, p := range c.held {
		if now.After(p.expiresAt) {
			delete(c.held, id)
		}
	}
}
