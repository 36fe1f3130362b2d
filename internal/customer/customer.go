// Package customer decides whose a request is and what it counts against that customer's quota. It does no I/O and reads no clock.
package customer

import (
	"cmp"
	"fmt"
)

// Bounds of what is declared.
const (
	// maxCustomers and maxKeys bound a configuration: 4 MiB of it hold some 200,000 keys.
	maxCustomers = 20000
	maxKeys      = 250000
	maxName      = 256
	maxRank      = 9
	maxQuota     = 1e12
)

// Unit is what a quota counts.
type Unit string

// The units of a quota.
const (
	UnitRequests Unit = "requests"
	UnitTokens   Unit = "tokens"
)

// Quota bounds what a customer may use over all boxes.
type Quota struct {
	Unit Unit `json:"unit,omitempty"`
	// PlainTokens is what a request counts that names no tokens, where tokens are counted.
	PlainTokens float64 `json:"plain_tokens,omitempty"`
	// Rate is units a second, Burst what may be used beside that at once. Without a rate there is no bound.
	Rate  float64 `json:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty"`
}

// Limited reports whether there is a bound.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Cost returns what a request counts; named says that it names how many tokens it takes.
func (q Quota) Cost(tokens int, named bool) float64 {
	switch {
	case q.Unit != UnitTokens:
		return 1
	case named:
		return float64(max(0, tokens))
	default:
		return q.PlainTokens
	}
}

func (q Quota) check() error {
	if q.Unit != "" && q.Unit != UnitRequests && q.Unit != UnitTokens {
		return fmt.Errorf("unit %q is not known", q.Unit)
	}
	return cmp.Or(inRange("plain_tokens", q.PlainTokens), inRange("rate", q.Rate), inRange("burst", q.Burst))
}

func inRange(field string, v float64) error {
	if !(v >= 0 && v <= maxQuota) {
		return fmt.Errorf("%s is %v; it must lie in 0..%v", field, v, maxQuota)
	}
	return nil
}

// Customer is one customer of the routing configuration.
type Customer struct {
	Name string `json:"name"`
	// Keys are the digests of the keys by which its requests are known.
	Keys []Digest `json:"keys,omitempty"`
	// Priority, if set, is the rank of its requests in place of the route's; 0 goes first.
	Priority *int  `json:"priority,omitempty"`
	Quota    Quota `json:"quota,omitzero"`
}

// Check returns an error that names the first wrong field of all.
func Check(all []Customer) error {
	if len(all) > maxCustomers {
		return fmt.Errorf("customers has %d entries; at most %d are taken", len(all), maxCustomers)
	}
	keys := 0
	for i, c := range all {
		if err := c.check(); err != nil {
			return fmt.Errorf("customers[%d] %q: %w", i, c.Name, err)
		}
		keys += len(c.Keys)
	}
	if keys > maxKeys {
		return fmt.Errorf("customers have %d keys; at most %d are taken", keys, maxKeys)
	}
	return nil
}

func (c Customer) check() error {
	if c.Name == "" || len(c.Name) > maxName {
		return fmt.Errorf("name must have 1 to %d bytes", maxName)
	}
	if c.Priority != nil && (*c.Priority < 0 || *c.Priority > maxRank) {
		return fmt.Errorf("priority is %d; it must lie in 0..%d", *c.Priority, maxRank)
	}
	return c.Quota.check()
}

// Rank returns the rank of the customer's requests on a route that gives them one itself.
func (c *Customer) Rank(route int) int {
	if c == nil || c.Priority == nil {
		return route
	}
	return *c.Priority
}

// Table finds customers by key. It is never changed.
type Table struct {
	byKey  map[Digest]*Customer
	byName map[string]*Customer
}

// NewTable returns the Table of all customers. A key that two of them list is the first one's.
func NewTable(all []Customer) *Table {
	t := &Table{byKey: map[Digest]*Customer{}, byName: make(map[string]*Customer, len(all))}
	for i := range all {
		c := &all[i]
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

// ByDigest returns the customer with the key that has a digest. Look-ups go by digest alone, so that their time says nothing of a key.
func (t *Table) ByDigest(d Digest) (*Customer, bool) {
	c, ok := t.byKey[d]
	return c, ok
}

// ByName returns a customer.
func (t *Table) ByName(name string) (*Customer, bool) {
	c, ok := t.byName[name]
	return c, ok
}
