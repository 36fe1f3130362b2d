package notice

import (
	"net/http"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/result"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Board *Board
}

// Server answers other boxes.
type Server struct{ cfg ServerConfig }

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server { return &Server{cfg: cfg} }

// Register adds the paths to mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathTell, func(w http.ResponseWriter, r *http.Request) {
		var m message
		if !result.ReadJSON(w, r, maxMessage, &m) {
			return
		}
		s.cfg.Board.Told(clock.Now(), m.Left)
		httpx.WriteJSON(w, http.StatusOK, message{})
	})
	mux.HandleFunc("POST "+pathCompare, func(w http.ResponseWriter, r *http.Request) {
		var m message
		if !result.ReadJSON(w, r, maxMessage, &m) {
			return
		}
		known := s.cfg.Board.Left(clock.Now())
		answer := message{Sum: sumOf(known)}
		if answer.Sum != m.Sum {
			answer.Left = known
		}
		httpx.WriteJSON(w, http.StatusOK, answer)
	})
}
