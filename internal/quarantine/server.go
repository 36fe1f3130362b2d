package quarantine

import (
	"context"
	"net/http"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/result"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Client *Client
}

// Server handles the quarantine messages of other boxes.
type Server struct{ cfg ServerConfig }

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server { return &Server{cfg: cfg} }

// Register registers the handlers of the protocol on mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathReport, func(w http.ResponseWriter, r *http.Request) { s.handle(w, r, s.cfg.Client.mergeAndNotify) })
	mux.HandleFunc("POST "+pathNotify, func(w http.ResponseWriter, r *http.Request) {
		s.handle(w, r, func(_ context.Context, received []Case) []Case { return s.cfg.Client.merge(received) })
	})
}

// handle decodes the received cases and replies with the cases that process returns.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, process func(context.Context, []Case) []Case) {
	var received []Case
	if !result.ReadJSON(w, r, maxMessageBytes, &received) {
		return
	}
	httpx.WriteJSON(w, http.StatusOK, process(r.Context(), received))
}
