// Package coordinator decides, for one cell, which boxes are members and which box owns which engine. It does no I/O.
package coordinator

import (
	"net/netip"
	"time"

	"github.com/bellgap/bellgap/internal/lease"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/quarantine"
)

// MapKind is the object kind of cell maps.
const MapKind = "CellMap"

// Engine is a declared engine of the cell.
type Engine struct {
	Name string
	Zone string
}

// Member is one box of a cell as others see it.
type Member struct {
	Box string `json:"box"`
	// Zone is the availability zone of the box.
	Zone string `json:"zone"`
	// Incarnation tells one process of a box from the next.
	Incarnation string `json:"incarnation"`
	// Caller and Peer are the addresses for callers and for other boxes.
	Caller  netip.AddrPort `json:"caller"`
	Peer    netip.AddrPort `json:"peer"`
	Leaving bool           `json:"leaving,omitempty"`
	// Silent says that the box has missed some heartbeats: callers are not sent there, but its engines are still its own.
	Silent bool `json:"silent,omitempty"`
}

// Ownership says which box owns an engine.
type Ownership struct {
	Engine string `json:"engine"`
	Owner  string `json:"owner"`
	// Epoch grows with each change of owner; orders carry it.
	Epoch uint64 `json:"epoch"`
	// Previous names the last owner until all it may have in flight on the engine has ended.
	Previous string `json:"previous,omitempty"`
}

// Map is the published state of a cell.
type Map struct {
	Cell string `json:"cell"`
	// Region groups the cells that share a weight store.
	Region string `json:"region"`
	// Generation grows with each published map.
	Generation int64 `json:"generation"`
	// Lease is the epoch of the coordinator's lease.
	Lease uint64 `json:"lease"`
	// Epoch is the highest that an engine of the cell has had, also one that is gone: an engine of that name may come back.
	Epoch uint64 `json:"epoch,omitempty"`
	// Coordinator names the box that coordinates.
	Coordinator string      `json:"coordinator"`
	Members     []Member    `json:"members"`
	Owners      []Ownership `json:"owners"`
	// Leaving lists the boxes that the platform's box list says are leaving, in order.
	Leaving []string `json:"leaving,omitempty"`
	// Quarantined lists the requests that reach no endpoint, in order.
	Quarantined []quarantine.Held `json:"quarantined,omitempty"`
}

// Release gives one grant back. It names the epoch, as a later grant of the same engine may be on its way.
type Release struct {
	Engine string `json:"engine"`
	Epoch  uint64 `json:"epoch"`
}

// Beat is a heartbeat from a box.
type Beat struct {
	Member Member `json:"member"`
	// Released lists grants under which this box no longer admits requests or gives orders.
	Released []Release `json:"released,omitempty"`
	// Draining lists engines this box still has requests in flight on without owning them.
	Draining []string `json:"draining,omitempty"`
	// Owned lists what this box holds, for a new coordinator.
	Owned []Ownership `json:"owned,omitempty"`
	// Lapsed lists engines whose grants to this box have run out and have not been renewed or replaced.
	Lapsed []string `json:"lapsed,omitempty"`
	// Known names the revisions up to which this box knows the kinds that it follows, MapGeneration the cell map that it has;
	// a box that takes no changes with its heartbeats names neither.
	Known         map[string]objects.Position `json:"known,omitempty"`
	MapGeneration int64                       `json:"map_generation,omitempty"`
	// Sequence numbers the heartbeats of a process from 1 on. One that overtakes another, which a box in between may have held up, makes the
	// other count for nothing. Zero is not numbered.
	Sequence uint64 `json:"sequence,omitempty"`
	// Base is the sequence of the last heartbeat in full that this coordinator has answered, if all that this one leaves out is as it
	// was there: of Member only the box and its incarnation are given then. It saves some 100 B an owned engine each way.
	Base uint64 `json:"base,omitempty"`
	// GrantsSum is the checksum of the grants that the box has.
	GrantsSum uint64 `json:"grants_sum,omitempty"`
	// PassOn asks a box that does not coordinate to pass the heartbeat on to the coordinator with the epoch Lease, and to no other.
	PassOn bool   `json:"pass_on,omitempty"`
	Lease  uint64 `json:"lease,omitempty"`
}

// Reply answers a Beat.
type Reply struct {
	// Lease is the epoch of the coordinator's lease.
	Lease uint64 `json:"lease"`
	// Term is how long the grants hold, counted from when the beat was sent.
	Term time.Duration `json:"term"`
	// Frozen says that the coordinator cannot renew its lease: grants are neither extended nor changed.
	Frozen bool `json:"frozen,omitempty"`
	// Grants lists the engines the box owns.
	Grants []Ownership `json:"grants"`
	// Release lists owned engines to hand over.
	Release []string `json:"release,omitempty"`
	// LeaseVersion is the version of the lease object; seeing it in a reply is as good as reading the lease.
	LeaseVersion objects.Position `json:"lease_version"`
	// Revision is the configuration revision that the coordinator has.
	Revision objects.Position `json:"revision"`
	// Same says that the grants are those of which Beat.GrantsSum is the checksum, and are left out.
	Same bool `json:"same,omitempty"`
	// Unreached is set by an aggregator that could not reach the coordinator: nothing but the news holds then.
	Unreached *Unreached `json:"unreached,omitempty"`
	News
}

// Unreached says what an aggregator knows of the coordinator's lease, so that its boxes need not read it one by one.
type Unreached struct {
	Lease   lease.Record     `json:"lease"`
	Version objects.Position `json:"version"`
}
