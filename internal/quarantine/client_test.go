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

// errIsolated is the error of calls to and from an isolated box.
var errIsolated = errors.New("box is isolated")

// fleet runs boxes on real sockets. Tests isolate, stop and restart them. The box whose name sorts first publishes the cell map.
type fleet struct {
	c     *qt.C
	mu    sync.Mutex
	boxes map[string]*member
	// publishedHeld contains the held requests in the stored cell map. mapWrites is how often the map was written.
	publishedHeld []quarantine.Held
	mapWrites     int
}

// member is one box of a fleet.
type member struct {
	*quarantine.Client
	name    string
	fleet   *fleet
	address netip.AddrPort
	// isolated is set if calls to and from the box fail. mapBlocked is set if the box does not receive new cell maps.
	isolated   bool
	mapBlocked bool
	seenWrites int
	// notified is how many messages of cases the box has sent to boxes that do not keep them. open and maxOpen are how many of its calls to
	// other boxes are open, and the most that were at one time.
	notified, open, maxOpen int
	stop                    func()
}

func startFleet(c *qt.C, names ...string) *fleet {
	f := &fleet{c: c, boxes: map[string]*member{}}
	for _, name := range names {
		f.startBox(name)
	}
	return f
}

// startBox starts a box with an empty register. The box reads the stored cell map.
func (f *fleet) startBox(name string) {
	b := &member{name: name, fleet: f, seenWrites: -1}
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
	f.c.Cleanup(b.stop)
	f.withLock(func() { f.boxes[name] = b })
}

// stopBox stops a box and removes it from the fleet.
func (f *fleet) stopBox(name string) {
	f.box(name).stop()
	f.withLock(func() { delete(f.boxes, name) })
}

func (f *fleet) withLock(update func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update()
}

func (f *fleet) box(name string) *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.boxes[name]
}

// boxNames returns the sorted names of the running boxes.
func (f *fleet) boxNames() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []string
	for name := range f.boxes {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}

// publishMap writes the cell map on the box that publishes it.
func (f *fleet) publishMap() {
	all := f.box(f.boxNames()[0]).ToPublish()
	f.withLock(func() { f.publishedHeld, f.mapWrites = all, f.mapWrites+1 })
}

// inheritMap makes a box continue from the stored cell map, as a new coordinator does.
func (f *fleet) inheritMap(name string) { f.box(name).Inherit(f.publishedHeld) }

// boxesHolding returns the sorted names of the boxes on which a request is held.
func (f *fleet) boxesHolding(n int) []string {
	var all []string
	for _, name := range f.boxNames() {
		if _, held := f.box(name).CheckHeld(fingerprintOf(n)); held {
			all = append(all, name)
		}
	}
	return all
}

// RoundTrip implements http.RoundTripper. Calls to and from isolated boxes fail.
func (b *member) RoundTrip(req *http.Request) (*http.Response, error) {
	defer b.fleet.withLock(func() { b.open-- })
	isolated := false
	b.fleet.withLock(func() {
		b.notified += boolToInt(strings.HasSuffix(req.URL.Path, "/tell"))
		b.open++
		b.maxOpen = max(b.maxOpen, b.open)
		for _, other := range b.fleet.boxes {
			isolated = isolated || other.isolated && (other == b || other.address.String() == req.URL.Host)
		}
	})
	if isolated {
		return nil, errIsolated
	}
	return http.DefaultTransport.RoundTrip(req)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (b *member) Keepers(f quarantine.Fingerprint) (others []netip.AddrPort, here bool) {
	for _, name := range placement.Top(f.String(), b.fleet.boxNames(), 2) {
		if name == b.name {
			here = true
			continue
		}
		others = append(others, b.fleet.box(name).address)
	}
	return others, here
}

func (b *member) OtherBoxes() []netip.AddrPort {
	var all []netip.AddrPort
	for _, name := range b.fleet.boxNames() {
		if name != b.name {
			all = append(all, b.fleet.box(name).address)
		}
	}
	return all
}

func (b *member) Coordinator() (netip.AddrPort, bool) {
	first := b.fleet.boxNames()[0]
	return b.fleet.box(first).address, first != b.name
}

func (b *member) PublishedHeld() (all []quarantine.Held, changed bool) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	if b.mapBlocked || b.seenWrites == b.fleet.mapWrites {
		return nil, false
	}
	b.seenWrites = b.fleet.mapWrites
	return b.fleet.publishedHeld, true
}

// crashEndpoint records on a box that an endpoint crashed while it ran a request.
func (f *fleet) crashEndpoint(box string, n int, incarnation string) {
	name, _, _ := strings.Cut(incarnation, "/")
	f.box(box).RecordCrash(context.Background(), suspect(n), quarantine.Endpoint{Name: name, Started: 1})
}

var allNames = []string{"a", "b", "c", "d", "e", "f", "g"}

// TestCrashCountIsSharedByAllBoxes records each crash of a request on a different box. After the last crash is recorded, all
// boxes must hold the request.
func TestCrashCountIsSharedByAllBoxes(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, allNames...)
	for n := range 20 {
		f.crashEndpoint(allNames[n%7], n, "x/1")
		f.crashEndpoint(allNames[(n+2)%7], n, "y/1")
		// Another box detects the same crash.
		f.crashEndpoint(allNames[(n+3)%7], n, "y/1")
		c.Check(f.boxesHolding(n), qt.HasLen, 0)
		f.crashEndpoint(allNames[(n+5)%7], n, "z/1")
		c.Check(f.boxesHolding(n), qt.DeepEquals, allNames, qt.Commentf("request %d", n))
	}
}

// TestCrashCountSurvivesLostBoxes stops or isolates boxes between the crashes of endpoints.
func TestCrashCountSurvivesLostBoxes(t *testing.T) {
	for _, test := range []struct {
		name string
		// disrupt is called after the second crash, of which all boxes have been notified.
		disrupt func(f *fleet)
		holders []string
	}{
		{"a box that keeps the case is lost", func(f *fleet) {
			f.stopBox(placement.Top(fingerprintOf(1).String(), f.boxNames(), 1)[0])
		}, nil},
		{"all boxes but one restart", func(f *fleet) {
			for _, name := range allNames[1:] {
				f.stopBox(name)
			}
			for _, name := range allNames[1:] {
				f.startBox(name)
			}
		}, allNames},
		{"the box that detects the last crash is isolated, then reachable", func(f *fleet) {
			f.withLock(func() { f.boxes["a"].isolated = true })
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := startFleet(c, allNames...)
			f.crashEndpoint("b", 1, "x/1")
			f.crashEndpoint("c", 1, "y/1")
			test.disrupt(f)
			last := "a"
			if f.box(last) == nil {
				last = "b"
			}
			f.crashEndpoint(last, 1, "z/1")
			// The box that detected the third crash holds the request at once, even if it cannot reach other boxes.
			_, held := f.box(last).CheckHeld(fingerprintOf(1))
			c.Check(held, qt.IsTrue)
			f.withLock(func() {
				for _, b := range f.boxes {
					b.isolated = false
				}
			})
			// The other boxes hold it once this box has reported it to the box that publishes the map, or once they have received
			// that map.
			waitUntil(c, func() bool {
				f.publishMap()
				return len(f.boxesHolding(1)) == len(f.boxNames())
			})
		})
	}
}

// TestHeldRequestSurvivesLossOfAllBoxes restarts all boxes at once after the cell map contains the held request.
func TestHeldRequestSurvivesLossOfAllBoxes(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, allNames...)
	for i, incarnation := range []string{"x/1", "y/1", "z/1"} {
		f.crashEndpoint(allNames[i], 1, incarnation)
	}
	f.publishMap()
	for _, name := range allNames {
		f.stopBox(name)
	}
	for _, name := range allNames {
		f.startBox(name)
	}
	f.inheritMap("a")
	c.Check(f.boxesHolding(1), qt.DeepEquals, allNames)
	f.publishMap()
	c.Check(f.boxesHolding(1), qt.DeepEquals, allNames)
}

// TestIsolatedCoordinatorInheritsMap lets a box take over that received no notifications. It must publish the held requests of
// the stored map.
func TestIsolatedCoordinatorInheritsMap(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, allNames...)
	f.withLock(func() { f.boxes["b"].isolated, f.boxes["b"].mapBlocked = true, true })
	for _, incarnation := range []string{"x/1", "y/1", "z/1"} {
		f.crashEndpoint("c", 1, incarnation)
	}
	f.publishMap()
	c.Check(slices.Contains(f.boxesHolding(1), "b"), qt.IsFalse)
	f.stopBox("a")
	f.inheritMap("b")
	f.withLock(func() { f.boxes["b"].isolated, f.boxes["b"].mapBlocked = false, false })
	f.publishMap()
	c.Check(f.boxesHolding(1), qt.DeepEquals, allNames[1:])
}

// TestSuccessClearsCrashesOnAllBoxes runs a request successfully on a box that did not detect the earlier crashes. All boxes must
// clear them.
func TestSuccessClearsCrashesOnAllBoxes(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, allNames...)
	f.crashEndpoint("a", 1, "x/1")
	f.crashEndpoint("b", 1, "y/1")
	f.box("c").RecordSuccess(fingerprintOf(1))
	waitUntil(c, func() bool {
		for _, name := range allNames {
			if len(f.box(name).Cases()) > 0 {
				return false
			}
		}
		return true
	})
	f.crashEndpoint("d", 1, "z/1")
	c.Check(f.boxesHolding(1), qt.HasLen, 0)
}

// TestSuccessElsewhereReleasesRequest crashes three endpoints at once while they run a request that many callers send. It ran
// successfully on another box, so no box may hold it.
func TestSuccessElsewhereReleasesRequest(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, allNames...)
	f.box("g").RecordSuccess(fingerprintOf(1))
	var group errgroup.Group
	for i, name := range allNames[:3] {
		group.Go(func() error { f.crashEndpoint(name, 1, fmt.Sprint("x", i)); return nil })
	}
	c.Assert(group.Wait(), qt.IsNil)
	waitUntil(c, func() bool { return len(f.boxesHolding(1)) == 0 })
}

// TestOperatorReleasesRequest releases a request on one box. All boxes must release it, although the current cell map still
// contains it. An isolated box does so with the next map.
func TestOperatorReleasesRequest(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, allNames...)
	for i, incarnation := range []string{"x/1", "y/1", "z/1"} {
		f.crashEndpoint(allNames[i], 1, incarnation)
	}
	f.publishMap()
	c.Assert(f.boxesHolding(1), qt.DeepEquals, allNames)
	f.withLock(func() { f.boxes["g"].isolated = true })
	c.Check(f.box("d").Release(context.Background(), fingerprintOf(1)), qt.IsTrue)
	c.Check(f.box("d").Release(context.Background(), fingerprintOf(2)), qt.IsFalse)
	c.Check(f.boxesHolding(1), qt.DeepEquals, []string{"g"})
	f.publishMap()
	c.Check(f.boxesHolding(1), qt.HasLen, 0)
	f.withLock(func() { f.boxes["g"].isolated = false })
	time.Sleep(1500 * time.Millisecond)
	f.publishMap()
	c.Check(f.boxesHolding(1), qt.HasLen, 0)
}

// waitUntil polls a condition and fails the test if it stays false.
func waitUntil(c *qt.C, condition func() bool) {
	c.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.Fatal("condition not met in time")
}

// TestManyHeldRequestsReachTheMap guards against a box that holds so many requests that are missing from the cell map that the coordinator refuses the
// message with them, each time.
func TestManyHeldRequestsReachTheMap(t *testing.T) {
	// 1,500 cases exceed the size limit of a message.
	const held, published = 1500, 200
	c := qt.New(t)
	f := startFleet(c, "a", "b")
	var all []quarantine.Held
	for n := range held {
		all = append(all, quarantine.Held{Fingerprint: fingerprintOf(n), Description: "POST example.com/a-route/of-the-usual-length customer-" + fmt.Sprint(n), Crashed: "engine-with-a-name-1/1 engine-with-a-name-2/1 engine-with-a-name-3/1"})
	}
	f.box("b").Inherit(all)
	waitUntil(c, func() bool {
		f.publishMap()
		return len(f.publishedHeld) >= published
	})
}
