// Package customer identifies the customer of a request and computes the cost of the request against the customer's quota. It
// does no I/O and reads no clock.
package customer

import (
	"cmp"
	"fmt"
)

// Limits of the customers in a routing configuration.
const (
	// maxCustomers and maxKeys limit the size of a configuration. A configuration of 4 MiB holds about 200,000 keys.
	maxCustomers = 20000
	maxKeys      = 250000
	maxNameBytes = 256
	maxRank      = 9
	maxQuota     = 1e12
)

// Unit is the unit in which a quota is counted.
type Unit string

// The units of a quota.
const (
	UnitRequests Unit = "requests"
	UnitTokens   Unit = "tokens"
)

// Quota limits the usage of a customer over all boxes together.
type Quota struct {
	Unit Unit `json:"unit,omitempty"`
	// DefaultTokens is the cost of a request that gives no token count, if Unit is UnitTokens.
	DefaultTokens float64 `json:"plain_tokens,omitempty"`
	// Rate is in units per second. Burst is how many units may be used at once beyond the rate. If Rate is zero, usage is not
	// limited.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// IsLimited reports whether the quota limits usage.
func (q Quota) IsLimited() bool { return q.Rate > 0 }

// Cost returns the cost of a request, in the quota's unit. hasTokenCount is true if the request gives its token count.
func (q Quota) Cost(tokens int, hasTokenCount bool) float64 {
	switch {
	case q.Unit != UnitTokens:
		return 1
	case hasTokenCount:
		return float64(max(0, tokens))
	default:
		return q.DefaultTokens
	}
}

func (q Quota) check() error {
	if q.Unit != "" && q.Unit != UnitRequests && q.Unit != UnitTokens {
		return fmt.Errorf("unknown unit %q", q.Unit)
	}
	return cmp.Or(checkRange("plain_tokens", q.DefaultTokens), checkRange("rate", q.Rate), checkRange("burst", q.Burst))
}

func checkRange(field string, v float64) error {
	if !(v >= 0 && v <= maxQuota) {
		return fmt.Errorf("%s is %v; it must be in 0..%v", field, v, maxQuota)
	}
	return nil
}

// Customer is a customer in the routing configuration.
type Customer struct {
	Name string `json:"name"`
	// Keys holds the digests of the keys that identify the customer's requests.
	Keys []Digest `json:"keys,omitempty"`
	// Priority, if set, replaces the route's rank for the customer's requests. Rank 0 is served first.
	Priority *int  `json:"priority,omitempty"`
	Quota    Quota `json:"quota,omitzero"`
}

// Check returns an error that names the first invalid field of the customers.
func Check(customers []Customer) error {
	if len(customers) > maxCustomers {
		return fmt.Errorf("customers has %d entries; the maximum is %d", len(customers), maxCustomers)
	}
	keys := 0
	for i, c := range customers {
		if err := c.check(); err != nil {
			return fmt.Errorf("customers[%d] %q: %w", i, c.Name, err)
		}
		keys += len(c.Keys)
	}
	if keys > maxKeys {
		return fmt.Errorf("customers have %d keys; the maximum is %d", keys, maxKeys)
	}
	return nil
}

func (c Customer) check() error {
	if c.Name == "" || len(c.Name) > maxNameBytes {
		return fmt.Errorf("name must have 1 to %d bytes", maxNameBytes)
	}
	if c.Priority != nil && (*c.Priority < 0 || *c.Priority > maxRank) {
		return fmt.Errorf("priority is %d; it must be in 0..%d", *c.Priority, maxRank)
	}
	return c.Quota.check()
}

// Rank returns the rank of the customer's requests on a route whose own rank is routeRank.
func (c *Customer) Rank(routeRank int) int {
	if c == nil || c.Priority == nil {
		return routeRank
	}
	return *c.Priority
}

// Table looks up customers by key digest and by name. It is immutable.
type Table struct {
	byKey  map[Digest]*Customer
	byName map[string]*Customer
	// comparableRates is set if all customers declare a rate in the same unit.
	comparableRates bool
}

// NewTable returns a Table of the customers. A key that two customers list belongs to the first of them.
func NewTable(customers []Customer) *Table {
	t := &Table{byKey: map[Digest]*Customer{}, byName: make(map[string]*Customer, len(customers))}
	t.comparableRates = haveComparableRates(customers)
	for i := range customers {
		c := &customers[i]
		if t.byName[c.Name] == nil {
			t.byName[c.Name] = c
		}
		for _, d := range c.Keys {
			if t.byKey[d] == nil {
				t.byKey[d] = c
			}
		}
	}
	return t
}

// haveComparableRates reports whether all customers declare a rate in the same unit.
func haveComparableRates(customers []Customer) bool {
	for _, c := range customers {
		if !c.Quota.IsLimited() || (c.Quota.Unit == UnitTokens) != (customers[0].Quota.Unit == UnitTokens) {
			return false
		}
	}
	return true
}

// HasComparableRates reports whether all customers declare a rate in the same unit.
func (t *Table) HasComparableRates() bool { return t.comparableRates }

// ByDigest returns the customer that has a key with the digest d. Lookups use only the digest, so that their duration reveals
// nothing about a key.
func (t *Table) ByDigest(d Digest) (*Customer, bool) {
	c, ok := t.byKey[d]
	return c, ok
}

// ByName returns the customer with the given name.
func (t *Table) ByName(name string) (*Customer, bool) {
	c, ok := t.byName[name]
	return c, ok
}
