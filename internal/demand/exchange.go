package demand

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// sharesInterval is the shortest time between two calculations of the shares. Within it, all heartbeats get the same reply.
	sharesInterval = 200 * time.Millisecond
	// replyTTL is how long a box uses the shares of a reply. After that it uses its own rows.
	replyTTL = 2 * time.Second
)

// Divider calculates shares from sums. elapsed is the time since the last call.
type Divider interface {
	Divide(sums []ServiceSum, elapsed time.Duration) []Share
}

// ExchangeConfig holds the dependencies of an Exchange.
type ExchangeConfig struct {
	// NewDivider returns the Divider of one set of sums.
	NewDivider func() Divider
	Scope      tally.Scope
}

// Exchange counts the demand on this box, passes it to the coordinator with heartbeats, and holds the shares that the replies bring. On the coordinator
// it also sums the rows of all boxes. It is safe for concurrent use.
type Exchange struct {
	counter *Counter

	mu         sync.Mutex
	fleet, own division
	// applied are the shares of the last reply with shares, appliedAt the time at which its heartbeat was sent.
	applied   []Share
	appliedAt time.Time
	view      View
}

// division holds sums and the shares that were calculated from them.
type division struct {
	totals  *Totals
	divider Divider
	shares  []Share
	at      time.Time
}

func newDivision(cfg ExchangeConfig) division {
	return division{totals: NewTotals(cfg.Scope), divider: cfg.NewDivider()}
}

// update returns the shares, calculated at most sharesInterval ago.
func (d *division) update(now time.Time) []Share {
	elapsed := now.Sub(d.at)
	if d.at.IsZero() || elapsed >= sharesInterval {
		d.shares, d.at = d.divider.Divide(d.totals.Sums(now), min(elapsed, Window)), now
	}
	return d.shares
}

// NewExchange returns an Exchange without counts.
func NewExchange(cfg ExchangeConfig) *Exchange {
	return &Exchange{counter: NewCounter(), fleet: newDivision(cfg), own: newDivision(cfg)}
}

// Record counts a request that ended on this box.
func (e *Exchange) Record(now time.Time, r Request) {
	row := r.row()
	e.counter.Add(row)
	e.own.totals.mu.Lock()
	defer e.own.totals.mu.Unlock()
	e.own.totals.add(now, row, 1)
}

// Collect returns the rows since the last call and resets them. The caller limits their number, and keeps them until a heartbeat that carries them is
// answered.
func (e *Exchange) Collect(time.Time) []Row { return e.counter.Take() }

// Merge adds the rows of a box. It is called on the coordinator only.
func (e *Exchange) Merge(now time.Time, box string, rows []Row) { e.fleet.totals.Merge(now, box, rows) }

// Shares returns the shares for the reply to a heartbeat. The coordinator calculates them. An aggregator, and a coordinator that has summed rows for less
// than Window, returns those that it has applied. No shares mean that they are not known here.
func (e *Exchange) Shares(now time.Time) []Share {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fleet.totals.isSettled(now) {
		return e.fleet.update(now)
	}
	if now.Sub(e.appliedAt) <= replyTTL {
		return e.applied
	}
	return nil
}

// Apply takes in the reply to a report that was sent at sentAt.
func (e *Exchange) Apply(_, sentAt time.Time, shares []Share) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(shares) > 0 && !sentAt.Before(e.appliedAt) {
		e.applied, e.appliedAt = shares, sentAt
	}
}

// View returns the shares in force on this box: those of the last reply while it is at most replyTTL old, then those of this box's own rows.
func (e *Exchange) View(now time.Time) View {
	e.mu.Lock()
	defer e.mu.Unlock()
	shares, fromFleet, at := e.applied, true, e.appliedAt
	if now.Sub(e.appliedAt) > replyTTL {
		shares, fromFleet = e.own.update(now), false
		at = e.own.at
	}
	if e.view.at != at || e.view.FromFleet != fromFleet {
		e.view = newView(shares, fromFleet, at)
	}
	return e.view
}

// isSettled reports whether rows have been merged for Window without a pause of that length.
func (t *Totals) isSettled(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.mergedAt.IsZero() && now.Sub(t.mergedAt) <= Window && now.Sub(t.mergedSince) >= Window
}

// View is an immutable set of shares, by what they are of.
type View struct {
	// FromFleet is set if the shares are of all boxes, unset if they are of this box alone.
	FromFleet bool
	at        time.Time
	all       []Share
	shares    map[rowKey]Share
}

func newView(shares []Share, fromFleet bool, at time.Time) View {
	v := View{FromFleet: fromFleet, at: at, all: shares, shares: make(map[rowKey]Share, len(shares))}
	for _, s := range shares {
		if s.Customer != "" {
			s.Urgency = 0
		}
		v.shares[rowKey{s.Service, s.Urgency, s.Customer}] = s
	}
	return v
}

// At returns the time of the shares.
func (v View) At() time.Time { return v.at }

// All returns all shares.
func (v View) All() []Share { return v.all }

// Class returns the share of the requests of one urgency.
func (v View) Class(service string, urgency int) (Share, bool) {
	s, ok := v.shares[rowKey{service: service, urgency: urgency}]
	return s, ok
}

// Customer returns the share of a customer. There is none if the customer is not limited.
func (v View) Customer(service, customer string) (Share, bool) {
	if customer == "" {
		return Share{}, false
	}
	s, ok := v.shares[rowKey{service: service, customer: customer}]
	return s, ok
}
