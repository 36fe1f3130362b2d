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
	Known() map[string]objects.Position
	// Since returns what this box knows beyond known, and the time since the store last answered it.
	Since(known map[string]objects.Position) ([]objects.KindChanges, time.Duration)
	// MayTell reports whether something of so many bytes may be told another box now. One that was not told is to ask the platform.
	MayTell(size int) bool
	// Take takes changes from the coordinator in.
	Take(changes []objects.KindChanges, storeAge time.Duration)
	// Confirmed returns the ages of this box's own word, Confirm takes in those of a box that was asked at a time.
	Confirmed() map[string]objects.Confirmation
	Confirm(told map[string]objects.Confirmation, askedAt time.Time)
}

// addNews adds to a reply what the box does not know yet. The caller holds the lock.
func (n *Node) addNews(known map[string]objects.Position, generation int64, news *coordinator.News) {
	if n.cfg.Spread == nil || known == nil {
		return
	}
	news.Confirmed = n.cfg.Spread.Confirmed()
	news.Changes, news.StoreAge = n.cfg.Spread.Since(known)
	d, changed := n.history.Since(generation)
	// A box may know a later map than this one, which has not heard yet that its write was done.
	if !changed {
		return
	}
	if !n.cfg.Spread.MayTell(d.Size()) {
		news.Changes = append(news.Changes, objects.KindChanges{Kind: coordinator.MapKind, Ask: true})
		return
	}
	d.Version = n.mapStored
	news.Map = &d
}

// takeNews takes in what came with a reply of another box to a message that was sent at a time.
func (n *Node) takeNews(news coordinator.News, sentAt time.Time) {
	if n.cfg.Spread == nil {
		return
	}
	n.cfg.Spread.Take(news.Changes, news.StoreAge)
	n.cfg.Spread.Confirm(news.Confirmed, sentAt)
	if news.Map == nil {
		return
	}
	have, _, _ := n.cfg.Catalog.Map(n.cfg.Cell)
	m, ok := news.Map.Apply(have)
	if !ok {
		return
	}
	value, err := json.Marshal(m)
	if err != nil {
		klog.ErrorS(err, "cell map not taken in", "generation", m.Generation)
		return
	}
	n.cfg.Catalog.Apply(objects.Changes{Objects: []objects.Object{
		{Kind: coordinator.MapKind, Name: n.cfg.Cell, Version: news.Map.Version, Value: value},
	}})
}
