package member

import (
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/objects"
)

// Spread is what a box passes on with heartbeats, so that the platform's load does not grow with the boxes.
type Spread interface {
	// Known returns the revisions up to which this box knows the kinds that it follows.
	Known() map[string]int64
	// Since returns what this box knows beyond known, and the time since the store last answered it.
	Since(known map[string]int64) ([]objects.KindChanges, time.Duration)
	// MayTell reports whether something of so many bytes may be told another box now. One that was not told is to ask the platform.
	MayTell(size int) bool
	// Take takes changes from the coordinator in.
	Take(changes []objects.KindChanges, storeAge time.Duration)
}

// askPlatform is the age of the platform's last answer as told to a box that is to ask the platform itself.
const askPlatform = time.Minute

// keptMaps is how many published maps a coordinator keeps to tell what has changed: boxes that miss more get the whole map.
const keptMaps = 16

// keep remembers a published map. The caller holds the lock.
func (n *Node) keep(m coordinator.Map) {
	n.maps = append(n.maps, m)
	if extra := len(n.maps) - keptMaps; extra > 0 {
		n.maps = append([]coordinator.Map(nil), n.maps[extra:]...)
	}
}

// addChanges adds to a reply what the box does not know yet. The caller holds the lock.
func (n *Node) addChanges(b coordinator.Beat, r *coordinator.Reply) {
	if n.cfg.Spread == nil || b.Known == nil {
		return
	}
	r.Changes, r.StoreAge = n.cfg.Spread.Since(b.Known)
	if len(n.maps) == 0 {
		return
	}
	newest := n.maps[len(n.maps)-1]
	// A box may know a later map than this one, which has not heard yet that its write was done.
	if newest.Generation <= b.MapGeneration {
		return
	}
	var from coordinator.Map
	for _, m := range n.maps {
		if m.Generation == b.MapGeneration {
			from = m
		}
	}
	d := coordinator.Diff(from, newest)
	if !n.cfg.Spread.MayTell(d.Size()) {
		r.StoreAge = max(r.StoreAge, askPlatform)
		return
	}
	d.Version = n.mapStored
	r.Map = &d
}

// takeChanges takes in what came with a reply of another box.
func (n *Node) takeChanges(r coordinator.Reply) {
	if n.cfg.Spread == nil {
		return
	}
	n.cfg.Spread.Take(r.Changes, r.StoreAge)
	if r.Map == nil {
		return
	}
	have, _, _ := n.cfg.Catalog.Map(n.cfg.Cell)
	m, ok := r.Map.Apply(have)
	if !ok {
		return
	}
	value, err := json.Marshal(m)
	if err != nil {
		klog.ErrorS(err, "cell map not taken in", "generation", m.Generation)
		return
	}
	n.cfg.Catalog.Apply(objects.Changes{Objects: []objects.Object{
		{Kind: coordinator.MapKind, Name: n.cfg.Cell, Version: r.Map.Version, Value: value},
	}})
}
