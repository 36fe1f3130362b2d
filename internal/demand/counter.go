package demand

import "sync"

const (
	// maxCounted bounds the rows that a box counts between two reports. Further customers are counted under an empty name.
	maxCounted = 1024
	// maxRequestTokens bounds the tokens that are counted for one request. It is above what the KV cache of an engine holds.
	maxRequestTokens = 1 << 18
)

// Outcome is how a request ended.
type Outcome int

// The outcomes that are counted.
const (
	// Unserved requests were refused for lack of capacity.
	Unserved Outcome = iota
	// Served requests were taken by an engine, whatever became of them.
	Served
	// OverUrgency and OverCustomer requests were restricted and refused over the share of their urgency or of their customer.
	OverUrgency
	OverCustomer
)

// Request is a request that an engine took or that was refused.
type Request struct {
	Service  string
	Urgency  int
	Customer string
	Tokens   int
	Outcome  Outcome
}

// row returns the counts of the request alone.
func (r Request) row() Row {
	tokens := min(max(r.Tokens, 1), maxRequestTokens)
	row := Row{Service: r.Service, Urgency: r.Urgency, Customer: r.Customer, Asked: 1, AskedTokens: tokens}
	switch r.Outcome {
	case Served:
		row.Served, row.ServedTokens = 1, tokens
	case OverUrgency:
		row.OverUrgency, row.OverUrgencyTokens = 1, tokens
	case OverCustomer:
		row.OverCustomer, row.OverCustomerTokens = 1, tokens
	case Unserved:
	}
	return row
}

// Counter counts the requests that ended on one box. It is safe for concurrent use.
type Counter struct {
	mu   sync.Mutex
	rows map[rowKey]*Row
}

// NewCounter returns a Counter without counts.
func NewCounter() *Counter { return &Counter{rows: map[rowKey]*Row{}} }

// Add counts a row.
func (c *Counter) Add(r Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rows[r.key()] == nil && len(c.rows) >= maxCounted {
		r.Customer = ""
	}
	sum := c.rows[r.key()]
	if sum == nil {
		if len(c.rows) >= 2*maxCounted {
			return
		}
		empty := r.key().row()
		sum = &empty
		c.rows[r.key()] = sum
	}
	sum.Add(r)
}

// Take returns the counts since the last call and resets them.
func (c *Counter) Take() []Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := make([]Row, 0, len(c.rows))
	for _, r := range c.rows {
		rows = append(rows, *r)
	}
	c.rows = map[rowKey]*Row{}
	return rows
}
