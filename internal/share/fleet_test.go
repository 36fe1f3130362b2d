package share_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/demand"
	"github.com/bellgap/bellgap/internal/engineload"
	"github.com/bellgap/bellgap/internal/figures"
	"github.com/bellgap/bellgap/internal/share"
)

const (
	service = "chat"
	beat    = 400 * time.Millisecond
	tick    = 10 * time.Millisecond
	engines = 12
	// enginesAsked is how many engines a request asks.
	enginesAsked = 6
	// spareWait is the longest queue with which an engine has room that no other request needs: its batch, in time of its capacity.
	spareWait = 100 * time.Millisecond
	// engineRetry is the Retry-After of a request that engines refuse.
	engineRetry = 2 * time.Second
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// class is a kind of request: its rate at usual load, the longest wait with which engines take it, and how long its stream lasts.
type class struct {
	urgency int
	rate    float64
	maxWait time.Duration
	stream  time.Duration
	tokens  int
}

// usual is the load of deployment 2 in small: engines take less urgent requests with longer waits, which favors them. It asks 100 requests/s.
func usual() []class {
	return []class{{10, 40, 400 * time.Millisecond, 300 * time.Millisecond, 300}, {9, 30, 600 * time.Millisecond, 2 * time.Second, 700}, {8, 30, 2 * time.Second, 300 * time.Millisecond, 300}}
}

// attempt is one attempt of a caller.
type attempt struct {
	class, customer int
	retried         bool
}

// box is one box with its gate and the part that exchanges its demand.
type box struct {
	name    string
	demand  *demand.Exchange
	figures *figures.Exchange
	gate    *share.Gate
}

// count is what one class or customer asked and got in a second.
type count struct{ asked, served, over float64 }

// fleet simulates boxes, heartbeats, engines with a queue each, and callers that return once after a refusal.
type fleet struct {
	now, start time.Time
	rnd        *rand.Rand
	// events is what happens at a tick: attempts, ends of requests and heartbeats.
	events    map[int][]func()
	boxes     []*box
	classes   []class
	customers int
	// load returns the factor on the rate of a class and a customer at a time since the start.
	load func(at time.Duration, class, customer int) float64
	// coordinator returns the box that answers the heartbeats of a box, nil if none does.
	coordinator func(at time.Duration, b *box) *box
	// capacity is that of one engine in tokens per second. backlogs is the work that each engine has taken.
	capacity  float64
	backlogs  [engines]float64
	perSecond map[int]map[string]*count
	// off switches both mechanisms off. work is the work of all engines in tokens for each second.
	off  bool
	work map[int]float64
	// failing is the part of the requests that fail at the engine that has taken them.
	failing float64
	// report, if set, replaces the rows that a box reports.
	report func(b *box, rows []demand.Row) []demand.Row
	// largestBeat and largestReply are the most bytes of rows and of shares in one message.
	largestBeat, largestReply int
}

func newFleet(seed uint64, boxes, customers int, capacityFactor float64) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), start: time.Unix(1000, 0), rnd: rand.New(rand.NewPCG(seed, 2)), classes: usual(), customers: customers,
		load: func(time.Duration, int, int) float64 { return 1 }, perSecond: map[int]map[string]*count{}, events: map[int][]func(){}, work: map[int]float64{},
	}
	for _, cl := range f.classes {
		f.capacity += capacityFactor * cl.rate * float64(cl.tokens) / engines
	}
	for range boxes {
		f.addBox()
	}
	f.coordinator = func(time.Duration, *box) *box { return f.boxes[0] }
	return f
}

func (f *fleet) addBox() {
	newDivider := func() demand.Divider {
		return share.NewDivider(share.DividerConfig{ByCustomer: true, Weight: func(c string) (float64, bool) { return 1, len(c) > 1 && c[0] == 'c' }})
	}
	b := &box{name: fmt.Sprint("box-", len(f.boxes)), demand: demand.NewExchange(demand.ExchangeConfig{NewDivider: newDivider, Scope: tally.NoopScope})}
	b.figures = figures.New(figures.Config{
		Box: b.name, OwnLoads: func(time.Time) []engineload.Sent { return nil }, Loads: engineload.NewTable(engineload.TableConfig{Scope: tally.NoopScope}),
		Demand: b.demand, Scope: tally.NoopScope,
	})
	b.gate = share.NewGate(share.GateConfig{View: b.demand.View, ByUrgency: true, ByCustomer: true, Random: f.rnd.Float64, Scope: tally.NoopScope})
	f.boxes = append(f.boxes, b)
	f.after(time.Duration(f.rnd.Float64()*float64(beat)), func() { f.heartbeat(b) })
}

// after calls a function at the first tick that is at least a time away, but not in the current one.
func (f *fleet) after(d time.Duration, do func()) {
	at := max(int((f.since()+d+tick-1)/tick), int(f.since()/tick)+1)
	f.events[at] = append(f.events[at], do)
}

func (f *fleet) since() time.Duration { return f.now.Sub(f.start) }

func (f *fleet) heartbeat(b *box) {
	u := b.figures.Collect(f.now)
	f.largestBeat = max(f.largestBeat, jsonSize(u.Demand))
	if to := f.coordinator(f.since(), b); to != nil {
		if f.report != nil {
			u.Demand = f.report(b, u.Demand)
		}
		to.figures.Merge(f.now, b.name, u)
		d := to.figures.Digest(f.now, b.name, 1)
		f.largestReply = max(f.largestReply, jsonSize(d.Shares))
		b.figures.Apply(f.now, f.now, d)
		b.figures.Confirm()
	}
	f.after(beat, func() { f.heartbeat(b) })
}

// run simulates until a time since the start.
func (f *fleet) run(until time.Duration) {
	for f.since() < until {
		for _, do := range f.events[int(f.since()/tick)] {
			do()
		}
		for i := range f.backlogs {
			done := min(f.backlogs[i], f.capacity*tick.Seconds())
			f.backlogs[i] -= done
			f.work[int(f.since().Seconds())] += done
		}
		for i, cl := range f.classes {
			for c := range max(1, f.customers) {
				// The mean number of requests in a tick is far below one.
				if f.rnd.Float64() < cl.rate/float64(max(1, f.customers))*f.load(f.since(), i, c)*tick.Seconds() {
					f.send(attempt{i, c, false})
				}
			}
		}
		f.now = f.now.Add(tick)
	}
}

func (f *fleet) counts(a attempt) []*count {
	second := int(f.since().Seconds())
	if f.perSecond[second] == nil {
		f.perSecond[second] = map[string]*count{}
	}
	var all []*count
	for _, key := range []string{fmt.Sprint("class", a.class), fmt.Sprint("c", a.customer+10)} {
		if f.perSecond[second][key] == nil {
			f.perSecond[second][key] = &count{}
		}
		all = append(all, f.perSecond[second][key])
	}
	return all
}

func (f *fleet) send(a attempt) {
	cl, b := f.classes[a.class], f.boxes[f.rnd.IntN(len(f.boxes))]
	counts := f.counts(a)
	for _, c := range counts {
		c.asked++
	}
	customer := ""
	if f.customers > 0 {
		customer = fmt.Sprint("c", a.customer+10)
	}
	r := demand.Request{Service: service, Urgency: cl.urgency, Customer: customer, Tokens: cl.tokens}
	retry := engineRetry
	restriction := b.gate.Check(f.now, service, cl.urgency, customer)
	if f.off {
		restriction = nil
	}
	if f.take(cl, restriction != nil) {
		r.Outcome = demand.Served
		b.demand.Record(f.now, r)
		if f.rnd.Float64() >= f.failing {
			for _, c := range counts {
				c.served++
			}
		}
		return
	}
	if restriction != nil {
		r.Outcome, retry = restriction.Reason.Outcome(), restriction.RetryAfter
		for _, c := range counts {
			c.over++
		}
	}
	b.demand.Record(f.now, r)
	if !a.retried {
		f.after(retry, func() { f.send(attempt{a.class, a.customer, true}) })
	}
}

// take gives a request to the engine with the shortest queue of those that are asked, if that engine can start it in time. A restricted request is taken
// only by an engine at which no request waits for room.
func (f *fleet) take(cl class, restricted bool) bool {
	best := f.rnd.IntN(engines)
	for range enginesAsked - 1 {
		if other := f.rnd.IntN(engines); f.backlogs[other] < f.backlogs[best] {
			best = other
		}
	}
	wait := time.Duration(f.backlogs[best] / f.capacity * float64(time.Second))
	limit := cl.maxWait
	if restricted {
		limit = min(limit, spareWait)
	}
	if wait > limit {
		return false
	}
	f.backlogs[best] += float64(cl.tokens)
	return true
}

func jsonSize(v any) int {
	// Rows and shares have no values that cannot be encoded.
	b, _ := json.Marshal(v)
	return len(b)
}
