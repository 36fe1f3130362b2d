package quota

import (
	"encoding/json"
	"net/http"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/customer"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/result"
)

// maxRequestBytes limits the size of a request.
const maxRequestBytes = 4 << 10

// ServerConfig configures a Server.
type ServerConfig struct {
	Ledger      *Ledger
	Accountable Accountable
	// Customer returns a customer of the current configuration by name.
	Customer func(name string) (*customer.Customer, bool)
}

// Server handles the requests of other boxes for units.
type Server struct{ cfg ServerConfig }

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server { return &Server{cfg: cfg} }

// Register registers the handler of the protocol on mux.
func (s *Server) Register(mux *http.ServeMux) { mux.HandleFunc("POST "+pathTake, s.handleTake) }

func (s *Server) handleTake(w http.ResponseWriter, r *http.Request) {
	var req TakeRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil || req.Need < 0 || req.Ahead < 0 {
		result.New(result.BadRequest, "invalid quota request for %q: %v", req.Customer, err).Write(w, "")
		return
	}
	cust, known := s.cfg.Customer(req.Customer)
	if _, here, ok := s.cfg.Accountable.BoxFor(req.Customer); !known || !ok || !here {
		result.New(result.NotAccountable, "%s", req.Customer).Write(w, "")
		return
	}
	httpx.WriteJSON(w, http.StatusOK, s.cfg.Ledger.Take(clock.Now(), cust.Quota, req))
}
