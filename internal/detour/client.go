package detour

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/part"
	"github.com/bellgap/bellgap/internal/reach"
	"github.com/bellgap/bellgap/internal/recent"
	"github.com/bellgap/bellgap/internal/result"
)

const (
	// maxBoxes is how many boxes are asked for one connection.
	maxBoxes = 3
	// failedTTL is how long a box that could not carry a connection is not asked again.
	failedTTL = time.Second
	// downTTL is how long an endpoint counts as down after another box found that nothing listens there, silentTTL how long no other box is asked for an
	// endpoint that one of them did not reach in time.
	downTTL   = 500 * time.Millisecond
	silentTTL = time.Second
	// directHeadStart is how long a direct connection attempt may take before another box is asked as well.
	directHeadStart = 150 * time.Millisecond
	// closeInterval is the interval at which detours through leaving boxes are looked for, returnInterval that for detours to endpoints that can be
	// reached directly again, watchInterval that for detours through silent boxes.
	closeInterval  = 200 * time.Millisecond
	returnInterval = 500 * time.Millisecond
	watchInterval  = 50 * time.Millisecond
	// maxReturnDials limits the endpoints to which a direct connection is tried at one time.
	maxReturnDials = 4
)

// Box is another box that may carry connections.
type Box struct {
	Name    string
	Address netip.AddrPort
	Leaving bool
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Reach *reach.Tracker
	// Boxes returns the other boxes that reach endpoints, including leaving ones.
	Boxes func() []Box
	// CloseIdle closes the idle connections to endpoints.
	CloseIdle func()
	// OnLost is called when a box through which connections are open does not answer or no longer connects to endpoints.
	OnLost func(box netip.AddrPort)
	// HTTP asks other boxes whether they connect to endpoints.
	HTTP  *http.Client
	Scope tally.Scope
}

// Client connects to endpoints, directly or through other boxes.
type Client struct {
	cfg ClientConfig
	// failed holds the boxes that recently could not carry a connection, down the endpoints at which nothing listens, silent those that do not answer
	// another box either.
	failed *recent.Set[netip.AddrPort]
	down   *recent.Set[netip.AddrPort]
	silent *recent.Set[netip.AddrPort]
	done   chan struct{}

	mu sync.Mutex
	// carriers are the boxes through which detours are open, by their addresses. detours is the number of open detours to each endpoint.
	carriers map[netip.AddrPort]*carrier
	detours  map[netip.AddrPort]int
}

// NewClient returns a Client. The caller must run its Serve method.
func NewClient(cfg ClientConfig) *Client {
	return &Client{
		cfg: cfg, failed: recent.New[netip.AddrPort](failedTTL), down: recent.New[netip.AddrPort](downTTL), silent: recent.New[netip.AddrPort](silentTTL), done: make(chan struct{}),
		carriers: map[netip.AddrPort]*carrier{}, detours: map[netip.AddrPort]int{},
	}
}

// Done returns a channel that is closed when Serve has returned.
func (c *Client) Done() <-chan struct{} { return c.done }

// Open returns the number of open detours.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, each := range c.carriers {
		n += each.open
	}
	return n
}

// errRefused is the error of a connection to an endpoint at which nothing listens.
func errRefused(endpoint netip.AddrPort) error {
	return &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(endpoint), Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
}

// Dial connects to an endpoint directly, or through another box if that takes long or fails. Its error is syscall.ECONNREFUSED only if nothing
// listens at the endpoint. It is ErrNoPath if this box reaches no endpoint and no other box connects it. Dial implements reach.DialFunc.
func (c *Client) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	endpoint, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Wrap(err, "detour: endpoint address")
	}
	switch {
	case c.down.Has(endpoint, clock.Now()):
		return nil, errRefused(endpoint)
	case c.cfg.Reach.IsDetached():
		return c.dialThroughBoxes(ctx, endpoint)
	case c.silent.Has(endpoint, clock.Now()):
		return c.race(ctx, network, endpoint)
	case c.cfg.Reach.IsAvoided(endpoint):
		conn, err := c.dialThroughBoxes(ctx, endpoint)
		if !errors.Is(err, ErrNoPath) {
			return conn, err
		}
	}
	return c.race(ctx, network, endpoint)
}

// dialResult is the outcome of one of the two ways to an endpoint.
type dialResult struct {
	conn   net.Conn
	err    error
	direct bool
}

// race connects directly and, after directHeadStart or a failure, through other boxes as well. The first connection is used.
func (c *Client) race(ctx context.Context, network string, endpoint netip.AddrPort) (net.Conn, error) {
	raceCtx, cancel := context.WithCancel(ctx)
	results := make(chan dialResult, 2)
	var group errgroup.Group
	group.Go(func() error {
		conn, err := c.cfg.Reach.Dial(raceCtx, network, endpoint.String())
		results <- dialResult{conn, err, true}
		return nil
	})
	startDetour := sync.OnceFunc(func() {
		group.Go(func() error {
			conn, err := c.dialThroughBoxes(raceCtx, endpoint)
			results <- dialResult{conn, err, false}
			return nil
		})
	})
	headStart := time.NewTimer(directHeadStart)
	defer headStart.Stop()
	started, received := 1, 0
	var directErr, detourErr error
	for received < started {
		select {
		case <-headStart.C:
			startDetour()
			started = 2
		case r := <-results:
			received++
			if r.err == nil {
				c.closeLateConnection(cancel, results, started-received)
				return r.conn, nil
			}
			if r.direct {
				directErr = r.err
				startDetour()
				started = 2
			} else {
				detourErr = r.err
			}
		}
	}
	cancel()
	return nil, c.dialError(ctx, endpoint, directErr, detourErr)
}

// closeLateConnection ends the slower way and closes its connection if one comes up all the same.
func (c *Client) closeLateConnection(cancel context.CancelFunc, results <-chan dialResult, open int) {
	var group errgroup.Group
	group.Go(func() error {
		defer cancel()
		if open == 0 {
			return nil
		}
		cancel()
		if r := <-results; r.conn != nil {
			return r.conn.Close()
		}
		return nil
	})
}

// dialError returns the error for an endpoint that could be reached in neither way. If no other box could tell whether anything listens there, this box
// believes a refused connection only if it reaches another endpoint.
func (c *Client) dialError(ctx context.Context, endpoint netip.AddrPort, directErr, detourErr error) error {
	switch {
	case errors.Is(detourErr, syscall.ECONNREFUSED):
		return detourErr
	case errors.Is(directErr, syscall.ECONNREFUSED) && c.cfg.Reach.CanReachOther(ctx, endpoint):
		c.down.Add(endpoint, clock.Now())
		return directErr
	case ctx.Err() != nil:
		return ctx.Err()
	case c.cfg.Reach.IsDetached():
		return eris.Wrapf(ErrNoPath, "%v", directErr)
	default:
		// The cause is not wrapped, because it may be a refused connection that nobody has confirmed.
		return eris.Errorf("detour: endpoint not reached: %v", directErr)
	}
}

// DialDirect connects to an endpoint directly. Its error is syscall.ECONNREFUSED only if nothing listens there. It implements reach.DialFunc.
func (c *Client) DialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	endpoint, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, eris.Wrap(err, "detour: endpoint address")
	}
	conn, err := c.cfg.Reach.Dial(ctx, network, address)
	if err == nil || !errors.Is(err, syscall.ECONNREFUSED) || c.IsDown(ctx, endpoint) {
		return conn, err
	}
	return nil, eris.Errorf("detour: endpoint not reached: %v", err)
}

// IsDown reports whether nothing listens at an endpoint. It returns false if that cannot be told.
func (c *Client) IsDown(ctx context.Context, endpoint netip.AddrPort) bool {
	conn, err := c.Dial(ctx, "tcp", endpoint.String())
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// dialThroughBoxes connects to an endpoint through one of the other boxes.
func (c *Client) dialThroughBoxes(ctx context.Context, endpoint netip.AddrPort) (net.Conn, error) {
	if c.silent.Has(endpoint, clock.Now()) && !c.cfg.Reach.IsDetached() {
		return nil, eris.Wrapf(ErrNoPath, "%s did not answer another box either", endpoint)
	}
	boxes := c.cfg.Boxes()
	rand.Shuffle(len(boxes), func(i, j int) { boxes[i], boxes[j] = boxes[j], boxes[i] })
	asked := 0
	for _, b := range boxes {
		if b.Leaving || c.failed.Has(b.Address, clock.Now()) {
			continue
		}
		if asked++; asked > maxBoxes || ctx.Err() != nil {
			break
		}
		conn, rerr := c.dialThrough(ctx, b, endpoint)
		switch {
		case rerr == nil:
			c.cfg.Scope.Counter("detours").Inc(1)
			return conn, nil
		case rerr.Code == result.NotListening:
			c.down.Add(endpoint, clock.Now())
			return nil, errRefused(endpoint)
		case ctx.Err() != nil:
			// This box has given the connection up.
		case rerr.Code != result.TimedOut:
			c.failed.Add(b.Address, clock.Now())
		case !c.cfg.Reach.IsDetached():
			c.silent.Add(endpoint, clock.Now())
			return nil, eris.Wrapf(ErrNoPath, "%s does not answer %s either", endpoint, b.Name)
		}
		klog.V(1).InfoS("box does not connect to the endpoint", "box", b.Name, "endpoint", endpoint, "why", rerr)
	}
	c.cfg.Scope.Counter("detours_failed").Inc(1)
	return nil, eris.Wrapf(ErrNoPath, "%s, %d boxes asked", endpoint, min(asked, maxBoxes))
}

// dialThrough asks one box for a connection to an endpoint.
func (c *Client) dialThrough(callerCtx context.Context, b Box, endpoint netip.AddrPort) (net.Conn, *result.Error) {
	// The caller's context carries the trace of its request, which would take the request for a detour for the request itself.
	ctx, cancel := context.WithTimeout(context.Background(), carryTimeout)
	defer cancel()
	stopWatching := context.AfterFunc(callerCtx, cancel)
	defer stopWatching()
	conn, err := (&net.Dialer{KeepAliveConfig: keepAlive}).DialContext(ctx, "tcp", b.Address.String())
	if err != nil {
		return nil, result.New(result.BackendUnreachable, "%v", err)
	}
	// Closing the connection is the only way to end a pending read.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	reader, rerr := upgrade(ctx, conn, endpoint)
	if !stop() && rerr == nil {
		rerr = result.New(result.BackendUnreachable, "%v", ctx.Err())
	}
	if rerr != nil {
		_ = conn.Close()
		return nil, rerr
	}
	through := c.addDetour(b.Address, endpoint)
	return &framedConn{Conn: conn, reader: reader, through: through, onClose: func() { c.removeDetour(through, endpoint) }}, nil
}

// upgrade turns a connection to another box into one to an endpoint.
func upgrade(ctx context.Context, conn net.Conn, endpoint netip.AddrPort) (*bufio.Reader, *result.Error) {
	target := "http://" + conn.RemoteAddr().String() + path + "?" + url.Values{queryEndpoint: {endpoint.String()}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, result.New(result.BadRequest, "%v", err)
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", protocol)
	if err := req.Write(conn); err != nil {
		return nil, result.New(result.BackendUnreachable, "%v", err)
	}
	reader := bufio.NewReaderSize(conn, frameHeaderSize+maxFrame)
	resp, err := http.ReadResponse(reader, req)
	if err != nil {
		return nil, result.New(result.BackendUnreachable, "%v", err)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return reader, nil
	}
	defer func() { _ = resp.Body.Close() }()
	code := result.NoPath
	switch resp.StatusCode {
	case http.StatusBadGateway:
		code = result.NotListening
	case http.StatusGatewayTimeout:
		code = result.TimedOut
	}
	return nil, result.New(code, "status %d", resp.StatusCode)
}

// Serve watches open detours until ctx is done. It closes idle connections if some lead through leaving boxes, which wait for their detours to end
// (busy ones close after their next answer),
// through boxes that no longer connect to endpoints, or to endpoints that can be reached directly again.
func (c *Client) Serve(ctx context.Context) error {
	defer part.CloseIfEnded(ctx, c.done)
	var group, asking errgroup.Group
	asking.SetLimit(maxAsked)
	group.Go(func() error {
		for part.Sleep(ctx, watchInterval) {
			c.askSilentCarriers(ctx, &asking)
		}
		return asking.Wait()
	})
	group.Go(func() error {
		for part.Sleep(ctx, returnInterval) {
			if c.reachesDetouredEndpoint(ctx) {
				c.cfg.CloseIdle()
			}
		}
		return nil
	})
	for part.Sleep(ctx, closeInterval) {
		if c.usesLeavingBox() {
			c.cfg.CloseIdle()
		}
	}
	// The functions of the groups return no errors.
	_ = group.Wait()
	return ctx.Err()
}

// usesLeavingBox reports whether detours lead through leaving boxes, and marks these.
func (c *Client) usesLeavingBox() bool {
	if c.Open() == 0 {
		return false
	}
	boxes := c.cfg.Boxes()
	c.mu.Lock()
	defer c.mu.Unlock()
	uses := false
	for _, b := range boxes {
		used := c.carriers[b.Address]
		if !b.Leaving || used == nil {
			continue
		}
		uses = true
		if !used.isLeaving.Swap(true) {
			c.cfg.Scope.Counter("carriers_leaving").Inc(1)
			klog.InfoS("box through which endpoints are connected is leaving", "box", b.Name, "detours", used.open)
		}
	}
	return uses
}

// reachesDetouredEndpoint reports whether a direct connection to an endpoint to which a detour is open succeeds as fast as one that needs no detour.
func (c *Client) reachesDetouredEndpoint(ctx context.Context) bool {
	if c.cfg.Reach.IsDetached() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, directHeadStart)
	defer cancel()
	var reached atomic.Bool
	var group errgroup.Group
	for _, endpoint := range c.detouredEndpoints() {
		group.Go(func() error {
			if conn, err := c.cfg.Reach.Dial(ctx, "tcp", endpoint.String()); err == nil {
				reached.Store(true)
				return conn.Close()
			}
			return nil
		})
	}
	// An endpoint that was reached counts even if the connection to it was not closed in order.
	_ = group.Wait()
	return reached.Load()
}

// detouredEndpoints returns up to maxReturnDials endpoints to which detours are open.
func (c *Client) detouredEndpoints() []netip.AddrPort {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []netip.AddrPort
	for endpoint := range c.detours {
		if len(all) < maxReturnDials && !c.cfg.Reach.IsAvoided(endpoint) {
			all = append(all, endpoint)
		}
	}
	return all
}
