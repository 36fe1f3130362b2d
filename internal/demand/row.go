// Package demand counts what callers ask for and what they get, by service, urgency and customer, over all boxes.
package demand

// Row is what one box was asked for and has served since its last report.
type Row struct {
	Service  string `json:"service"`
	Urgency  int    `json:"urgency"`
	Customer string `json:"customer,omitempty"`
	// Asked counts the requests that engines took or that were refused for lack of capacity, Served those that engines took. AskedTokens and ServedTokens count their prompt and output tokens.
	Asked        int `json:"asked"`
	Served       int `json:"served,omitempty"`
	AskedTokens  int `json:"asked_tokens,omitempty"`
	ServedTokens int `json:"served_tokens,omitempty"`
	// OverUrgency and OverCustomer count the requests among Asked that boxes refused over the share of their urgency or of their customer.
	OverUrgency        int `json:"over_urgency,omitempty"`
	OverCustomer       int `json:"over_customer,omitempty"`
	OverUrgencyTokens  int `json:"over_urgency_tokens,omitempty"`
	OverCustomerTokens int `json:"over_customer_tokens,omitempty"`
}

// Add adds the counts of another row.
func (r *Row) Add(o Row) {
	r.Asked += o.Asked
	r.Served += o.Served
	r.AskedTokens += o.AskedTokens
	r.ServedTokens += o.ServedTokens
	r.OverUrgency += o.OverUrgency
	r.OverCustomer += o.OverCustomer
	r.OverUrgencyTokens += o.OverUrgencyTokens
	r.OverCustomerTokens += o.OverCustomerTokens
}

// key returns the row without its counts.
func (r *Row) key() rowKey { return rowKey{r.Service, r.Urgency, r.Customer} }

// rowKey identifies what the counts of a row are of.
type rowKey struct {
	service  string
	urgency  int
	customer string
}

// row returns an empty row of the key.
func (k rowKey) row() Row { return Row{Service: k.service, Urgency: k.urgency, Customer: k.customer} }

// Share is what the fleet serves of what is asked for by one kind of request or one customer of a service.
type Share struct {
	Service string `json:"service"`
	// Customer names the customer that the share is of. If it is empty, the share is of the requests of Urgency.
	Customer string `json:"customer,omitempty"`
	Urgency  int    `json:"urgency,omitempty"`
	// Asked is the number of requests per second, Served the fraction of them that engines took.
	Asked  float64 `json:"asked"`
	Served float64 `json:"served"`
	// Admit is the fraction of the requests that may take any room, 1 without a limit. The others may only take room that no other request needs.
	Admit float64 `json:"admit"`
}
