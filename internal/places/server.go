package places

import (
	"net/http"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/ratelimit"
	"github.com/bellgap/bellgap/internal/result"
)

// maxMessageBytes limits the size of a received message.
const maxMessageBytes = 256 << 10

// ServerConfig holds the dependencies of a Server.
type ServerConfig struct {
	Keeper *Keeper
	// Rates holds the rate limits of endpoints that are known to this box.
	Rates *ratelimit.Registry
}

// Server handles the place requests of other boxes.
type Server struct{ cfg ServerConfig }

// NewServer returns a Server. Its handlers are added by Register.
func NewServer(cfg ServerConfig) *Server { return &Server{cfg: cfg} }

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
	httpx.WriteJSON(w, http.StatusOK, s.cfg.Keeper.Acquire(clock.Now(), req))
}

func (s *Server) handleEnd(w http.ResponseWriter, r *http.Request) {
	var ends []EndReport
	if !result.ReadJSON(w, r, maxMessageBytes, &ends) {
		return
	}
	for _, e := range ends {
		if e.Rate != nil {
			s.cfg.Rates.Record(clock.Now(), e.Endpoint, *e.Rate)
		}
		s.cfg.Keeper.UpdateRate(clock.Now(), e.Endpoint, e.Rate)
		s.cfg.Keeper.End(clock.Now(), e)
	}
	w.WriteHeader(http.StatusNoContent)
}
