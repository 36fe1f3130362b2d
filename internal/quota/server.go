package quota

import (
	"encoding/json"
	"net/http"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/customer"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/result"
)

// maxAsk bounds a message.
const maxAsk = 4 << 10

// ServerConfig configures a Server.
type ServerConfig struct {
	Ledger      *Ledger
	Accountable Accountable
	// Customer returns a customer of the configuration in force.
	Customer func(name string) (*customer.Customer, bool)
}

// Server answers the asks of other boxes.
type Server struct{ cfg ServerConfig }

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server { return &Server{cfg: cfg} }

// Register adds the path to mux.
func (s *Server) Register(mux *http.ServeMux) { mux.HandleFunc("POST "+pathTake, s.handleTake) }

func (s *Server) handleTake(w http.ResponseWriter, r *http.Request) {
	var ask Ask
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAsk)).Decode(&ask); err != nil || ask.Need < 0 || ask.Ahead < 0 {
		result.New(result.BadRequest, "ask for %q: %v", ask.Customer, err).Write(w, "")
		return
	}
	who, known := s.cfg.Customer(ask.Customer)
	if _, here, ok := s.cfg.Accountable.For(ask.Customer); !known || !ok || !here {
		result.New(result.NotAccountable, "%s", ask.Customer).Write(w, "")
		return
	}
	httpx.WriteJSON(w, http.StatusOK, s.cfg.Ledger.Take(clock.Now(), who.Quota, ask))
}
