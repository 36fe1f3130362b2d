package relay

import (
	"time"

	"github.com/bellgap/bellgap/internal/customer"
	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/route"
)

// ConfigAgeLimits limits the age of the configuration on which a box may base its decisions.
type ConfigAgeLimits struct {
	// ConfirmedAt returns the time up to which this box's configuration is known to be current, zero if it has none. If it is nil,
	// no time is known.
	ConfirmedAt func() time.Time
	// MaxForKeys is the maximum age for requests that need a key, which may have been revoked since. Zero sets no limit.
	MaxForKeys time.Duration
	// MaxForUnknown is the maximum age for answers that a route or key is unknown, since it may have been added. Zero sets no
	// limit.
	MaxForUnknown time.Duration
}

// staleRetryAfter is the retry delay for callers that get no definite answer because the configuration is too old.
// Within this time the box contacts a lost store again.
const staleRetryAfter = 500 * time.Millisecond

// confirmedRouting is a routing configuration with the time up to which it is known to be current.
type confirmedRouting struct {
	table       *route.Table
	confirmedAt time.Time
}

// currentRouting returns the routing configuration in force.
func (r *Relay) currentRouting() confirmedRouting {
	// The time is read first. If a newer configuration comes into force in between, its table gets the time of the previous one.
	var at time.Time
	if r.cfg.AgeLimits.ConfirmedAt != nil {
		at = r.cfg.AgeLimits.ConfirmedAt()
	}
	return confirmedRouting{table: r.cfg.Catalog.Topology().Routes, confirmedAt: at}
}

// ageFor returns how old the configuration was when the request arrived. The time that a request waits afterwards
// does not count.
func (c confirmedRouting) ageFor(q *request) time.Duration {
	if c.confirmedAt.IsZero() {
		return time.Duration(1<<63 - 1)
	}
	return q.receivedAt.Sub(c.confirmedAt)
}

// refuseUnknown returns rerr, which states that a route or key is unknown. If the configuration is too old to be
// sure, it returns an error that states this instead.
func (r *Relay) refuseUnknown(q *request, current confirmedRouting, rerr *result.Error) *result.Error {
	if r.cfg.AgeLimits.MaxForUnknown == 0 || current.ageFor(q) <= r.cfg.AgeLimits.MaxForUnknown {
		return rerr
	}
	return staleConfigError(q, current, rerr.Detail)
}

// staleConfigError returns the error for a decision that needs a newer configuration.
func staleConfigError(q *request, current confirmedRouting, detail string) *result.Error {
	rerr := result.New(result.ConfigOld, "%s: configuration confirmed %s before the request", detail, current.ageFor(q).Round(time.Millisecond))
	rerr.RetryAfter = staleRetryAfter
	return rerr
}

// identifyCustomer finds the customer of a request. It refuses the request if its key is unknown or may have been
// revoked.
func (r *Relay) identifyCustomer(q *request, current confirmedRouting) *result.Error {
	if !current.table.RequiresKey() || q.route.Open {
		return nil
	}
	if q.head.Key != "" {
		q.keyDigest = customer.NewDigest(q.head.Key)
	}
	return r.checkKey(q, current)
}

// checkKey finds the customer of the request's key in the given configuration. It refuses the request if there is
// none.
func (r *Relay) checkKey(q *request, current confirmedRouting) *result.Error {
	found, ok := current.table.Customers().ByDigest(q.keyDigest)
	if !ok {
		return r.refuseUnknown(q, current, result.New(result.Unauthorized, "no customer has this key"))
	}
	q.customer = found
	if r.cfg.AgeLimits.MaxForKeys > 0 && current.ageFor(q) > r.cfg.AgeLimits.MaxForKeys {
		return staleConfigError(q, current, "keys")
	}
	return nil
}

// recheckKey checks the key of a request again before the request is sent. Since the first check, the key may have
// been revoked or given to another customer.
func (r *Relay) recheckKey(q *request) *result.Error {
	if q.customer == nil {
		return nil
	}
	return r.checkKey(q, r.currentRouting())
}

// customerName returns the name of the request's customer, empty if it has none.
func (q *request) customerName() string {
	if q.customer == nil {
		return ""
	}
	return q.customer.Name
}

// rank returns the priority of the request, 0 first: that of its customer if there is one, otherwise that of the
// route.
func (q *request) rank() int { return q.customer.Rank(q.route.Priority) }

// urgency returns the priority of the request as owners and keepers count it: the highest goes first. A keeper is the
// box that counts the requests at a plain endpoint.
func (q *request) urgency() int { return urgencyBase - q.rank() }

// chargeUnits charges the units of a request to the quota of its customer.
func (r *Relay) chargeUnits(q *request) *result.Error {
	if q.customer == nil {
		return nil
	}
	units := q.customer.Quota.Cost(q.head.Prompt+q.head.Output, q.head.HasTokenCounts)
	if rerr := r.cfg.Quotas.Take(q.incoming.Context(), q.customer, units); rerr != nil {
		return rerr
	}
	q.chargedCustomer, q.chargedUnits = q.customer, units
	return nil
}

// refundUnits returns the charged units of a request that certainly never ran.
func (r *Relay) refundUnits(q *request) {
	if q.chargedUnits > 0 && q.possibleRuns == 0 {
		r.cfg.Quotas.GiveBack(q.chargedCustomer, q.chargedUnits)
	}
}
