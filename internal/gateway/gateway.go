// Package gateway serves callers: completions, services, models and locate, and the hop between boxes.
package gateway

import (
	"net/http"
	"sync"
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
)

// Limits bound what callers can take up.
type Limits struct {
	// BodyBytes and BodyTime bound a request body.
	BodyBytes int64
	BodyTime  time.Duration
	// DefaultWait is the wait for a start when neither request nor priority names one.
	DefaultWait time.Duration
	// Longest bounds a whole request.
	Longest time.Duration
	// LocateKeep is how long callers may keep a locate answer.
	LocateKeep time.Duration
}

// suspectFor is how long a box that did not answer is tried last.
const suspectFor = 3 * time.Second

// Config configures a Gateway.
type Config struct {
	// Box is the name of this box.
	Box     string
	Catalog *catalog.Catalog
	Owners  *owner.Set
	Engines *engine.Client
	// Hop sends requests to other boxes; its transport waits for 100 Continue.
	Hop *http.Client
	// Services calls plain services, ServicesOnce those calls that must not be repeated.
	Services     *http.Client
	ServicesOnce *http.Client
	Limits       Limits
	// Quarantine knows which requests reach no back end, as others have ended under them.
	Quarantine *quarantine.Client
	// Places counts the calls of all boxes at the addresses of services, Rates is what engines and services say of how many requests a second they take.
	Places *places.Client
	Rates  *ratelimit.Book
	// Notices is what else they have said of themselves.
	Notices *notice.Board
	// Record keeps what was decided, for operators.
	Record *record.Log
	// Ready and Leaving tell the state of this box.
	Ready   func() bool
	Leaving func() bool
	Scope   tally.Scope
	// NewID returns an id that no other request has.
	NewID func() string
}

// Gateway is the caller-facing part of a box.
type Gateway struct {
	cfg      Config
	mu       sync.Mutex
	inFlight map[string]int
	// suspects are the boxes that did not answer lately.
	suspects *recent.Set[string]
	retries  *budget
}

// New returns a Gateway.
func New(cfg Config) *Gateway {
	return &Gateway{cfg: cfg, inFlight: map[string]int{}, suspects: recent.New[string](suspectFor), retries: newBudget()}
}

// Handler serves callers.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", g.handleCompletion)
	mux.HandleFunc("POST /v1/completions", g.handleCompletion)
	mux.HandleFunc("GET /v1/models", g.handleModels)
	mux.HandleFunc("GET /locate", g.handleLocate)
	mux.HandleFunc("/services/{service}/", g.handleService)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		g.fail(w, r.Header.Get(result.HeaderRequest), result.New(result.NotFound, "%s %s", r.Method, r.URL.Path))
	})
	return mux
}

// RegisterPeer adds the hop between boxes to mux.
func (g *Gateway) RegisterPeer(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathRun, g.handleHop)
}

// fail counts a refusal and sends it.
func (g *Gateway) fail(w http.ResponseWriter, requestID string, err *result.Error) {
	g.countEnd(err.Code)
	w.Header().Set(result.HeaderBox, g.cfg.Box)
	err.Write(w, requestID)
}

func (g *Gateway) countEnd(c result.Code) {
	g.cfg.Scope.Tagged(map[string]string{"result": c.String()}).Counter("requests").Inc(1)
}

// enter counts a request of a co-operative in, up to its limit on this box.
func (g *Gateway) enter(cooperative string, limit int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit > 0 && g.inFlight[cooperative] >= limit {
		return false
	}
	g.inFlight[cooperative]++
	return true
}

func (g *Gateway) exit(cooperative string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight[cooperative]--
	if g.inFlight[cooperative] == 0 {
		delete(g.inFlight, cooperative)
	}
}

// InFlight returns the requests in flight.
func (g *Gateway) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, k := range g.inFlight {
		n += k
	}
	return n
}
