package follow

import (
	"maps"
	"time"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/objects"
)

// isRelayed reports whether changes come through another box.
func (f *Follower) isRelayed(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.relayed)
}

// Known returns the revisions up to which the kinds are known.
func (f *Follower) Known() map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.known)
}

// Since returns what is known here beyond known, for another box, and the time since the store last answered. Kinds that this box
// has through another one itself are not passed on.
func (f *Follower) Since(known map[string]int64) ([]objects.KindChanges, time.Duration) {
	if f.isRelayed(time.Now()) {
		return nil, relayAge + time.Second
	}
	own := f.Known()
	var out []objects.KindChanges
	for _, k := range f.cfg.Kinds {
		if !k.Relayed || own[k.Name] == 0 || own[k.Name] <= known[k.Name] {
			continue
		}
		changed, complete := f.cfg.Catalog.KindSince(k.Name, known[k.Name])
		out = append(out, objects.KindChanges{Kind: k.Name, Revision: own[k.Name], Full: !complete, Objects: changed})
	}
	return out, f.StoreAge()
}

// Take takes changes from another box in. While they come and that box hears from the store, this one makes no calls.
func (f *Follower) Take(changes []objects.KindChanges, storeAge time.Duration) {
	for _, ch := range changes {
		f.take(ch)
	}
	if f.cfg.RelayFor == 0 || !f.IsReady() {
		return
	}
	now := time.Now()
	f.mu.Lock()
	if storeAge > relayAge {
		f.relayed = time.Time{}
		f.mu.Unlock()
		return
	}
	began := !now.Before(f.relayed)
	f.relayed = now.Add(f.cfg.RelayFor)
	f.mu.Unlock()
	f.store.heardThrough(now.Add(-storeAge))
	if began {
		f.dropUnrelayed()
		klog.V(1).InfoS("changes come with heartbeats", "store_age", storeAge)
	}
}

// dropUnrelayed forgets what goes with a relayed kind and is not relayed itself, as it would only grow old.
func (f *Follower) dropUnrelayed() {
	var drop objects.Changes
	for _, k := range f.cfg.Kinds {
		for _, kind := range k.With {
			for _, name := range f.cfg.Catalog.Names(kind) {
				drop.Objects = append(drop.Objects, objects.Object{Kind: kind, Name: name, Version: f.Known()[k.Name], Deleted: true})
			}
		}
	}
	f.cfg.Catalog.Apply(drop)
}

// take takes the changes of one kind in.
func (f *Follower) take(ch objects.KindChanges) {
	all := ch.Objects
	if ch.Full {
		listed := map[string]bool{}
		for _, o := range ch.Objects {
			listed[o.Name] = true
		}
		for _, name := range f.cfg.Catalog.Names(ch.Kind) {
			if !listed[name] {
				all = append(all, objects.Object{Kind: ch.Kind, Name: name, Version: ch.Revision, Deleted: true})
			}
		}
	}
	if ch.Revision <= f.Known()[ch.Kind] {
		return
	}
	if len(all) > 0 {
		changed, gone := told(all)
		klog.V(1).InfoS("objects changed", "kind", ch.Kind, "revision", ch.Revision, "changed", changed, "gone", gone, "through", "coordinator")
		f.cfg.Catalog.Apply(objects.Changes{Objects: all, Revision: ch.Revision})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known[ch.Kind] = max(f.known[ch.Kind], ch.Revision)
}
