package grant

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/owner"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/result"
)

const (
	// keepaliveInterval is the time between two keepalive responses to a box that waits for a grant. It is a third of
	// keepaliveTimeout, after which that box stops waiting.
	keepaliveInterval = 60 * time.Millisecond
	// maxMessageBytes limits the size of a received message.
	maxMessageBytes = 64 << 10
	// maxHold is the longest time until a grant expires.
	maxHold = 15 * time.Minute
)

// ServerConfig holds the dependencies of a Server.
type ServerConfig struct {
	Owners *owner.Set
	// Rates holds the rate limits of engines that are known to this box.
	Rates *ratelimit.Registry
}

// Server handles the requests of other boxes for grants on the engines that this box owns.
type Server struct {
	cfg    ServerConfig
	mu     sync.Mutex
	nextID uint64
	held   map[uint64]*heldGrant
}

// heldGrant is a grant to another box that has not ended or expired yet.
type heldGrant struct {
	grant  *owner.Grant
	expiry *time.Timer
}

// NewServer returns a Server. Its grant IDs start at a random number: the end message for a grant from a previous incarnation of
// this box may still arrive at the same address, and must not release a grant from this incarnation.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg, nextID: rand.Uint64(), held: map[uint64]*heldGrant{}}
}

// Register adds the HTTP handlers to mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathAcquire, s.handleAcquire)
	mux.HandleFunc("POST "+pathEnd, s.handleEnd)
}

func (s *Server) handleAcquire(w http.ResponseWriter, r *http.Request) {
	var req Request
	if !result.ReadJSON(w, r, maxMessageBytes, &req) {
		return
	}
	runner, ok := s.cfg.Owners.Get(req.Engine)
	if !ok {
		result.New(result.NotOwner, "%s", req.Engine).Write(w, "")
		return
	}
	q, rerr := req.OwnerRequest(clock.Now())
	if rerr != nil {
		rerr.Write(w, "")
		return
	}
	g, rerr := AcquireWithKeepalive(r.Context(), w, runner, q, keepaliveInterval)
	SetRateHeader(w.Header(), runner.Rate())
	setLoadHeader(w.Header(), runner)
	if rerr != nil {
		rerr.Write(w, "")
		return
	}
	if r.Context().Err() != nil {
		g.Release(owner.EndUnused)
		return
	}
	httpx.WriteJSON(w, http.StatusOK, acquireAnswer{ID: s.hold(g, req.Hold), Stalled: g.Stalled})
}

// SetRateHeader sets the response header that contains an engine's rate limit, unless report is nil. The requesting box uses
// the limit when it can no longer reach this box.
func SetRateHeader(h http.Header, report *ratelimit.Report) {
	if report == nil {
		return
	}
	encoded, err := json.Marshal(report)
	if err != nil {
		klog.ErrorS(err, "rate limit of the engine not encoded; response header omitted")
		return
	}
	h.Set(headerRate, string(encoded))
}

// setLoadHeader sets the response header that contains the load of an engine, unless there is none to report. The load includes the
// decision on the request that is answered.
func setLoadHeader(h http.Header, runner *owner.Runner) {
	load, ok := runner.Load(clock.Now())
	if !ok {
		return
	}
	encoded, err := json.Marshal(load.Report)
	if err != nil {
		klog.ErrorS(err, "load of the engine not encoded; response header omitted")
		return
	}
	h.Set(headerLoad, string(encoded))
}

// hold stores a grant until it is released or expires, and returns its ID.
func (s *Server) hold(g *owner.Grant, limit time.Duration) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := s.nextID
	// If the requesting box is gone, its request may still run on the engine, so an expired grant counts as broken off.
	expiry := time.AfterFunc(min(max(limit, 0), maxHold), func() { s.release(id, owner.EndBroken) })
	s.held[id] = &heldGrant{grant: g, expiry: expiry}
	return id
}

// reportFirstToken notifies the owner that the first token of a granted request has arrived.
func (s *Server) reportFirstToken(id uint64) {
	s.mu.Lock()
	h, ok := s.held[id]
	s.mu.Unlock()
	if ok {
		h.grant.RecordFirstToken()
	}
}

// recordGap records the longest pause of the stream of a grant, before its release.
func (s *Server) recordGap(id uint64, longest time.Duration) {
	s.mu.Lock()
	h, ok := s.held[id]
	s.mu.Unlock()
	if ok {
		h.grant.RecordGap(longest)
	}
}

// release ends a grant. It ignores unknown IDs.
func (s *Server) release(id uint64, e owner.End) {
	s.mu.Lock()
	h, ok := s.held[id]
	delete(s.held, id)
	s.mu.Unlock()
	if ok {
		h.expiry.Stop()
		h.grant.Release(e)
	}
}

func (s *Server) handleEnd(w http.ResponseWriter, r *http.Request) {
	var msg updateMessage
	if !result.ReadJSON(w, r, maxMessageBytes, &msg) {
		return
	}
	for _, id := range msg.FirstTokens {
		s.reportFirstToken(id)
	}
	for _, e := range msg.Rates {
		s.cfg.Rates.Record(clock.Now(), e.Engine, e.Rate)
		if runner, ok := s.cfg.Owners.Get(e.Engine); ok {
			runner.UpdateRate(e.Rate)
		}
	}
	for _, e := range msg.Ends {
		s.recordGap(e.ID, e.Gap)
		s.release(e.ID, e.End)
	}
	w.WriteHeader(http.StatusNoContent)
}
