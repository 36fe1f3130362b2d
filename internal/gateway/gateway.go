// Package gateway handles the requests of callers: completions, calls of services, the list of models and locate.
// If another box owns the engine for a completion, the gateway forwards the request to that box. This is called a hop.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/places"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/recent"
	"github.com/bellgap/bellgap/internal/record"
	"github.com/bellgap/bellgap/internal/result"
	"github.com/bellgap/bellgap/internal/slowpeer"
	"github.com/bellgap/bellgap/internal/unanswered"
)

// Limits bound the requests of callers.
type Limits struct {
	// BodyBytes is the maximum size of a request body, BodyTime the maximum time for it to arrive.
	BodyBytes int64
	BodyTime  time.Duration
	// DefaultWait is how long a request may wait for its start if neither the request nor its priority sets a time.
	DefaultWait time.Duration
	// MaxDuration is the maximum duration of a whole request.
	MaxDuration time.Duration
	// LocateTTL is how long callers may cache a locate response.
	LocateTTL time.Duration
}

// unresponsivePeriod is how long a box that did not answer is tried after all others.
const unresponsivePeriod = 3 * time.Second

// Config configures a Gateway.
type Config struct {
	// Box is the name of this box.
	Box     string
	Catalog *catalog.Catalog
	Owners  *owner.Set
	Engines *engine.Client
	// PeerClient is the client for requests to other boxes. Its transport must wait for 100 Continue before it sends a body.
	PeerClient *http.Client
	// Services is the client for calls of services, UnrepeatableServices the client for those calls that must not run twice.
	Services             *http.Client
	UnrepeatableServices *http.Client
	Limits               Limits
	// Quarantine refuses requests that have crashed back ends before.
	Quarantine *quarantine.Client
	// Places counts the calls of all boxes to the addresses of services, so that their rate limits hold.
	Places *places.Client
	// Rates stores the rate limits that engines and services report.
	Rates *ratelimit.Registry
	// Notices stores which engines and services have announced that they are leaving or requested a pause.
	Notices *notice.Board
	// Callers bounds what is held for callers and endpoints that do not read. New sets one with default limits if it is nil.
	Callers *slowpeer.Tracker
	// Record stores how recent requests were handled, for operators.
	Record *record.Log
	// Ready reports whether this box can serve requests, Leaving whether it ends soon.
	Ready   func() bool
	Leaving func() bool
	Scope   tally.Scope
	// NewID returns a unique request id.
	NewID func() string
}

// Gateway is the caller-facing part of a box.
type Gateway struct {
	cfg Config
	mu  sync.Mutex
	// inFlight counts the requests in flight by co-operative or service.
	inFlight map[string]int
	// unresponsive contains the boxes that did not answer recently.
	unresponsive *recent.Set[string]
	retryBudget  *retryBudget
	unanswered   *unanswered.Set
	// ending is done when this box ends its calls in flight, since it is about to end itself. endCalls ends it.
	ending   context.Context
	endCalls context.CancelFunc
	// leftUnfinished counts the calls that this has ended.
	leftUnfinished atomic.Int64
}

// New returns a Gateway.
func New(cfg Config) *Gateway {
	if cfg.Callers == nil {
		cfg.Callers = slowpeer.New(slowpeer.Config{Scope: cfg.Scope})
	}
	ending, endCalls := context.WithCancel(context.Background())
	return &Gateway{
		cfg: cfg, ending: ending, endCalls: endCalls, inFlight: map[string]int{}, unresponsive: recent.New[string](unresponsivePeriod), retryBudget: newRetryBudget(),
		unanswered: unanswered.New(unanswered.Config{Scope: cfg.Scope}),
	}
}

// GiveUpUnanswered gives back the grants of all requests to engines that have no answer yet, while the requests go on waiting.
func (g *Gateway) GiveUpUnanswered() { g.unanswered.GiveUpAll() }

// EndCalls ends the calls in flight, each with a final answer, because this box is about to end.
func (g *Gateway) EndCalls() { g.endCalls() }

// LeftUnfinished returns the number of calls that EndCalls has ended although they may have run.
func (g *Gateway) LeftUnfinished() int64 { return g.leftUnfinished.Load() }

// callContext returns the context of a call, which ends after limit or when this box ends its calls.
func (g *Gateway) callContext(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, limit)
	stop := context.AfterFunc(g.ending, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// endedResult returns the result of a call that ended with rerr. A call that may have run and ended because this box ends its calls is unfinished.
func (g *Gateway) endedResult(rerr *result.Error) *result.Error {
	if rerr == nil || g.ending.Err() == nil || rerr.Code.Info().Ran == result.RanNo || rerr.Code == result.CallerNotReading {
		return rerr
	}
	g.leftUnfinished.Add(1)
	return result.New(result.LeftUnfinished, "%s: %s", g.cfg.Box, rerr.Error())
}

// Handler returns the HTTP handler for callers.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", g.handleCompletion)
	mux.HandleFunc("POST /v1/completions", g.handleCompletion)
	mux.HandleFunc("GET /v1/models", g.handleModels)
	mux.HandleFunc("GET /locate", g.handleLocate)
	mux.HandleFunc("/services/{service}/", g.handleService)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		g.refuse(w, r.Header.Get(result.HeaderRequest), result.New(result.NotFound, "%s %s", r.Method, r.URL.Path))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		caller := g.cfg.Callers.NewCaller(w)
		defer caller.Close()
		caller.Describe("", r.URL.Path)
		mux.ServeHTTP(caller, caller.WithBody(r))
	})
}

// RegisterPeer adds the handler for requests that other boxes forward to mux.
func (g *Gateway) RegisterPeer(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathRun, g.handleHop)
}

// refuse counts an error and sends it to the caller.
func (g *Gateway) refuse(w http.ResponseWriter, requestID string, err *result.Error) {
	g.countResult(err.Code)
	w.Header().Set(result.HeaderBox, g.cfg.Box)
	err.Write(w, requestID)
}

// countResult counts a finished request by its result.
func (g *Gateway) countResult(c result.Code) {
	g.cfg.Scope.Tagged(map[string]string{"result": c.String()}).Counter("requests").Inc(1)
}

// beginRequest counts a request as in flight. It reports false if the co-operative has reached its limit on this box; zero means
// no limit.
func (g *Gateway) beginRequest(cooperative string, limit int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit > 0 && g.inFlight[cooperative] >= limit {
		return false
	}
	g.inFlight[cooperative]++
	return true
}

func (g *Gateway) endRequest(cooperative string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight[cooperative]--
	if g.inFlight[cooperative] == 0 {
		delete(g.inFlight, cooperative)
	}
}

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, k := range g.inFlight {
		n += k
	}
	return n
}
