package relay

import (
	"time"

	"github.com/bellgap/bellgap/internal/customer"
	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/route"
)

// AgesConfig bounds how old this box's word on the configuration may be for what it decides by it.
type AgesConfig struct {
	// ConfirmedAt returns the moment as of which the configuration is known here, zero if it is not.
	ConfirmedAt func() time.Time
	// Keys bounds it for requests that run by a key, which may have been taken away meanwhile; zero runs them however old it is.
	Keys time.Duration
	// Unknown bounds it for answers that say that a route or key is unknown, which may have been added meanwhile; zero gives them always.
	Unknown time.Duration
}

// oldRetry is when a caller may come back whom this box can tell nothing certain: a lost store is asked again within that time.
const oldRetry = 500 * time.Millisecond

// ageFor returns how old the configuration known here was when the request came. A request that came in time may go on however long it waits.
func (r *Relay) ageFor(q *request) time.Duration {
	at := r.cfg.Ages.ConfirmedAt()
	if at.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return q.came.Sub(at)
}

// unknown returns what says that something is unknown, unless it may only be so here.
func (r *Relay) unknown(q *request, rerr *result.Error) *result.Error {
	if r.cfg.Ages.Unknown == 0 || r.ageFor(q) <= r.cfg.Ages.Unknown {
		return rerr
	}
	return r.old(q, rerr.Detail)
}

func (r *Relay) old(q *request, detail string) *result.Error {
	rerr := result.New(result.ConfigOld, "%s: known as of %s before the request", detail, r.ageFor(q).Round(time.Millisecond))
	rerr.RetryAfter = oldRetry
	return rerr
}

// identify finds whose request it is, and refuses it if its key is not known or may have been taken away.
func (r *Relay) identify(q *request, table *route.Table) *result.Error {
	if !table.Keyed() || q.route.Open {
		return nil
	}
	if q.head.Key != "" {
		q.digest = customer.DigestOf(q.head.Key)
	}
	return r.checkKey(q, table)
}

// checkKey finds the customer that has the request's key by the configuration in force.
func (r *Relay) checkKey(q *request, table *route.Table) *result.Error {
	who, ok := table.Customers().ByDigest(q.digest)
	if !ok {
		return r.unknown(q, result.New(result.Unauthorized, "no customer has this key"))
	}
	q.customer = who
	if r.cfg.Ages.Keys > 0 && r.ageFor(q) > r.cfg.Ages.Keys {
		return r.old(q, "keys")
	}
	return nil
}

// stillAllowed looks at a request's key again before it is sent anywhere: it may have been taken away, or be another customer's, since.
func (r *Relay) stillAllowed(q *request) *result.Error {
	if q.customer == nil {
		return nil
	}
	return r.checkKey(q, r.cfg.Catalog.Topology().Routes)
}

// customerName returns the name of the request's customer, empty if it has none.
func (q *request) customerName() string {
	if q.customer == nil {
		return ""
	}
	return q.customer.Name
}

// rank returns the rank of the request: its customer's if that has one, else the route's.
func (q *request) rank() int { return q.customer.Rank(q.route.Priority) }

// urgency returns the rank as owners and keepers count, higher first.
func (q *request) urgency() int { return urgencies - q.rank() }

// takeUnits takes what the request counts from its customer's quota.
func (r *Relay) takeUnits(q *request) *result.Error {
	if q.customer == nil {
		return nil
	}
	units := q.customer.Quota.Cost(q.head.Prompt+q.head.Output, q.head.Counted)
	if rerr := r.cfg.Quotas.Take(q.in.Context(), q.customer, units); rerr != nil {
		return rerr
	}
	q.charged, q.units = q.customer, units
	return nil
}

// giveUnitsBack returns what a request took that provably never ran.
func (r *Relay) giveUnitsBack(q *request) {
	if q.units > 0 && q.sent == 0 {
		r.cfg.Quotas.GiveBack(q.charged, q.units)
	}
}
