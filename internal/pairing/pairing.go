// Package pairing pairs the answers on connections to endpoints with the requests that were sent over them. An endpoint may send an
// answer that belongs to another request in the place of the one due; such surplus answers are dropped, so that the request still
// receives its own. See docs/design/answer-pairing.md.
package pairing

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/clock"
	"github.com/bellgap/bellgap/internal/httpx"
	"github.com/bellgap/bellgap/internal/recent"
)

const (
	// defaultMaxSurplusBytes applies where the configuration sets no limit.
	defaultMaxSurplusBytes = 1 << 20
	// defaultMaxRequests applies where the configuration sets no limit.
	defaultMaxRequests = 1024
	// logInterval is the time between two log lines on the surplus answers of one endpoint.
	logInterval = 10 * time.Second
	// statusTTL is how long an endpoint is listed in the status after its last surplus answer. maxListedEndpoints bounds the list.
	statusTTL          = time.Minute
	maxListedEndpoints = 256
	// maxContacts bounds the addresses whose contacts are kept, apart from those with open connections.
	maxContacts = 4096
)

// Config configures a Pairing.
type Config struct {
	// ID returns the id that the headers of a request, or of the answer to it, carry. It is empty if they carry none.
	ID func(http.Header) string
	// IsIDReturned is set if endpoints return the id of a request with each answer to it. After an answer without one the connection is not
	// used again, as the answer that is due may still follow.
	IsIDReturned bool
	// MaxRequests is the maximum number of requests with ids on one connection. The last one closes it.
	MaxRequests int
	// MaxSurplusBytes limits the bytes of surplus answers before one answer that is due. Above it the connection is closed.
	MaxSurplusBytes int64
	Scope           tally.Scope
}

// Pairing pairs the answers on the connections of all its transports.
type Pairing struct {
	cfg Config
	// logged holds the endpoints whose surplus answers were logged recently, loggedMerged those whose merged heads were, loggedCarried those that
	// were sent an id over a connection that had carried it, loggedCut those whose answers were cut in an upload,
	// loggedInvalid those whose heads were invalid.
	logged, loggedMerged, loggedCarried, loggedCut, loggedInvalid *recent.Set[string]

	mu sync.Mutex
	// endpoints counts the surplus answers of endpoints, by name.
	endpoints map[string]Endpoint
	// contacts holds what the connections to endpoints show, by address.
	contacts map[string]*contact
}

// contact is what the connections to one address show.
type contact struct {
	// open holds when the open connections were established.
	open map[*conn]time.Time
	// endedAt is when the endpoint last ended or refused a connection.
	endedAt time.Time
}

// Endpoint describes the surplus answers, merged and invalid heads, cut answers and repeated requests of one endpoint within the last minute or longer.
type Endpoint struct {
	Name    string `json:"name"`
	Answers int64  `json:"answers"`
	Bytes   int64  `json:"bytes"`
	// MergedHeads counts the heads made of more than one answer.
	MergedHeads int64 `json:"merged_heads,omitempty"`
	// InvalidHeads counts the answers with invalid heads.
	InvalidHeads int64 `json:"invalid_heads,omitempty"`
	// CutAnswers counts the answers without a length that ended while their requests could not be written.
	CutAnswers int64 `json:"cut_answers,omitempty"`
	// Repeats counts the requests that went over new connections because one in use had carried their ids.
	Repeats int64         `json:"repeats,omitempty"`
	Ago     time.Duration `json:"ago"`
	last    time.Time
}

// events returns the sum of all that the Endpoint counts, but for the bytes.
func (e Endpoint) events() int64 {
	return e.Answers + e.MergedHeads + e.InvalidHeads + e.CutAnswers + e.Repeats
}

// New returns a Pairing.
func New(cfg Config) *Pairing {
	cfg.MaxSurplusBytes = cmp.Or(cfg.MaxSurplusBytes, defaultMaxSurplusBytes)
	cfg.MaxRequests = cmp.Or(cfg.MaxRequests, defaultMaxRequests)
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	return &Pairing{cfg: cfg, logged: recent.New[string](logInterval), loggedMerged: recent.New[string](logInterval), loggedCarried: recent.New[string](logInterval), loggedCut: recent.New[string](logInterval), loggedInvalid: recent.New[string](logInterval), endpoints: map[string]Endpoint{}, contacts: map[string]*contact{}}
}

// Transport makes t pair the answers on its connections. Requests must be sent with the returned transport. It sends a request whose id an open
// connection to the same address has carried over a connection that is used once.
func (p *Pairing) Transport(t *http.Transport) http.RoundTripper {
	paired := &transport{pairing: p, base: httpx.Checked(t), sending: map[sentRequest]struct{}{}}
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.recordEnd(address)
		}
		if err != nil {
			return nil, err
		}
		return p.open(paired, address, c), nil
	}
	paired.singleUse = paired.base.SingleUse()
	return paired
}

// open adds a connection that has been established.
func (p *Pairing) open(t *transport, address string, c net.Conn) *conn {
	paired := newConn(p, t, address, c)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.contactOf(address).open[paired] = clock.Now()
	return paired
}

// remove removes a connection that has been closed.
func (p *Pairing) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.contacts[c.address]; known != nil {
		delete(known.open, c)
	}
}

// recordEnd records that the endpoint at an address ended or refused a connection.
func (p *Pairing) recordEnd(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.contactOf(address).endedAt = clock.Now()
}

// contactOf returns the contact of an address, which it creates if there is none. The caller holds mu.
func (p *Pairing) contactOf(address string) *contact {
	if known := p.contacts[address]; known != nil {
		return known
	}
	if len(p.contacts) >= maxContacts {
		maps.DeleteFunc(p.contacts, func(_ string, known *contact) bool { return len(known.open) == 0 })
	}
	added := &contact{open: map[*conn]time.Time{}}
	p.contacts[address] = added
	return added
}

// Contact returns when the oldest open connection to an address was established, and when the endpoint there last ended or refused one. The
// times are zero if there is none. A process that ends closes its connections, so the process at the address is the one that accepted the
// oldest open connection.
func (p *Pairing) Contact(address netip.AddrPort) (connectedSince, endedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.contacts[address.String()]
	if known == nil {
		return time.Time{}, time.Time{}
	}
	for _, at := range known.open {
		if connectedSince.IsZero() || at.Before(connectedSince) {
			connectedSince = at
		}
	}
	return connectedSince, known.endedAt
}

// Status lists the endpoints that recently sent surplus or broken answers, those with the most first.
func (p *Pairing) Status(now time.Time) []Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []Endpoint
	for name, e := range p.endpoints {
		e.Ago = now.Sub(e.last)
		if e.Ago > statusTTL {
			delete(p.endpoints, name)
			continue
		}
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Endpoint) int {
		return cmp.Or(cmp.Compare(b.events(), a.events()), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// surplus is an answer that belongs to no request in flight on its connection.
type surplus struct {
	// endpoint and requestID are those of the last request that was sent over the connection, answerID is the id in the answer.
	endpoint, requestID, answerID string
	status                        int
	bytes                         int64
	// isIdle is set if no request was in flight on the connection.
	isIdle bool
}

// record counts a surplus answer and logs it, for each endpoint at most once in logInterval.
func (p *Pairing) record(s surplus) {
	now := clock.Now()
	p.cfg.Scope.Counter("surplus_answers").Inc(1)
	p.cfg.Scope.Counter("surplus_bytes").Inc(s.bytes)
	if level := logLevel(p.logged, s.endpoint, now); klog.V(level).Enabled() {
		klog.V(level).InfoS("dropped an answer that belongs to another request", "endpoint", s.endpoint, "asked_as", s.requestID, "answered_as", s.answerID, "status", s.status,
			"bytes", s.bytes, "idle", s.isIdle)
	}
	p.list(s.endpoint, now, func(e *Endpoint) {
		e.Answers++
		e.Bytes += s.bytes
	})
}

// list changes what the status says of an endpoint.
func (p *Pairing) list(name string, now time.Time, change func(*Endpoint)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.endpoints) >= maxListedEndpoints {
		clear(p.endpoints)
	}
	e := p.endpoints[name]
	e.Name, e.last = name, now
	change(&e)
	p.endpoints[name] = e
}

// recordMerged counts and logs a head that holds more than one status line, for each endpoint at most once in logInterval.
func (p *Pairing) recordMerged(head answerHead, request exchange, outcome mergedOutcome) {
	now := clock.Now()
	p.cfg.Scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter("merged_heads").Inc(1)
	if level := logLevel(p.loggedMerged, request.endpoint, now); klog.V(level).Enabled() {
		offset, second := statusLineAt(head.bytes, 1)
		_, first := statusLineAt(head.bytes[:offset], 0)
		klog.V(level).InfoS("head of an answer holds a second status line", "endpoint", request.endpoint, "request", request.id, "first", first, "second", second,
			"offset", offset, "bytes", len(head.bytes), "received_before", max(0, request.receivedBefore-head.start), "outcome", outcome)
	}
	p.list(request.endpoint, now, func(e *Endpoint) { e.MergedHeads++ })
}

// recordInvalidHead counts and logs an invalid head of an answer, for each endpoint at most once in logInterval.
func (p *Pairing) recordInvalidHead(request exchange, err error) {
	var invalid *httpx.InvalidHeadError
	if !errors.As(err, &invalid) {
		return
	}
	p.cfg.Scope.Tagged(map[string]string{"fault": string(invalid.Fault)}).Counter("invalid_heads").Inc(1)
	now := clock.Now()
	if level := logLevel(p.loggedInvalid, request.endpoint, now); klog.V(level).Enabled() {
		klog.V(level).InfoS("head of an answer is invalid", "endpoint", request.endpoint, "request", request.id, "fault", invalid.Fault, "detail", invalid.Detail)
	}
	p.list(request.endpoint, now, func(e *Endpoint) { e.InvalidHeads++ })
}

// recordCut counts and logs an answer that ended while its request could not be written, for each endpoint at most once in logInterval.
func (p *Pairing) recordCut(request exchange, err error) {
	p.cfg.Scope.Counter("answers_cut_in_upload").Inc(1)
	now := clock.Now()
	if level := logLevel(p.loggedCut, request.endpoint, now); klog.V(level).Enabled() {
		klog.V(level).InfoS("answer counts as cut, its connection ended while the request was being written", "endpoint", request.endpoint, "request", request.id, "err", err)
	}
	p.list(request.endpoint, now, func(e *Endpoint) { e.CutAnswers++ })
}

// recordCarriedAgain counts and logs a request on a connection that has carried its id before: the id of an answer then does not tell whether
// it belongs to this request.
func (p *Pairing) recordCarriedAgain(e exchange) {
	p.cfg.Scope.Counter("ids_carried_again").Inc(1)
	if level := logLevel(p.loggedCarried, e.endpoint, clock.Now()); klog.V(level).Enabled() {
		klog.V(level).InfoS("request goes over a connection that has carried its id before", "endpoint", e.endpoint, "request", e.id)
	}
}

// recordRepeat counts a request that goes over a new connection because one in use has carried its id.
func (p *Pairing) recordRepeat(e exchange) {
	p.cfg.Scope.Counter("repeats_on_new_connections").Inc(1)
	klog.V(2).InfoS("request goes over a new connection, its id was sent before", "endpoint", e.endpoint, "request", e.id)
	p.list(e.endpoint, clock.Now(), func(listed *Endpoint) { listed.Repeats++ })
}

// logLevel returns the level for a log line on an endpoint, which is higher if the endpoint was logged recently.
func logLevel(logged *recent.Set[string], endpoint string, now time.Time) klog.Level {
	if logged.Has(endpoint, now) {
		return 1
	}
	logged.Add(endpoint, now)
	return 0
}

// exchange is a request on a connection.
type exchange struct {
	id       string
	method   string
	endpoint string
	// receivedBefore is how many bytes had been read from the connection before the request was sent.
	receivedBefore int64
}

// endpointKey is the key of the endpoint's name in a context.
type endpointKey struct{}

// WithEndpoint returns a context for a request to the endpoint with the given name, for log lines and the status. Without it, the address
// stands for the name.
func WithEndpoint(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, endpointKey{}, name)
}

// hasCarried reports whether an open connection of a transport to an address has carried an id.
func (p *Pairing) hasCarried(t *transport, to sentRequest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.contacts[to.address]
	if known == nil {
		return false
	}
	for c := range known.open {
		if c.transport == t && c.hasCarried(to.id) {
			return true
		}
	}
	return false
}

// sentRequest identifies a request by its address and id.
type sentRequest struct{ address, id string }

// transport sends requests over connections that know them.
type transport struct {
	pairing *Pairing
	// base keeps its connections for further requests, singleUse closes them.
	base, singleUse *httpx.Transport

	mu sync.Mutex
	// sending holds the requests that base is sending, until the heads of their answers arrive.
	sending map[sentRequest]struct{}
}

// RoundTrip implements http.RoundTripper. No connection carries two requests with one id: a late copy of the answer to the first one could not be
// told from the answer to the second.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	name, _ := ctx.Value(endpointKey{}).(string)
	e := exchange{id: t.pairing.cfg.ID(req.Header), method: req.Method, endpoint: cmp.Or(name, req.URL.Host)}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.begin(e)
		}
	}}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	if e.id == "" {
		return t.base.RoundTrip(req)
	}
	sent := sentRequest{req.URL.Host, e.id}
	if !t.beginSending(sent) {
		t.pairing.recordRepeat(e)
		return t.singleUse.RoundTrip(req)
	}
	defer t.endSending(sent)
	return t.base.RoundTrip(req)
}

// beginSending returns false if base may not send a request, because one of its connections has carried the id or is about to.
func (t *transport) beginSending(r sentRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.sending[r]; ok || t.pairing.hasCarried(t, r) {
		return false
	}
	t.sending[r] = struct{}{}
	return true
}

func (t *transport) endSending(r sentRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sending, r)
}
