package box

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/intake"
	"github.com/bellgap/bellgap/internal/settings"
)

// Shares of the descriptors that the connections of a listener may take, in units of 1/descriptorShares. The rest is for connections to
// endpoints, to other boxes and to the store, and for files.
const (
	descriptorShares = 16
	callerShare      = 5
	peerShare        = 3
	otherShare       = 1
)

// servers builds the HTTP servers of a box, whose connections share one budget.
type servers struct {
	pool        *intake.Pool
	descriptors int
}

func newServers(p settings.Process, scope tally.Scope) *servers {
	descriptors := p.MaxDescriptors
	if descriptors == 0 {
		descriptors = descriptorLimit()
	}
	return &servers{pool: intake.NewPool(intake.PoolConfig{MaxBytes: p.IntakeBytes(), Scope: scope}), descriptors: descriptors}
}

// descriptorLimit returns the number of descriptors that this process may have, zero if that is not known.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		klog.ErrorS(err, "limit of descriptors not available; connections are not bounded")
		return 0
	}
	return int(min(limit.Cur, 1<<24))
}

// add returns the supervised server of a listener, which may have a share of the descriptors.
func (s *servers) add(name string, share int, l net.Listener, handler http.Handler) server {
	counted := intake.NewListener(l, intake.ListenerConfig{Name: name, Pool: s.pool, MaxConns: s.descriptors * share / descriptorShares})
	return server{counted, handler}
}

// server is the supervised HTTP server of a listener.
type server struct {
	listener net.Listener
	handler  http.Handler
}

// Serve implements suture.Service.
func (s server) Serve(ctx context.Context) error {
	err := httpx.Serve(ctx, httpx.NewServer(s.handler), s.listener)
	if ctx.Err() == nil {
		// A restart of this server cannot reopen a failed listener, so the whole supervisor tree must end.
		return errors.Join(err, suture.ErrTerminateSupervisorTree)
	}
	return err
}
