package quarantine

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/result"
)

// probeTimeout limits the probe whether an endpoint is still running. A round trip between zones takes 3 ms.
const probeTimeout = 300 * time.Millisecond

// confirmTimeout limits a probe that asks other boxes as well.
const confirmTimeout = 600 * time.Millisecond

// Endpoint is an endpoint to which a request was sent.
type Endpoint struct {
	Name    string
	Address netip.AddrPort
	// Started is the start time of the endpoint in Unix ms, or zero if the endpoint does not report it.
	Started int64
}

// incarnation returns the name of one incarnation of an endpoint. The number distinguishes it from other incarnations: an
// endpoint that restarts under its old name is a new incarnation.
func (e Endpoint) incarnation(number int64) string {
	return e.Name + "/" + strconv.FormatInt(number, 10)
}

// probeResult is the result of a probe of an endpoint.
type probeResult string

// The probe distinguishes a crashed endpoint from one that only closed a connection. On a day on which a quarter of the engines
// crashed, it reported 50 of 51 as crashed. On two days on which answers were lost or corrupted, it reported none of 58 as
// crashed.
const (
	probeCrashed probeResult = "ended"
	probeRunning probeResult = "there"
	probeUnknown probeResult = "unknown"
)

// probeAddress checks whether a process listens on the address of an endpoint.
func probeAddress(ctx context.Context, address netip.AddrPort) probeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
	switch {
	case err == nil:
		_ = conn.Close()
		return probeRunning
	case errors.Is(err, syscall.ECONNREFUSED):
		return probeCrashed
	default:
		return probeUnknown
	}
}

// probe probes an endpoint. Concurrent calls for the same address share one probe, because a crash breaks many connections at
// once.
func (c *Client) probe(ctx context.Context, address netip.AddrPort) probeResult {
	shared, _, _ := c.probes.Do(address.String(), func() (any, error) {
		ctx := context.WithoutCancel(ctx)
		if c.cfg.IsDown == nil {
			return probeAddress(ctx, address), nil
		}
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		if c.cfg.IsDown(ctx, address) {
			return probeCrashed, nil
		}
		return probeRunning, nil
	})
	outcome, ok := shared.(probeResult)
	if !ok {
		return probeUnknown
	}
	return outcome
}

// HasCrashed reports whether nothing listens at the address of an endpoint any more. It returns false if that cannot be told.
func (c *Client) HasCrashed(ctx context.Context, address netip.AddrPort) bool {
	return c.probe(ctx, address) == probeCrashed
}

// RecordOutcome records the outcome of a request at an endpoint. rerr is nil after a complete answer. If the endpoint crashed,
// RecordOutcome returns when RecordCrash does.
func (c *Client) RecordOutcome(ctx context.Context, s Suspect, e Endpoint, rerr *result.Error) {
	switch {
	case rerr == nil:
		c.RecordSuccess(s.Fingerprint)
		c.recordPartSuccesses(s)
	case rerr.BrokenOff:
		c.RecordBrokenConnection(ctx, s, e)
	}
}

// RecordBrokenConnection records that the connection on which an endpoint ran a request broke. If a probe shows that the endpoint
// has crashed, the crash counts against the request, and RecordBrokenConnection returns when RecordCrash does.
func (c *Client) RecordBrokenConnection(ctx context.Context, s Suspect, e Endpoint) {
	if c.cfg.Disabled {
		return
	}
	outcome := c.probe(ctx, e.Address)
	c.cfg.Scope.Tagged(map[string]string{"endpoint": string(outcome)}).Counter("requests_broken_off").Inc(1)
	klog.V(1).InfoS("connection broke while the endpoint ran the request", "fingerprint", s.Fingerprint,
		"request", s.Description, "endpoint", e.Name, "address", e.Address, "found", outcome)
	if outcome != probeCrashed {
		return
	}
	var group errgroup.Group
	group.Go(func() error {
		c.recordPartCrashes(ctx, s, e)
		return nil
	})
	c.RecordCrash(ctx, s, e)
	// The function of the group returns no error.
	_ = group.Wait()
}

// recordPartSuccesses records a complete answer for the parts of the request's prompt.
func (c *Client) recordPartSuccesses(s Suspect) {
	if c.cfg.Disabled {
		return
	}
	for _, part := range s.Parts {
		c.recordSuccess(part.Fingerprint, partKeeperKey(part.Fingerprint))
	}
}

// Refusal returns the error with which a request is refused because it or a part of its prompt is held, or nil if none is.
func (c *Client) Refusal(s Suspect) *result.Error {
	verdict, held := c.CheckHeld(s.Fingerprint)
	if held {
		return refusal(verdict, "requests with fingerprint "+s.Fingerprint.String())
	}
	if c.cfg.Disabled {
		return nil
	}
	for _, part := range s.Parts {
		if verdict, held = c.cfg.Register.CheckHeld(clock.Now(), part.Fingerprint); held {
			return refusal(verdict, "requests with the prompt part "+part.ID+", fingerprint "+part.Fingerprint.String())
		}
	}
	return nil
}

func refusal(v Verdict, what string) *result.Error {
	rerr := result.New(result.Quarantined, "%d endpoints crashed while they ran %s", v.Crashes, what)
	rerr.RetryAfter = v.MaxWait
	return rerr
}
