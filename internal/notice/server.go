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

// Server answers the notifications and comparisons of other boxes.
type Server struct{ cfg ServerConfig }

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server { return &Server{cfg: cfg} }

// Register adds the handlers of the protocol to mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathNotify, func(w http.ResponseWriter, r *http.Request) {
		var m message
		if !result.ReadJSON(w, r, maxMessageBytes, &m) {
			return
		}
		s.cfg.Board.MergeLeaving(clock.Now(), m.Leaving)
		httpx.WriteJSON(w, http.StatusOK, message{})
	})
	mux.HandleFunc("POST "+pathCompare, func(w http.ResponseWriter, r *http.Request) {
		var m message
		if !result.ReadJSON(w, r, maxMessageBytes, &m) {
			return
		}
		known := s.cfg.Board.LeavingEndpoints(clock.Now())
		answer := message{Checksum: leavingChecksum(known)}
		if answer.Checksum != m.Checksum {
			answer.Leaving = known
		}
		httpx.WriteJSON(w, http.StatusOK, answer)
	})
}
