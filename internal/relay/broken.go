package relay

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/result"
)

// endedLook bounds the look whether an endpoint is still there: a round trip between zones takes 3 ms, an opening packet that is lost a second.
const endedLook = 300 * time.Millisecond

// brokeOff reports whether a failure means that the endpoint broke a connection off on which it had the request. What ended for want of time, by the
// caller or by this box says nothing of the endpoint.
func brokeOff(err error) bool {
	return !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded)
}

// cutBy returns the failure of a request whose connection to an endpoint ended with err.
func cutBy(code result.Code, err error) *result.Error {
	rerr := result.New(code, "%v", err)
	rerr.BrokenOff = brokeOff(err)
	return rerr
}

// looked is what a look at an endpoint has shown.
type looked string

// An endpoint that broke an answer off may have ended, or have broken off just this one.
const (
	lookedEnded   looked = "ended"
	lookedThere   looked = "there"
	lookedUnknown looked = "unknown"
)

// lookAt finds out whether anything listens at an endpoint's address.
func lookAt(ctx context.Context, address netip.AddrPort) looked {
	ctx, cancel := context.WithTimeout(ctx, endedLook)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	switch {
	case err == nil:
		_ = conn.Close()
		return lookedThere
	case errors.Is(err, syscall.ECONNREFUSED):
		return lookedEnded
	default:
		return lookedUnknown
	}
}

// noteBroken looks whether the endpoint that broke a request off has ended, and says so.
func (r *Relay) noteBroken(ctx context.Context, q *request, to destination, rerr *result.Error) {
	if rerr == nil || !rerr.BrokenOff {
		return
	}
	seen := lookAt(context.WithoutCancel(ctx), to.address)
	r.cfg.Scope.Tagged(map[string]string{"endpoint": string(seen)}).Counter("requests_broken_off").Inc(1)
	klog.InfoS("request broken off", "request", q.head.ID, "fingerprint", q.fingerprint, "endpoint", to.name, "address", to.address, "found", seen, "ref", q.ref)
}

// fingerprintOf returns what a request is known by when it comes again, under whatever id and to whichever box.
func fingerprintOf(q *request) quarantine.Fingerprint {
	return quarantine.Identity{
		Method: q.in.Method, Host: q.in.Host, Path: q.in.URL.Path, Query: q.in.URL.RawQuery, Customer: q.customerName(), Body: q.body,
	}.Fingerprint()
}
