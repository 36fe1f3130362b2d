package pairing_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"
)

// connections records over which connections requests came, by their ids.
type connections struct {
	mu   sync.Mutex
	byID map[string][]net.Conn
	// hold is how long a request is held before it is answered.
	hold time.Duration
}

// answer records a request and answers it.
func (s *connections) answer(conn net.Conn, req *http.Request) {
	id := req.Header.Get(idHeader)
	s.mu.Lock()
	if s.byID == nil {
		s.byID = map[string][]net.Conn{}
	}
	s.byID[id] = append(s.byID[id], conn)
	s.mu.Unlock()
	time.Sleep(s.hold)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 4\r\n\r\nbody", idHeader, id)
}

// repeated returns the ids that came twice over one connection.
func (s *connections) repeated() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	for id, conns := range s.byID {
		seen := map[net.Conn]bool{}
		for _, conn := range conns {
			if seen[conn] {
				all = append(all, id)
			}
			seen[conn] = true
		}
	}
	return all
}

// TestIDComesOnceToOneConnection guards against two requests with one id on one connection, where a copy of the answer to the first one would
// be taken for that to the second, whatever the connection has carried in between.
func TestIDComesOnceToOneConnection(t *testing.T) {
	for _, tt := range []struct {
		name        string
		maxRequests int
		between     int
	}{
		{"nothing between", 0, 0},
		{"6,000 requests on one connection", 10000, 6000},
		{"6,000 requests, connections of 1,024", 0, 6000},
		{"one request a connection", 1, 10},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			seen := &connections{}
			w := newLimitedWorld(c, tt.maxRequests, seen.answer)
			get := func(id string) {
				_, err := w.get(id)
				c.Assert(err, qt.IsNil)
			}
			for i := range 20 {
				get(fmt.Sprint("first-", i))
			}
			for i := range tt.between {
				get(fmt.Sprint("between-", i))
			}
			for i := range 20 {
				get(fmt.Sprint("first-", i))
			}
			c.Check(seen.repeated(), qt.HasLen, 0)
			c.Check(w.count("ids_carried_again"), qt.Equals, int64(0))
		})
	}
}

// TestSoundRequestsKeepTheirConnections guards against new connections for requests whose ids come once. A full connection costs one.
func TestSoundRequestsKeepTheirConnections(t *testing.T) {
	for _, tt := range []struct {
		name                             string
		maxRequests, requests, wantDials int
	}{
		{"within the limit", 100, 100, 1},
		{"four connections in turn", 100, 400, 4},
		{"default", 0, 1500, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			w := newLimitedWorld(c, tt.maxRequests, (&connections{}).answer)
			for i := range tt.requests {
				_, err := w.get(fmt.Sprint("request-", i))
				c.Assert(err, qt.IsNil)
			}
			w.checkDials(tt.wantDials)
			c.Check(w.count("repeats_on_new_connections"), qt.Equals, int64(0))
		})
	}
}

// TestConcurrentRequestsWithOneID guards against a connection that becomes free between the choice of a way for a request and its sending.
func TestConcurrentRequestsWithOneID(t *testing.T) {
	c := qt.New(t)
	seen := &connections{hold: time.Millisecond}
	w := newWorld(c, seen.answer)
	var group errgroup.Group
	for i := range 8 {
		group.Go(func() error {
			for n := range 50 {
				// Two callers at a time send the same ids.
				req, err := http.NewRequestWithContext(c.Context(), http.MethodPost, "http://"+w.address, strings.NewReader("x"))
				if err != nil {
					return err
				}
				req.Header.Set(idHeader, fmt.Sprint("request-", i/2, "-", n%10))
				resp, err := w.client.Do(req)
				if err != nil {
					return err
				}
				_ = resp.Body.Close()
			}
			return nil
		})
	}
	c.Assert(group.Wait(), qt.IsNil)
	c.Check(seen.repeated(), qt.HasLen, 0)
	c.Check(w.count("ids_carried_again"), qt.Equals, int64(0))
}

// TestIDsCarriedAgainAreCounted guards against an id that one connection carries twice, and that nobody notices.
func TestIDsCarriedAgainAreCounted(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, (&connections{}).answer)
	w.pairing.SendTwice("first")
	c.Check(w.count("ids_carried_again"), qt.Equals, int64(1))
}
