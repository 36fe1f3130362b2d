package box

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/fakeplatform"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/softwareversion"
)

func listing(isComplete bool, versions ...string) *softwareversion.History {
	return &softwareversion.History{Complete: isComplete, RoutesComplete: isComplete, Services: []softwareversion.Service{{Service: "s", Versions: versions}}}
}

// TestHistoryOfSeveralCells guards against a stream that begins at a software version which a box of another cell does not find in the
// store. The caller may come to a box of any cell, and a box lets streams begin at the versions that the maps of all cells list.
func TestHistoryOfSeveralCells(t *testing.T) {
	for _, tt := range []struct {
		name string
		// maps are the stored maps of the cells a and b.
		maps [2]*softwareversion.History
	}{
		{name: "equal", maps: [2]*softwareversion.History{listing(true, "v1", "v2"), listing(true, "v1", "v2")}},
		{name: "one cell has no coordinator while a version is new", maps: [2]*softwareversion.History{listing(true, "v1", "v2"), listing(true, "v1")}},
		{name: "the history of one cell is not complete", maps: [2]*softwareversion.History{listing(false, "v1"), listing(true, "v1")}},
		{name: "one cell has an old coordinator", maps: [2]*softwareversion.History{nil, listing(true, "v1")}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			store, all := fakeplatform.New(), catalog.New()
			for i, h := range tt.maps {
				m := coordinator.Map{Cell: string('a' + rune(i)), Generation: 1, SoftwareVersions: h}
				value, err := json.Marshal(m)
				c.Assert(err, qt.IsNil)
				_, err = store.Put(ctx, coordinator.MapKind, m.Cell, 0, value)
				c.Assert(err, qt.IsNil)
			}
			all.Apply(store.Snapshot())
			for _, cell := range []string{"a", "b"} {
				h := newVersionHistory(versionHistoryConfig{Catalog: all, API: store})
				stored, err := h.Read(ctx)
				c.Assert(err, qt.IsNil)
				known, isKnownComplete := h.Known().Versions("s")
				read, isReadComplete := stored.Versions("s")
				for _, version := range []string{"v1", "v2"} {
					mayBegin := !isKnownComplete || slices.Contains(known, version)
					isFound := !isReadComplete || slices.Contains(read, version)
					c.Check(!mayBegin || isFound, qt.IsTrue, qt.Commentf("a stream may begin at %s, which a box of cell %s does not find", version, cell))
				}
			}
		})
	}
}

// countingAPI counts the reads of a store that takes readTime for each.
type countingAPI struct {
	objects.API
	readTime time.Duration
	mu       sync.Mutex
	reads    int
}

func (a *countingAPI) List(ctx context.Context, kinds []string, after string) (objects.Changes, error) {
	a.mu.Lock()
	a.reads++
	a.mu.Unlock()
	time.Sleep(a.readTime)
	return a.API.List(ctx, kinds, after)
}

// TestHistoryReadsAreLimited guards against boxes that read the cell map, which is large in a large fleet, as often as the store answers
// while callers resume their streams after the loss of all boxes.
func TestHistoryReadsAreLimited(t *testing.T) {
	const (
		readTime = 3 * time.Millisecond
		period   = time.Second
		// perS are the resumed streams of a box: at 2.7 requests a second, most of those that began in the last 10 s come back at once.
		perS = 20
		// maxReads is what 370 boxes may read of the 2,000 calls that the store allows, with room for others.
		maxReads = 4
	)
	c := qt.New(t)
	store := fakeplatform.New()
	value, err := json.Marshal(coordinator.Map{Cell: "a", Generation: 1, SoftwareVersions: listing(true, "v1")})
	c.Assert(err, qt.IsNil)
	_, err = store.Put(context.Background(), coordinator.MapKind, "a", 0, value)
	c.Assert(err, qt.IsNil)
	api := &countingAPI{API: store, readTime: readTime}
	h := newVersionHistory(versionHistoryConfig{Catalog: catalogOfBoxes(t, 370), API: api})
	var callers errgroup.Group
	for range int(period.Seconds() * perS) {
		callers.Go(func() error {
			_, err := h.Read(context.Background())
			return err
		})
		time.Sleep(period / perS)
	}
	c.Check(callers.Wait(), qt.IsNil)
	c.Check(api.reads > 0, qt.IsTrue)
	c.Check(api.reads <= maxReads, qt.IsTrue, qt.Commentf("%s", fmt.Sprint(api.reads, " reads in a second")))
}
