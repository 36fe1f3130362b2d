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

// Server answers other boxes.
type Server struct{ cfg ServerConfig }

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server { return &Server{cfg: cfg} }

// Register adds the paths to mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathReport, func(w http.ResponseWriter, r *http.Request) { s.handle(w, r, s.cfg.Client.report) })
	mux.HandleFunc("POST "+pathTell, func(w http.ResponseWriter, r *http.Request) {
		s.handle(w, r, func(_ context.Context, told []Case) []Case { return s.cfg.Client.known(told) })
	})
}

// handle answers with what is known of the cases that are told.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, take func(context.Context, []Case) []Case) {
	var told []Case
	if !result.ReadJSON(w, r, maxMessage, &told) {
		return
	}
	httpx.WriteJSON(w, http.StatusOK, take(r.Context(), told))
}
