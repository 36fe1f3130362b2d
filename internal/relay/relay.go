// Package relay passes requests on routes to the endpoints of services: plain ones to any endpoint, those for models to an
// engine that holds the adapter version, with the leave of that engine's owner.
package relay

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/body"
	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/customer"
	"github.com/bellgap/bellgap/internal/grant"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/places"
	"github.com/bellgap/bellgap/internal/policy"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/quota"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/recent"
	"github.com/bellgap/bellgap/internal/resource"
	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/route"
)

// maxTriesTold bounds the tries that the line of a request names.
const maxTriesTold = 16

// defaultBody bounds a body where the routing configuration sets no bound.
const defaultBody = 4 << 20

// leavingRetry is when a caller refused by a leaving box may come back: at once, as other boxes take the request.
const leavingRetry = 10 * time.Millisecond

// Config configures a Relay.
type Config struct {
	// Box is the name of this box, Zone where it is.
	Box     string
	Zone    string
	Catalog *catalog.Catalog
	// Owners holds the engines that this box owns, Grants asks the owners on other boxes.
	Owners *owner.Set
	Grants *grant.Client
	// Endpoints sends requests; its transport repeats none.
	Endpoints *http.Client
	Wire      Wire
	Budget    BudgetConfig
	Scope     tally.Scope
	// Leaving returns how long this box has been leaving, zero if it is not. From LastStream on it takes no new streams, from
	// LastRequest on no requests at all.
	Leaving     func() time.Duration
	LastStream  time.Duration
	LastRequest time.Duration
	// Closed reports whether this box is about to go: it takes nothing more, so that nothing is in flight when it closes connections.
	Closed func() bool
	Policy policy.Policy
	// StoreAge returns the time since the store last answered this box.
	StoreAge func() time.Duration
	// Quotas takes the units of customers' requests.
	Quotas *quota.Client
	// Places counts the requests of all boxes at the endpoints of plain services.
	Places *places.Client
	Ages   AgesConfig
	// Quarantine knows which requests reach no endpoint, as others have ended under them.
	Quarantine *quarantine.Client
	// Rates is what endpoints say of how many requests a second they take.
	Rates *ratelimit.Book
	// Notices is what else they have said of themselves.
	Notices *notice.Board
}

// Relay serves callers.
type Relay struct {
	cfg      Config
	inFlight atomic.Int64
	health   *health
	// suspects are the boxes that did not answer lately, crowds the adapter versions whose engines all had requests waiting.
	suspects *recent.Set[string]
	crowds   *recent.Set[resource.Ref]
	// usedUp are the endpoints whose rates left nothing lately for requests of an urgency.
	usedUp  *recent.Set[usedUp]
	budgets *budgets
	sample  *sample
	memory  *memory
	alike   *alike
}

// New returns a Relay.
func New(cfg Config) *Relay {
	return &Relay{
		cfg: cfg, health: newHealth(), budgets: newBudgets(cfg.Budget), sample: &sample{}, memory: newMemory(), alike: newAlike(),
		suspects: recent.New[string](suspectFor), crowds: recent.New[resource.Ref](crowdedFor), usedUp: recent.New[usedUp](usedUpFor),
	}
}

// InFlight returns the requests in flight.
func (r *Relay) InFlight() int { return int(r.inFlight.Load()) }

// request is one request of a caller, read whole and checked.
type request struct {
	head    Head
	in      *http.Request
	body    []byte
	route   *resource.Route
	service string
	came    time.Time
	// endsAt is when the request's time is over, for the caller or for the route.
	endsAt time.Time
	// sent counts the endpoints that may have run it, arrivals all that it was sent to.
	sent     int
	arrivals int
	// unreached counts the endpoints that it did not arrive at, as none listened there.
	unreached int
	// limited counts the endpoints that were left out for their rates, limitedAsks those of them that were asked.
	limited     shortest
	limitedAsks int
	// customer is whose request it is, nil where callers need no key; digest is that of the key.
	customer *customer.Customer
	digest   customer.Digest
	// units is what was taken of the quota of charged.
	units   float64
	charged *customer.Customer
	// suspect is what it is known by when it comes again.
	suspect quarantine.Suspect
	// ref is the adapter version it was for, tries what was asked of owners and endpoints, with the outcomes.
	ref   string
	tries []string
	// endpoint is the last one it was sent to, waited and first are the times from its coming until it was sent and until the
	// head of the answer came.
	endpoint string
	waited   time.Duration
	first    time.Duration
}

// left returns what is left of the request's time.
func (q *request) left() time.Duration { return clock.Until(q.endsAt) }

// tried notes what was asked of an owner or an endpoint.
func (q *request) tried(who, what string) {
	if len(q.tries) < maxTriesTold {
		q.tries = append(q.tries, who+"="+what)
	}
}

// truth returns what a caller that is still there may be told: that a request did not run only holds if no earlier try may have
// run it, and what ended for want of a caller ended because the request's own time was over.
func (q *request) truth(rerr *result.Error) *result.Error {
	if rerr.Code == result.CallerGone {
		rerr = &result.Error{Code: result.DeadlineUnmet, Detail: rerr.Detail}
	}
	return rerr.After(q.sent > 0)
}

// ServeHTTP serves one request.
func (r *Relay) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	q, rerr := r.read(w, in)
	if r.cfg.Leaving() > 0 {
		w.Header().Set("Connection", "close")
	}
	if rerr == nil {
		rerr = r.openFor(q)
	}
	if rerr == nil {
		rerr = r.held(q)
	}
	if rerr == nil {
		rerr = r.takeUnits(q)
	}
	if rerr != nil {
		r.refuse(w, q, rerr)
		return
	}
	ctx, cancel := context.WithTimeout(in.Context(), q.left())
	defer cancel()
	defer r.giveUnitsBack(q)
	r.budgets.earn(q.service)
	out := &output{w: w}
	if r.isModel(q) {
		rerr = r.serveModel(ctx, out, q)
	} else {
		rerr = r.servePlain(ctx, out, q)
	}
	r.finish(in.Context(), out, q, rerr)
}

// openFor refuses requests that a leaving box could not finish.
func (r *Relay) openFor(q *request) *result.Error {
	leaving := r.cfg.Leaving()
	if leaving == 0 {
		return nil
	}
	last := r.cfg.LastRequest
	if q.route.Kind == resource.RouteStream {
		last = r.cfg.LastStream
	}
	if leaving < last && !r.cfg.Closed() {
		return nil
	}
	rerr := result.New(result.Leaving, "%s", r.cfg.Box)
	rerr.RetryAfter = leavingRetry
	return rerr
}

// read finds the route of a request and takes its body in.
func (r *Relay) read(w http.ResponseWriter, in *http.Request) (*request, *result.Error) {
	q := &request{in: in, came: clock.Now()}
	table := r.cfg.Catalog.Topology().Routes
	if table == nil {
		return q, result.New(result.NotReady, "%s has no routes yet", r.cfg.Box)
	}
	head, err := r.cfg.Wire.ReadHead(in.Header)
	if err != nil {
		return q, result.New(result.BadRequest, "%v", err)
	}
	q.head = head
	rt, ok := table.Lookup(in.Host, in.URL.Path)
	if !ok {
		return q, r.unknown(q, result.New(result.NoRoute, "%s%s", in.Host, in.URL.Path))
	}
	q.route, q.service = rt, route.Pick(rt, head.ID)
	held := time.Duration(rt.Timeout)
	if head.Deadline > 0 {
		held = min(held, head.Deadline)
	}
	q.endsAt = q.came.Add(held)
	if rerr := r.identify(q, table); rerr != nil {
		return q, rerr
	}
	content, rerr := body.Read(w, in, bodyLimits(table.Limits(), q))
	q.body = content
	q.suspect = suspectOf(q)
	return q, rerr
}

// bodyLimits bounds a request's body by the configuration's size and the request's own time.
func bodyLimits(limits resource.CallerLimits, q *request) body.Limits {
	most := limits.BodyBytes
	if most <= 0 {
		most = defaultBody
	}
	return body.Limits{Bytes: most, Time: q.left()}
}

// isModel reports whether a request goes to a model engine.
func (r *Relay) isModel(q *request) bool {
	s, ok := r.cfg.Catalog.Topology().Routes.Service(q.service)
	return ok && s.Engine != nil && q.head.Model != ""
}

// finish ends a request that was not answered whole.
func (r *Relay) finish(caller context.Context, out *output, q *request, rerr *result.Error) {
	if rerr == nil {
		r.count(result.OK)
		r.measure(q)
		r.log(q, result.New(result.OK, ""))
		return
	}
	switch {
	case caller.Err() != nil:
		rerr = result.New(result.CallerGone, "%s", rerr.Error())
	case !out.started:
		rerr = q.truth(rerr)
	}
	if !out.started {
		r.refuse(out.w, q, rerr)
		return
	}
	r.count(rerr.Code)
	r.log(q, rerr)
	// Breaking the connection shows the caller that the answer is not whole.
	panic(http.ErrAbortHandler)
}

// refuse sends a failure of our own. What has not run is always said with a status that promises so.
func (r *Relay) refuse(w http.ResponseWriter, q *request, rerr *result.Error) {
	r.count(rerr.Code)
	r.log(q, rerr)
	info := rerr.Code.Info()
	if wait := rerr.Wait(); info.Ran == result.RanNo && wait > 0 {
		r.cfg.Wire.WriteRetryAfter(w.Header(), wait)
	}
	status := info.Status
	if info.Ran == result.RanNo && (status >= http.StatusInternalServerError || status == http.StatusMisdirectedRequest) {
		status = http.StatusServiceUnavailable
	}
	rerr.WriteStatus(w, status, q.head.ID)
}

// output is the answer to a caller.
type output struct {
	w       http.ResponseWriter
	started bool
	// beat, if set, is called for each event passed on.
	beat func()
}
