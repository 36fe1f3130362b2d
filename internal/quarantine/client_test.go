package quarantine_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/placement"
	"github.com/bellgap/bellgap/internal/quarantine"
)

// errCut is what a call to a box that cannot be reached ends with.
var errCut = errors.New("cut off")

// fleet is some boxes on real sockets that a test cuts off, loses and starts again; the first of them writes the cell map.
type fleet struct {
	c     *qt.C
	mu    sync.Mutex
	boxes map[string]*member
	// named is what the stored cell map names, writes how often it was written.
	named  []quarantine.Held
	writes int
}

// member is one box.
type member struct {
	*quarantine.Client
	name    string
	fleet   *fleet
	address netip.AddrPort
	// cut says that nothing goes to this box or comes from it; behind that it has not seen the newest map.
	cut    bool
	behind bool
	seen   int
	stop   func()
}

func startFleet(c *qt.C, names ...string) *fleet {
	w := &fleet{c: c, boxes: map[string]*member{}}
	for _, name := range names {
		w.start(name)
	}
	return w
}

// start starts a box that knows nothing but the stored map.
func (w *fleet) start(name string) {
	b := &member{name: name, fleet: w, seen: -1}
	b.Client = quarantine.NewClient(quarantine.ClientConfig{
		HTTP: &http.Client{Transport: b}, Register: newRegister(), Fleet: b, Scope: tally.NoopScope,
	})
	mux := http.NewServeMux()
	quarantine.NewServer(quarantine.ServerConfig{Client: b.Client}).Register(mux)
	server := httptest.NewServer(mux)
	b.address = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return b.Serve(ctx) })
	b.stop = sync.OnceFunc(func() {
		cancel()
		<-b.Done()
		_ = group.Wait()
		server.CloseClientConnections()
		server.Close()
	})
	w.c.Cleanup(b.stop)
	w.change(func() { w.boxes[name] = b })
}

// lose takes a box away.
func (w *fleet) lose(name string) {
	w.box(name).stop()
	w.change(func() { delete(w.boxes, name) })
}

func (w *fleet) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *fleet) box(name string) *member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.boxes[name]
}

// there returns the boxes that are there, in order.
func (w *fleet) there() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []string
	for name := range w.boxes {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// publish writes the cell map, at the box that does.
func (w *fleet) publish() {
	all := w.box(w.there()[0]).ToPublish()
	w.change(func() { w.named, w.writes = all, w.writes+1 })
}

// takeOver makes a box continue from the stored map.
func (w *fleet) takeOver(name string) { w.box(name).Inherit(w.named) }

// holders returns the boxes that hold a request.
func (w *fleet) holders(n int) []string {
	var all []string
	for _, name := range w.there() {
		if _, held := w.box(name).Held(numbered(n)); held {
			all = append(all, name)
		}
	}
	return all
}

// RoundTrip implements http.RoundTripper: it loses calls to and from boxes that are cut off.
func (b *member) RoundTrip(req *http.Request) (*http.Response, error) {
	cut := false
	b.fleet.change(func() {
		for _, other := range b.fleet.boxes {
			cut = cut || other.cut && (other == b || other.address.String() == req.URL.Host)
		}
	})
	if cut {
		return nil, errCut
	}
	return http.DefaultTransport.RoundTrip(req)
}

func (b *member) Keepers(f quarantine.Fingerprint) (others []netip.AddrPort, here bool) {
	for _, name := range placement.Top(f.String(), b.fleet.there(), 2) {
		if name == b.name {
			here = true
			continue
		}
		others = append(others, b.fleet.box(name).address)
	}
	return others, here
}

func (b *member) Others() []netip.AddrPort {
	var all []netip.AddrPort
	for _, name := range b.fleet.there() {
		if name != b.name {
			all = append(all, b.fleet.box(name).address)
		}
	}
	return all
}

func (b *member) Coordinator() (netip.AddrPort, bool) {
	first := b.fleet.there()[0]
	return b.fleet.box(first).address, first != b.name
}

func (b *member) Published() (all []quarantine.Held, changed bool) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	if b.behind || b.seen == b.fleet.writes {
		return nil, false
	}
	b.seen = b.fleet.writes
	return b.fleet.named, true
}

// end tells a box that an endpoint ended under a request.
func (w *fleet) end(box string, n int, life string) {
	name, _, _ := strings.Cut(life, "/")
	w.box(box).Ended(context.Background(), suspect(n), quarantine.Endpoint{Name: name, Started: 1})
}

var names = []string{"a", "b", "c", "d", "e", "f", "g"}

// TestCountIsOneOverAllBoxes: each endpoint ends at another box, and once the last one that saw it is told, all hold the request.
func TestCountIsOneOverAllBoxes(t *testing.T) {
	c := qt.New(t)
	w := startFleet(c, names...)
	for n := range 20 {
		w.end(names[n%7], n, "x/1")
		w.end(names[(n+2)%7], n, "y/1")
		// Another box had the same request there.
		w.end(names[(n+3)%7], n, "y/1")
		c.Check(w.holders(n), qt.HasLen, 0)
		w.end(names[(n+5)%7], n, "z/1")
		c.Check(w.holders(n), qt.DeepEquals, names, qt.Commentf("request %d", n))
	}
}

// TestCountOutlivesBoxes loses boxes between the ends of endpoints.
func TestCountOutlivesBoxes(t *testing.T) {
	for _, test := range []struct {
		name string
		// between is what happens after the second end, of which box a knows.
		between func(w *fleet)
		holders []string
	}{
		{"one of those that keep the case is lost", func(w *fleet) {
			w.lose(placement.Top(numbered(1).String(), w.there(), 1)[0])
		}, nil},
		{"all but one are lost and start again", func(w *fleet) {
			for _, name := range names[1:] {
				w.lose(name)
			}
			for _, name := range names[1:] {
				w.start(name)
			}
		}, names},
		{"the box that sees the last end is cut off, then back", func(w *fleet) {
			w.change(func() { w.boxes["a"].cut = true })
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			w := startFleet(c, names...)
			w.end("b", 1, "x/1")
			w.end("c", 1, "y/1")
			test.between(w)
			last := "a"
			if w.box(last) == nil {
				last = "b"
			}
			w.end(last, 1, "z/1")
			// Who saw the third end refuses from then on, whatever it reaches.
			_, held := w.box(last).Held(numbered(1))
			c.Check(held, qt.IsTrue)
			w.change(func() {
				for _, b := range w.boxes {
					b.cut = false
				}
			})
			// The others hear of it at the latest when it tells the box that writes the map, or by that map.
			until(c, func() bool {
				w.publish()
				return len(w.holders(1)) == len(w.there())
			})
		})
	}
}

// TestMapOutlivesAllBoxes: all boxes are lost at once, when the map names the request.
func TestMapOutlivesAllBoxes(t *testing.T) {
	c := qt.New(t)
	w := startFleet(c, names...)
	for i, life := range []string{"x/1", "y/1", "z/1"} {
		w.end(names[i], 1, life)
	}
	w.publish()
	for _, name := range names {
		w.lose(name)
	}
	for _, name := range names {
		w.start(name)
	}
	w.takeOver("a")
	c.Check(w.holders(1), qt.DeepEquals, names)
	w.publish()
	c.Check(w.holders(1), qt.DeepEquals, names)
}

// TestMapOfACoordinatorThatWasCutOff: a box that heard nothing takes over from the stored map, and publishes what that named.
func TestMapOfACoordinatorThatWasCutOff(t *testing.T) {
	c := qt.New(t)
	w := startFleet(c, names...)
	w.change(func() { w.boxes["b"].cut, w.boxes["b"].behind = true, true })
	for _, life := range []string{"x/1", "y/1", "z/1"} {
		w.end("c", 1, life)
	}
	w.publish()
	c.Check(slices.Contains(w.holders(1), "b"), qt.IsFalse)
	w.lose("a")
	w.takeOver("b")
	w.change(func() { w.boxes["b"].cut, w.boxes["b"].behind = false, false })
	w.publish()
	c.Check(w.holders(1), qt.DeepEquals, names[1:])
}

// TestRunClearsEverywhere: a request that was at endpoints which ended runs well at a box that knows nothing of them.
func TestRunClearsEverywhere(t *testing.T) {
	c := qt.New(t)
	w := startFleet(c, names...)
	w.end("a", 1, "x/1")
	w.end("b", 1, "y/1")
	w.box("c").Ran(numbered(1))
	until(c, func() bool {
		for _, name := range names {
			if len(w.box(name).Cases()) > 0 {
				return false
			}
		}
		return true
	})
	w.end("d", 1, "z/1")
	c.Check(w.holders(1), qt.HasLen, 0)
}

// TestManyCallersSendTheSame: a request that many callers send alike was at three endpoints that ended at once. Another box has run it well.
func TestManyCallersSendTheSame(t *testing.T) {
	c := qt.New(t)
	w := startFleet(c, names...)
	w.box("g").Ran(numbered(1))
	var group errgroup.Group
	for i, name := range names[:3] {
		group.Go(func() error { w.end(name, 1, fmt.Sprint("x", i)); return nil })
	}
	c.Assert(group.Wait(), qt.IsNil)
	until(c, func() bool { return len(w.holders(1)) == 0 })
}

// TestOperatorLetsPass: at any box, for all, also where the map still names the request.
func TestOperatorLetsPass(t *testing.T) {
	c := qt.New(t)
	w := startFleet(c, names...)
	for i, life := range []string{"x/1", "y/1", "z/1"} {
		w.end(names[i], 1, life)
	}
	w.publish()
	c.Assert(w.holders(1), qt.DeepEquals, names)
	w.change(func() { w.boxes["g"].cut = true })
	c.Check(w.box("d").Release(context.Background(), numbered(1)), qt.IsTrue)
	c.Check(w.box("d").Release(context.Background(), numbered(2)), qt.IsFalse)
	c.Check(w.holders(1), qt.DeepEquals, []string{"g"})
	w.publish()
	c.Check(w.holders(1), qt.HasLen, 0)
	w.change(func() { w.boxes["g"].cut = false })
	time.Sleep(1500 * time.Millisecond)
	w.publish()
	c.Check(w.holders(1), qt.HasLen, 0)
}

// until waits for a condition.
func until(c *qt.C, ok func() bool) {
	c.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatal("never came true")
}
