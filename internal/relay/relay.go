// Package relay forwards callers' requests to the endpoints of services. A plain request goes to any endpoint of its
// service. A model request goes to an engine that holds the adapter version, after the owner of that engine has
// granted it.
package relay

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/body"
	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/customer"
	"github.com/bellgap/bellgap/internal/demand"
	"github.com/bellgap/bellgap/internal/grant"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/origin"
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
	"github.com/bellgap/bellgap/internal/share"
	"github.com/bellgap/bellgap/internal/slowpeer"
	"github.com/bellgap/bellgap/internal/unanswered"
)

// maxLoggedTries bounds the number of tries that the log line of a request lists.
const maxLoggedTries = 16

// defaultMaxBody bounds the bytes of a request body if the routing configuration sets no limit.
const defaultMaxBody = 4 << 20

// leavingRetryAfter is the retry delay sent by a leaving box. It is short because other boxes accept the request at
// once.
const leavingRetryAfter = 10 * time.Millisecond

// Config holds the settings and dependencies of a Relay.
type Config struct {
	// Box is the name of this box, Zone its availability zone.
	Box     string
	Zone    string
	Catalog *catalog.Catalog
	// Owners holds the engines that this box owns. Grants requests grants from the owners on other boxes.
	Owners *owner.Set
	Grants *grant.Client
	// Endpoints sends requests to endpoints. Its transport must never send a request twice, and no two requests with one id over one connection.
	Endpoints *http.Client
	// Connections tells what the connections to endpoints show. If it is nil, nothing is known.
	Connections Connections
	// ReadEndpoint reads the current entry of an endpoint from the store. If it is nil, none is read.
	ReadEndpoint func(ctx context.Context, name string) (resource.Endpoint, error)
	Wire         Wire
	Budget       BudgetConfig
	// PrefillRate is the configured number of prompt tokens that an engine processes per second.
	PrefillRate float64
	Scope       tally.Scope
	// Leaving returns how long this box has been leaving, zero if it is not leaving. AnswersEnd is how long after it began to leave the box ends
	// all answers: requests that may take longer are refused. From LastStream on, it accepts no new streams; zero sets no such limit.
	Leaving    func() time.Duration
	AnswersEnd time.Duration
	LastStream time.Duration
	// Closing reports whether this box is about to close its connections. It then accepts no more requests, so that none
	// is in flight when the connections close.
	Closing func() bool
	Policy  policy.Policy
	// StoreAge returns the time since the store last answered this box.
	StoreAge func() time.Duration
	// Quotas charges the units of requests to the quotas of their customers.
	Quotas *quota.Client
	// Places counts the requests that all boxes have in flight at the endpoints of plain services.
	Places    *places.Client
	AgeLimits ConfigAgeLimits
	// Quarantine identifies the requests that are sent to no endpoint because endpoints crashed while running them.
	Quarantine *quarantine.Client
	// Rates holds the rate limits that endpoints reported, in requests per second.
	Rates *ratelimit.Registry
	// Notices holds the other notices of endpoints: that they are leaving, or that they request a pause.
	Notices *notice.Board
	// Gate restricts requests for scarce services, and Demand counts them. If Gate is nil, none is restricted and none is counted.
	Gate   *share.Gate
	Demand *demand.Exchange
	// Callers bounds what is held for callers and endpoints that do not read. New sets one with default limits if it is nil.
	Callers *slowpeer.Tracker
	// Origins holds the software versions at which resumable streams began. If it is nil, none are recorded or known.
	Origins Origins
	// VersionHistory holds the software versions that have served each service. If it is nil, this box knows all of them.
	VersionHistory VersionHistory
	// StreamMemory is how long a stream may be resumed after it began.
	StreamMemory time.Duration
	// Loads holds the load that the owners of engines report, nil if none is known. It is used for scarce engines.
	Loads EngineLoads
}

// Relay is the HTTP handler that forwards requests.
type Relay struct {
	cfg      Config
	inFlight atomic.Int64
	health   *health
	// unresponsiveBoxes holds the boxes that recently did not answer. crowdedRefs holds the adapter versions that recently had
	// requests waiting at all their engines.
	unresponsiveBoxes *recent.Set[string]
	crowdedRefs       *recent.Set[resource.Ref]
	// exhaustedRates holds the endpoints whose rate limit recently left nothing for requests of one urgency.
	exhaustedRates *recent.Set[exhaustedRate]
	budgets        *budgets
	sampler        *logSampler
	holdings       *holdings
	flights        *singleFlight
	sends          *sends
	speeds         *speeds
	// serviceVersions remembers which software versions served which services.
	serviceVersions *serviceVersions
	unanswered      *unanswered.Set
	// loggedUnfinished holds the endpoints with a recent log line on an unfinished answer.
	loggedUnfinished *recent.Set[string]
	// pending holds the requests in flight, runTimes the longest runs of recent ones. refusedLeaving and leftUnfinished count what a leaving
	// box has refused and ended.
	pending                        *pendingRequests
	runTimes                       *runTimes
	refusedLeaving, leftUnfinished atomic.Int64
	// promises counts the promises to callers.
	promises promiseCounts
	// loggedLongEvents holds the endpoints with a recent log line on an event above the limits.
	loggedLongEvents *recent.Set[string]
	// loggedUnproven holds the endpoints with a recent log line on an unproven rejection.
	loggedUnproven *recent.Set[string]
}

// New returns a Relay that uses the given configuration.
func New(cfg Config) *Relay {
	if cfg.Callers == nil {
		cfg.Callers = slowpeer.New(slowpeer.Config{Scope: cfg.Scope})
	}
	return &Relay{
		cfg: cfg, health: newHealth(), budgets: newBudgets(cfg.Budget), sampler: &logSampler{}, holdings: newHoldings(), flights: newSingleFlight(),
		sends: newSends(), speeds: newSpeeds(), serviceVersions: newServiceVersions(cfg.StreamMemory), unanswered: unanswered.New(unanswered.Config{Scope: cfg.Scope}),
		unresponsiveBoxes: recent.New[string](unresponsivePeriod), crowdedRefs: recent.New[resource.Ref](crowdedTTL), exhaustedRates: recent.New[exhaustedRate](exhaustedRateTTL),
		pending: newPendingRequests(), runTimes: newRunTimes(),
		loggedUnfinished: recent.New[string](unfinishedLogInterval), loggedLongEvents: recent.New[string](unfinishedLogInterval), loggedUnproven: recent.New[string](unprovenLogInterval),
	}
}

// GiveUpUnanswered gives back the places and grants of all requests that have no answer yet, while the requests go on waiting.
func (r *Relay) GiveUpUnanswered() { r.unanswered.GiveUpAll() }

// GiveUpUnansweredThrough does the same for the requests that were sent through the box at the given address.
func (r *Relay) GiveUpUnansweredThrough(box netip.AddrPort) { r.unanswered.GiveUpThrough(box) }

// InFlight returns the number of requests in flight.
func (r *Relay) InFlight() int { return int(r.inFlight.Load()) }

// request is one request of a caller, with its complete body and its checked headers.
type request struct {
	head     Head
	incoming *http.Request
	body     []byte
	caller   *slowpeer.Caller
	// pending is what a leaving box needs to know of the request.
	pending *pendingRequest
	// routing is the configuration in which the route was looked up.
	routing    confirmedRouting
	route      *resource.Route
	service    string
	receivedAt time.Time
	// deadline is when the caller's or the route's time limit ends, whichever is earlier.
	deadline time.Time
	// possibleRuns counts the endpoints that may have run the request. arrivals counts all endpoints that received it.
	possibleRuns int
	arrivals     int
	// connectFailures counts the endpoints that could not be reached, for example because nothing listened there.
	connectFailures int
	// rateLimited counts the endpoints that were skipped because of their rate limits. rateLimitedAsks counts those of
	// them whose owners were asked.
	rateLimited     refusals
	rateLimitedAsks int
	// customer is the customer that sent the request, nil where callers need no key. keyDigest is the digest of the key.
	customer  *customer.Customer
	keyDigest customer.Digest
	// chargedUnits is the number of units charged to the quota of chargedCustomer.
	chargedUnits    float64
	chargedCustomer *customer.Customer
	// isDemand is set if the request is still to be counted as asked of its service. restriction is why it may only take room that no other request
	// needs, nil if it may take any. overShare is why it was refused over a share, empty if it was not.
	isDemand    bool
	restriction *share.Restriction
	overShare   share.Reason
	// suspect identifies the request if it is sent again.
	suspect quarantine.Suspect
	// answerBytes is the number of bytes that were read from the bodies of its answers.
	answerBytes int64
	// wasRun is set if the status of the last answer shows that the endpoint ran the request.
	wasRun bool
	// isForwardedUnknown is set if it is not known how much of the answer has been forwarded.
	isForwardedUnknown bool
	// ref is the adapter version that the request needs. tries lists the owners and endpoints that were tried, with the
	// outcomes.
	ref   string
	tries []string
	// lastEndpoint is the last endpoint that the request was sent to. untilSent is the time from the receipt of the
	// request until it was sent there, untilAnswered the time until the head of the answer arrived.
	lastEndpoint  string
	untilSent     time.Duration
	untilAnswered time.Duration
	// forwardedAt is when the last event of the stream was forwarded, zero if none was. longestGap is the longest pause between
	// two events for the caller, including the change to another engine.
	forwardedAt time.Time
	longestGap  time.Duration
	// continueBy is the latest useful start of the continuation of a stream, zero if the request is no continuation.
	continueBy time.Time
	// needsGrant is set if the request may only be sent with the grant of an owner.
	needsGrant bool
	// next is where the stream continues.
	next *continuation
	// binding is the software version of a stream that has begun. origin is the record of the stream that the request resumes, zero if
	// it resumes none or no record is known.
	binding versionBinding
	origin  origin.Record
	// sentVersion is the software version of the last endpoint that the request was sent to.
	sentVersion string
	// resumption states how the software version of a resumed stream was found, empty if the request resumes none.
	resumption string
	// status is that of the answer to the caller, zero if the answer has no head. ground is what the answer rests on if it is a promise.
	status int
	ground ground
}

// timeLeft returns the time until the deadline of the request.
func (q *request) timeLeft() time.Duration { return clock.Until(q.deadline) }

// recordTry records the outcome of a try at an owner or an endpoint.
func (q *request) recordTry(target, outcome string) {
	if len(q.tries) < maxLoggedTries {
		q.tries = append(q.tries, target+"="+outcome)
	}
}

// callerError returns the error for a caller that is still connected. The error states that the request did not run
// only if no earlier try may have run it. CallerGone becomes DeadlineUnmet: since the caller is still connected, the
// request ended because its own time was over.
func (q *request) callerError(rerr *result.Error) *result.Error {
	if rerr.Code == result.CallerGone {
		rerr = &result.Error{Code: result.DeadlineUnmet, Detail: rerr.Detail}
	}
	return rerr.AdjustForRetries(q.possibleRuns > 0)
}

// ServeHTTP forwards one request and sends the answer, or an error, to the caller.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	caller := r.cfg.Callers.NewCaller(w)
	defer caller.Close()
	w = caller
	q, rerr := r.readRequest(caller, req)
	defer r.pending.remove(q.pending)
	if r.cfg.Leaving() > 0 {
		w.Header().Set("Connection", "close")
	}
	if rerr == nil {
		rerr = r.refuseIfLeaving(q)
	}
	if rerr == nil {
		rerr = r.checkQuarantine(q)
	}
	if rerr == nil {
		rerr = r.bindVersion(req.Context(), q)
	}
	if rerr == nil {
		rerr = r.chargeUnits(q)
	}
	// To end the reading of a body that has been read ends the context. No endpoint has the request yet.
	if rerr != nil && q.pending.isEnded() && (rerr.Code == result.SlowBody || req.Context().Err() != nil) {
		rerr = r.newLeavingError()
	}
	if rerr != nil {
		r.refuse(w, q, rerr)
		return
	}
	r.restrict(q)
	ctx, cancel := context.WithTimeout(req.Context(), q.timeLeft())
	defer cancel()
	q.pending.admit(cancel)
	defer r.recordRun(q)
	defer r.refundUnits(q)
	r.budgets.earn(q.service)
	out := &output{w: caller, onStarted: func() { r.recordBegin(q) }}
	if r.isModelRequest(q) {
		rerr = r.serveModel(ctx, out, q)
	} else {
		rerr = r.servePlain(ctx, out, q)
	}
	r.finish(req.Context(), out, q, rerr)
}

// endRead ends the reading of a request body.
func endRead(w http.ResponseWriter) {
	// If the connection does not support deadlines, the box reads until the connection closes.
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
}

// readRequest reads the headers and the body of a request, and finds its route and customer. The request is one of the pending ones from then on.
func (r *Relay) readRequest(w *slowpeer.Caller, req *http.Request) (*request, *result.Error) {
	q := &request{incoming: req, caller: w, pending: r.pending.add(func() { endRead(w) }), receivedAt: clock.Now()}
	current := r.currentRouting()
	table := current.table
	q.routing = current
	if table == nil {
		return q, result.New(result.NotReady, "%s has no routes yet", r.cfg.Box)
	}
	head, err := r.cfg.Wire.ReadHead(req.Header)
	if err != nil {
		return q, result.New(result.BadRequest, "%v", err)
	}
	q.head = head
	rt, ok := table.Lookup(req.Host, req.URL.Path)
	if !ok {
		return q, r.refuseUnknown(q, current, result.New(result.NoRoute, "%s%s", req.Host, req.URL.Path))
	}
	q.route, q.service = rt, route.PickService(rt, head.ID)
	timeout := time.Duration(rt.Timeout)
	if head.Deadline > 0 {
		timeout = min(timeout, head.Deadline)
	}
	q.deadline = q.receivedAt.Add(timeout)
	q.pending.describe(q.runKind(), q.deadline)
	if rerr := r.identifyCustomer(q, current); rerr != nil {
		return q, rerr
	}
	w.Describe(q.customerName(), rt.Name)
	content, rerr := body.Read(w, w.WithBody(req), bodyLimits(table.CallerLimits(), q))
	q.body = content
	q.suspect = suspectOf(q)
	return q, rerr
}

// bodyLimits returns the limits for reading a request body: the configured size and the time that the request has
// left.
func bodyLimits(limits resource.CallerLimits, q *request) body.Limits {
	maxBytes := limits.BodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBody
	}
	return body.Limits{Bytes: maxBytes, Time: q.timeLeft()}
}

// isModelRequest reports whether a request must go to a model engine.
func (r *Relay) isModelRequest(q *request) bool {
	s, ok := r.cfg.Catalog.Topology().Routes.Service(q.service)
	return ok && s.Engine != nil && q.head.Model != ""
}

// finish records the end of a request. If the answer is incomplete, it sends an error or aborts the connection.
func (r *Relay) finish(callerCtx context.Context, out *output, q *request, rerr *result.Error) {
	if out.started {
		r.recordStatus(q, out.status, true)
	}
	if rerr == nil {
		r.countResult(result.OK)
		r.recordLatencies(q)
		r.logRequest(q, result.New(result.OK, ""))
		return
	}
	switch {
	case rerr.Code == result.CallerNotReading:
		// The failed write has ended the caller's context as well.
	case q.pending.isEnded():
		rerr = r.leavingResult(q, rerr, out.started)
	case callerCtx.Err() != nil:
		rerr = result.New(result.CallerGone, "%s", rerr.Error())
	case !out.started:
		rerr = q.callerError(rerr)
	}
	if !out.started {
		r.refuse(out.w, q, rerr)
		return
	}
	r.countUntaken(q, rerr.Code)
	r.countResult(rerr.Code)
	r.countLeaving(rerr.Code)
	r.logRequest(q, rerr)
	// Aborting the connection shows the caller that the answer is incomplete.
	panic(http.ErrAbortHandler)
}

// refuse sends an error of this box to the caller. If the request did not run, the status is always one that
// guarantees this.
func (r *Relay) refuse(w http.ResponseWriter, q *request, rerr *result.Error) {
	info := rerr.Code.Info()
	if wait := rerr.RetryDelay(); info.Ran == result.RanNo && wait > 0 {
		r.cfg.Wire.WriteRetryAfter(w.Header(), wait)
	}
	status := info.Status
	if info.Ran == result.RanNo && (status >= http.StatusInternalServerError || status == http.StatusMisdirectedRequest) {
		status = http.StatusServiceUnavailable
	}
	r.recordStatus(q, status, false)
	r.countUntaken(q, rerr.Code)
	r.countResult(rerr.Code)
	r.countLeaving(rerr.Code)
	r.logRequest(q, rerr)
	rerr.WriteStatus(w, status, q.head.ID)
}

// output writes the answer to a caller.
type output struct {
	w       *slowpeer.Caller
	started bool
	// status is that of the forwarded answer, zero until the answer has been started.
	status int
	// onEvent, if set, is called for each event that arrives from the endpoint, and before an answer that is not a stream is
	// forwarded. onForwarded is called when an event has been written.
	onEvent     func()
	onForwarded func()
	// onStarted, if set, is called when the head of a successful answer has been forwarded.
	onStarted func()
	// hasCrashed reports whether the endpoint of the current answer has crashed.
	hasCrashed func() bool
	// unreadCut is the error of the last stream that its endpoint broke off after a pause of the caller, nil if there was none.
	unreadCut *result.Error
	// isEventTooLong is set if the last stream was cut because an event exceeded the limits.
	isEventTooLong bool
}
