package demand

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// Window is the time over which demand is summed.
	Window = 2 * time.Second
	// slotLength is the resolution of the window.
	slotLength = 250 * time.Millisecond
	slotCount  = int(Window/slotLength) + 1
	// maxBoxRate is the most requests per second that one box can have been asked. Rows with more are scaled down to it.
	maxBoxRate = 10000
	// maxOfMean is the most requests of a box that are counted, in terms of the mean of the others, once there are minOthers. Fewer are counted of a box that
	// is asked more, but in the same proportions, so the shares hardly change. Without this limit, one box that reported 10,000 unserved requests per second
	// stopped nearly all requests of a simulated fleet. freeBoxRate is always counted.
	maxOfMean   = 2
	minOthers   = 3
	freeBoxRate = 1
	// maxRows bounds what is read of one report. maxClasses, maxCustomers and maxBoxes bound the memory. Further customers are counted under an empty name; further classes and boxes are
	// dropped.
	maxClasses   = 256
	maxRows      = 128
	maxCustomers = 2048
	maxBoxes     = 2048
)

// Sum is the sum of the counts of rows.
type Sum struct {
	Asked, Served, OverUrgency, OverCustomer                         float64
	AskedTokens, ServedTokens, OverUrgencyTokens, OverCustomerTokens float64
}

// addRow adds the counts of a row, multiplied by scale.
func (s *Sum) addRow(r Row, scale float64) {
	s.Add(Sum{
		Asked: scale * float64(r.Asked), Served: scale * float64(r.Served), OverUrgency: scale * float64(r.OverUrgency), OverCustomer: scale * float64(r.OverCustomer),
		AskedTokens: scale * float64(r.AskedTokens), ServedTokens: scale * float64(r.ServedTokens),
		OverUrgencyTokens: scale * float64(r.OverUrgencyTokens), OverCustomerTokens: scale * float64(r.OverCustomerTokens),
	})
}

// Add adds another sum.
func (s *Sum) Add(o Sum) {
	s.Asked += o.Asked
	s.Served += o.Served
	s.OverUrgency += o.OverUrgency
	s.OverCustomer += o.OverCustomer
	s.AskedTokens += o.AskedTokens
	s.ServedTokens += o.ServedTokens
	s.OverUrgencyTokens += o.OverUrgencyTokens
	s.OverCustomerTokens += o.OverCustomerTokens
}

// ClassSum is the sum of the requests of one urgency.
type ClassSum struct {
	Urgency int
	Sum
}

// CustomerSum is the sum of the requests of one customer. The empty name stands for requests without a customer and for customers that boxes did not
// report one by one.
type CustomerSum struct {
	Customer string
	Sum
}

// ServiceSum holds the sums of one service over Window.
type ServiceSum struct {
	Service string
	// Settled is set once the service has had requests for Window. Before that, refusals are counted while the first answers are still under way.
	Settled bool
	// Classes are sorted by urgency, the most urgent first, Customers by name.
	Classes   []ClassSum
	Customers []CustomerSum
}

// Total returns the sum of all requests of the service.
func (s *ServiceSum) Total() Sum {
	var total Sum
	for _, c := range s.Classes {
		total.Add(c.Sum)
	}
	return total
}

type classKey struct {
	service string
	urgency int
}

type customerKey struct {
	service  string
	customer string
}

// slot holds the sums of slotLength.
type slot struct {
	start     time.Time
	classes   map[classKey]*Sum
	customers map[customerKey]*Sum
}

// boxRate is what a box reported, as of a time.
type boxRate struct {
	at time.Time
	// left are the requests that it can still report, counted those that were counted, decaying over Window.
	left, counted float64
}

// rate returns the requests per second that were counted.
func (r boxRate) rate(now time.Time) float64 {
	return r.counted / Window.Seconds() * math.Exp(-now.Sub(r.at).Seconds()/Window.Seconds())
}

// span is the time in which a service has had requests without a pause of Window.
type span struct {
	first, last time.Time
}

// Totals sums the rows of all boxes over the last Window. It is safe for concurrent use.
type Totals struct {
	mu    sync.Mutex
	slots [slotCount]slot
	spans map[string]span
	boxes map[string]boxRate
	// rateSum is the sum of the rates of boxCount boxes at meanAt.
	rateSum  float64
	boxCount int
	meanAt   time.Time
	// mergedSince is the start of the time in which boxes have reported without a pause of Window, mergedAt the time of the last report.
	mergedSince, mergedAt time.Time
	scope                 tally.Scope
}

// NewTotals returns Totals without sums.
func NewTotals(scope tally.Scope) *Totals {
	return &Totals{spans: map[string]span{}, boxes: map[string]boxRate{}, scope: scope}
}

// Merge adds the rows of one box. Impossible rows are dropped, and more than maxBoxRate since the last report of the box is scaled down; both are counted.
func (t *Totals) Merge(now time.Time, box string, rows []Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.mergedAt) > Window {
		t.mergedSince = now
	}
	t.mergedAt = now
	valid := slices.DeleteFunc(slices.Clone(rows[:min(len(rows), maxRows)]), func(r Row) bool { return !r.isPossible() })
	if len(valid) < len(rows) {
		t.scope.Counter("demand_rows_invalid").Inc(int64(len(rows) - len(valid)))
	}
	asked := 0.0
	for _, r := range valid {
		asked += float64(r.Asked)
	}
	if asked == 0 {
		return
	}
	scale := t.accept(now, box, asked) / asked
	if scale < 1 {
		t.scope.Counter("demand_reports_clamped").Inc(1)
	}
	for _, r := range valid {
		t.add(now, r, scale)
	}
}

// accept returns how many of the requests that a box reports are counted. The limit is what the box can have been asked since its last reports: maxBoxRate, and
// maxOfMean times the mean of the other boxes. A box beyond maxBoxes has none.
func (t *Totals) accept(now time.Time, box string, requests float64) float64 {
	r, known := t.boxes[box]
	if !known {
		if len(t.boxes) >= maxBoxes {
			t.forgetBoxes(now)
		}
		if len(t.boxes) >= maxBoxes {
			return 0
		}
	}
	limit := t.rateLimit(now, r.rate(now))
	passed := Window.Seconds()
	if known {
		passed = max(0, now.Sub(r.at).Seconds())
	}
	left := min(limit*Window.Seconds(), r.left+limit*passed)
	accepted := min(requests, left)
	t.boxes[box] = boxRate{at: now, left: left - accepted, counted: r.rate(now)*Window.Seconds() + accepted}
	return accepted
}

// rateLimit returns the most requests per second of a box that are counted, given its own rate.
func (t *Totals) rateLimit(now time.Time, own float64) float64 {
	if now.Sub(t.meanAt) >= slotLength {
		t.forgetBoxes(now)
		t.boxCount, t.rateSum, t.meanAt = len(t.boxes), 0, now
		for _, r := range t.boxes {
			t.rateSum += r.rate(now)
		}
	}
	others := float64(t.boxCount - 1)
	if others < minOthers {
		return maxBoxRate
	}
	return min(maxBoxRate, max(freeBoxRate, maxOfMean*max(0, t.rateSum-own)/others))
}

func (t *Totals) forgetBoxes(now time.Time) {
	maps.DeleteFunc(t.boxes, func(_ string, r boxRate) bool { return now.Sub(r.at) > Window })
}

// isPossible reports whether a box can have counted the row.
func (r *Row) isPossible() bool {
	counts := []int{r.Served, r.OverUrgency, r.OverCustomer, r.ServedTokens, r.OverUrgencyTokens, r.OverCustomerTokens}
	if r.Service == "" || r.Asked <= 0 || r.Asked > math.MaxInt32 || slices.Min(counts) < 0 || slices.Max(counts) > math.MaxInt32*maxRequestTokens {
		return false
	}
	return r.Served+r.OverUrgency+r.OverCustomer <= r.Asked && r.ServedTokens+r.OverUrgencyTokens+r.OverCustomerTokens <= r.AskedTokens &&
		r.AskedTokens/maxRequestTokens <= r.Asked
}

// add adds one row to the current slot.
func (t *Totals) add(now time.Time, r Row, scale float64) {
	s := t.slotAt(now)
	class := classKey{r.Service, r.Urgency}
	if s.classes[class] == nil {
		if len(s.classes) >= maxClasses {
			t.scope.Counter("demand_rows_invalid").Inc(1)
			return
		}
		s.classes[class] = &Sum{}
	}
	s.classes[class].addRow(r, scale)
	customer := customerKey{r.Service, r.Customer}
	if s.customers[customer] == nil && len(s.customers) >= maxCustomers {
		customer.customer = ""
	}
	if s.customers[customer] == nil {
		s.customers[customer] = &Sum{}
	}
	s.customers[customer].addRow(r, scale)
	sp := t.spans[r.Service]
	if now.Sub(sp.last) > Window {
		sp.first = now
	}
	sp.last = now
	t.spans[r.Service] = sp
}

// slotAt returns the slot of a time.
func (t *Totals) slotAt(now time.Time) *slot {
	start := now.Truncate(slotLength)
	s := &t.slots[(now.UnixNano()/int64(slotLength))%int64(slotCount)]
	if !s.start.Equal(start) || s.classes == nil {
		*s = slot{start: start, classes: map[classKey]*Sum{}, customers: map[customerKey]*Sum{}}
	}
	return s
}

// Sums returns the sums of the last Window, sorted by service.
func (t *Totals) Sums(now time.Time) []ServiceSum {
	t.mu.Lock()
	defer t.mu.Unlock()
	services := map[string]*ServiceSum{}
	classes, customers := map[classKey]*Sum{}, map[customerKey]*Sum{}
	for i := range t.slots {
		s := &t.slots[i]
		if age := now.Sub(s.start); s.classes == nil || age > Window || age < 0 {
			continue
		}
		addAll(classes, s.classes)
		addAll(customers, s.customers)
	}
	for k, sum := range classes {
		if services[k.service] == nil {
			sp := t.spans[k.service]
			services[k.service] = &ServiceSum{Service: k.service, Settled: now.Sub(sp.first) >= Window}
		}
		services[k.service].Classes = append(services[k.service].Classes, ClassSum{k.urgency, *sum})
	}
	for k, sum := range customers {
		services[k.service].Customers = append(services[k.service].Customers, CustomerSum{k.customer, *sum})
	}
	for name, sp := range t.spans {
		if now.Sub(sp.last) > Window {
			delete(t.spans, name)
		}
	}
	return sorted(services)
}

func addAll[K comparable](into, from map[K]*Sum) {
	for k, sum := range from {
		if into[k] == nil {
			into[k] = &Sum{}
		}
		into[k].Add(*sum)
	}
}

func sorted(services map[string]*ServiceSum) []ServiceSum {
	var all []ServiceSum
	for _, s := range services {
		slices.SortFunc(s.Classes, func(a, b ClassSum) int { return cmp.Compare(b.Urgency, a.Urgency) })
		slices.SortFunc(s.Customers, func(a, b CustomerSum) int { return cmp.Compare(a.Customer, b.Customer) })
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b ServiceSum) int { return cmp.Compare(a.Service, b.Service) })
	return all
}
