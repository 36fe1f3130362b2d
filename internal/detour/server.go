package detour

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/reach"
	"github.com/bellgap/bellgap/internal/result"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Reach *reach.Tracker
	// IsEndpoint reports whether an address is that of a known endpoint. The box connects to no other address.
	IsEndpoint func(netip.AddrPort) bool
	// IsLeaving reports whether this box is leaving.
	IsLeaving func() bool
	// MaxConns is the maximum number of open detours.
	MaxConns int
	Scope    tally.Scope
}

// Server connects other boxes to endpoints.
type Server struct {
	cfg  ServerConfig
	open atomic.Int64
}

// NewServer returns a Server.
func NewServer(cfg ServerConfig) *Server { return &Server{cfg: cfg} }

// Register adds the handler of the Server to mux.
func (s *Server) Register(mux *http.ServeMux) { mux.Handle("GET "+path, s) }

// Open returns the number of open detours.
func (s *Server) Open() int { return int(s.open.Load()) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !r.URL.Query().Has(queryEndpoint) {
		s.answerWhetherItConnects(w)
		return
	}
	endpoint, err := netip.ParseAddrPort(r.URL.Query().Get(queryEndpoint))
	if err != nil || !s.cfg.IsEndpoint(endpoint) {
		s.refuse(w, result.New(result.NotFound, "%s is not a known endpoint", r.URL.Query().Get(queryEndpoint)))
		return
	}
	if rerr := s.checkConnects(); rerr != nil {
		s.refuse(w, rerr)
		return
	}
	if !s.reserve() {
		s.refuse(w, result.New(result.NoPath, "this box carries %d detours", s.cfg.MaxConns))
		return
	}
	defer s.open.Add(-1)
	conn, rerr := s.connect(r.Context(), endpoint)
	if rerr != nil {
		s.refuse(w, rerr)
		return
	}
	defer func() { _ = conn.Close() }()
	s.carry(w, conn)
}

// reserve counts one more open detour, unless MaxConns are open.
func (s *Server) reserve() bool {
	for {
		open := s.open.Load()
		if open >= int64(s.cfg.MaxConns) {
			return false
		}
		if s.open.CompareAndSwap(open, open+1) {
			return true
		}
	}
}

// answerWhetherItConnects tells another box whether this one connects to endpoints.
func (s *Server) answerWhetherItConnects(w http.ResponseWriter) {
	if rerr := s.checkConnects(); rerr != nil {
		s.refuse(w, rerr)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// checkConnects returns an error if this box opens no connections to endpoints for others.
func (s *Server) checkConnects() *result.Error {
	if s.cfg.IsLeaving() || s.cfg.Reach.IsDetached() {
		return result.New(result.NoPath, "this box is leaving or reaches no endpoint")
	}
	return nil
}

func (s *Server) refuse(w http.ResponseWriter, rerr *result.Error) {
	s.cfg.Scope.Tagged(map[string]string{"reason": rerr.Code.String()}).Counter("detours_refused").Inc(1)
	rerr.Write(w, "")
}

// connect connects to an endpoint directly.
func (s *Server) connect(ctx context.Context, endpoint netip.AddrPort) (net.Conn, *result.Error) {
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := s.cfg.Reach.Dial(dialCtx, "tcp", endpoint.String())
	switch {
	case err == nil:
		return conn, nil
	case !errors.Is(err, syscall.ECONNREFUSED):
		return nil, result.New(result.TimedOut, "%v", err)
	case s.cfg.Reach.CanReachOther(ctx, endpoint):
		return nil, result.New(result.NotListening, "%v", err)
	default:
		return nil, result.New(result.NoPath, "this box reaches no endpoint")
	}
}

// carry copies bytes between another box and an endpoint until the box closes its connection or one of the connections fails. The end of an endpoint's
// connection is passed on, while the endpoint may read on.
func (s *Server) carry(w http.ResponseWriter, endpoint net.Conn) {
	caller, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		klog.ErrorS(err, "connection of a detour cannot be taken over")
		return
	}
	s.cfg.Scope.Counter("detours_carried").Inc(1)
	closeBoth := func() {
		_ = caller.Close()
		_ = endpoint.Close()
	}
	defer closeBoth()
	// The server of the peer listener may have set deadlines.
	_ = caller.SetDeadline(time.Time{})
	wrapped := caller
	if wrapper, ok := caller.(interface{ NetConn() net.Conn }); ok {
		wrapped = wrapper.NetConn()
	}
	if tcp, ok := wrapped.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive)
	}
	if _, err := io.WriteString(caller, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n"); err != nil {
		return
	}
	// A reset that a write to the endpoint meets must not reach the other box as an end in order.
	tracked := httpx.NewTrackedConn(endpoint)
	var copying errgroup.Group
	copying.Go(func() error {
		defer closeBoth()
		_, err := io.Copy(tracked, buffered)
		return err
	})
	copying.Go(func() error {
		err := copyFrames(caller, tracked)
		if err != nil {
			closeBoth()
		}
		return err
	})
	if err := copying.Wait(); err != nil {
		klog.V(1).InfoS("detour ended", "endpoint", endpoint.RemoteAddr(), "err", err)
	}
}
