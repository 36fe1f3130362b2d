// Package unanswered keeps the places that requests take at endpoints until their answers begin, grants of engines included, so that
// they can be given back while the requests go on waiting.
package unanswered

import (
	"context"
	"net/http/httptrace"
	"net/netip"
	"sync"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"
)

// Config configures a Set.
type Config struct {
	Scope tally.Scope
}

// Set holds the places of all requests of a box that have no answer yet.
type Set struct {
	cfg  Config
	mu   sync.Mutex
	held map[*Place]bool
}

// New returns an empty Set.
func New(cfg Config) *Set { return &Set{cfg: cfg, held: map[*Place]bool{}} }

// Add records the place of a request that is about to be sent. giveUp gives the place back without an answer.
func (s *Set) Add(giveUp func()) *Place {
	p := &Place{set: s, giveUp: giveUp}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[p] = true
	return p
}

// GiveUpAll gives back the places of all requests without an answer. It is called when no endpoint can be reached any more: the
// answers are unlikely to arrive, and until the callers leave, the places would be missing for the requests of all boxes.
func (s *Set) GiveUpAll() { s.giveUp(func(*Place) bool { return true }) }

// GiveUpThrough does the same for the requests that were sent over connections to the given address. It is called when the box at
// this address, which connects them to endpoints, is lost.
func (s *Set) GiveUpThrough(address netip.AddrPort) {
	s.giveUp(func(p *Place) bool { return p.sentTo == address })
}

// giveUp gives back some of the places. isGivenUp is called with mu held.
func (s *Set) giveUp(isGivenUp func(*Place) bool) {
	var all []*Place
	s.mu.Lock()
	for p := range s.held {
		if isGivenUp(p) {
			all = append(all, p)
			delete(s.held, p)
		}
	}
	s.mu.Unlock()
	for _, p := range all {
		p.once.Do(p.giveUp)
	}
	if len(all) > 0 {
		s.cfg.Scope.Counter("unanswered_places_given_up").Inc(int64(len(all)))
		klog.InfoS("places of requests without an answer given back, as their endpoints are out of reach", "requests", len(all))
	}
}

// Place is the place of one request at an endpoint. It is given back once.
type Place struct {
	set    *Set
	giveUp func()
	once   sync.Once
	// sentTo is the address to which the connection of the request leads: the endpoint's, or that of another box. The mutex of the set
	// guards it.
	sentTo netip.AddrPort
}

// Trace returns a context for the request, with which its place knows the connection that it is sent over.
func (p *Place) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		// The zero address of a connection that is not TCP stands for none.
		sentTo, _ := netip.ParseAddrPort(info.Conn.RemoteAddr().String())
		p.set.mu.Lock()
		defer p.set.mu.Unlock()
		p.sentTo = sentTo
	}})
}

// RecordAnswer records that the answer has begun. The place is then held until End.
func (p *Place) RecordAnswer() {
	p.set.mu.Lock()
	defer p.set.mu.Unlock()
	delete(p.set.held, p)
}

// End gives the place back with giveBack, unless it was given up before.
func (p *Place) End(giveBack func()) {
	p.RecordAnswer()
	p.once.Do(giveBack)
}
