package member

import (
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/objects"
)

// Spread distributes changes with heartbeats, so that the platform's load does not grow with the number of boxes.
type Spread interface {
	// KnownRevisions returns, for each kind that this box follows, the revision up to which it has the changes.
	KnownRevisions() map[string]objects.Position
	// ChangesSince returns the changes that this box has beyond known, and the time since the store last answered it.
	ChangesSince(known map[string]objects.Position) ([]objects.KindChanges, time.Duration)
	// MaySend reports whether a message of size bytes may be sent to another box now. If not, that box has to read the change from the
	// platform.
	MaySend(size int) bool
	// ApplyChanges applies changes that the coordinator has sent.
	ApplyChanges(changes []objects.KindChanges, storeAge time.Duration)
	// Confirmations returns the ages of this box's own data.
	Confirmations() map[string]objects.Confirmation
	// ApplyConfirmations applies the ages that another box returned to a request sent at askedAt.
	ApplyConfirmations(ages map[string]objects.Confirmation, askedAt time.Time)
}

// addUpdates adds to a reply the changes that the receiving box does not have yet. The caller holds the lock.
func (n *Node) addUpdates(known map[string]objects.Position, knownGeneration int64, updates *coordinator.Updates) {
	if n.cfg.Spread == nil || known == nil {
		return
	}
	updates.Confirmed = n.cfg.Spread.Confirmations()
	updates.Changes, updates.StoreAge = n.cfg.Spread.ChangesSince(known)
	delta, changed := n.history.Since(knownGeneration)
	// The other box may have a later map than this coordinator: the write of that map may have succeeded without an answer.
	if !changed {
		return
	}
	if !n.cfg.Spread.MaySend(delta.Size()) {
		updates.Changes = append(updates.Changes, objects.KindChanges{Kind: coordinator.MapKind, MustRefetch: true})
		return
	}
	delta.Version = n.historyVersion
	updates.Map = &delta
}

// applyUpdates applies the changes in another box's reply to a message that was sent at sentAt.
func (n *Node) applyUpdates(updates coordinator.Updates, sentAt time.Time) {
	if n.cfg.Spread == nil {
		return
	}
	n.cfg.Spread.ApplyChanges(updates.Changes, updates.StoreAge)
	n.cfg.Spread.ApplyConfirmations(updates.Confirmed, sentAt)
	if updates.Map == nil {
		return
	}
	current, _, _ := n.cfg.Catalog.Map(n.cfg.Cell)
	if m, ok := updates.Map.Apply(current); ok {
		n.applyMap(m, updates.Map.Version)
	}
}

// applyMap applies a cell map to the catalog of this box.
func (n *Node) applyMap(m coordinator.Map, version objects.Position) {
	value, err := json.Marshal(m)
	if err != nil {
		klog.ErrorS(err, "could not encode the cell map", "generation", m.Generation)
		return
	}
	n.cfg.Catalog.Apply(objects.Changes{Objects: []objects.Object{
		{Kind: coordinator.MapKind, Name: n.cfg.Cell, Version: version, Value: value},
	}})
}
