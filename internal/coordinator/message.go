// Package coordinator decides, for one cell, which boxes are members and which box owns which engine. It does no I/O.
package coordinator

import (
	"net/netip"
	"time"

	"github.com/bellgap/bellgap/internal/demand"
	"github.com/bellgap/bellgap/internal/engineload"
	"github.com/bellgap/bellgap/internal/lease"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/quarantine"
	"github.com/bellgap/bellgap/internal/softwareversion"
)

// MapKind is the object kind of cell maps.
const MapKind = "CellMap"

// Engine is a declared engine of the cell.
type Engine struct {
	Name string
	Zone string
}

// Member is one box of a cell, as published to other boxes.
type Member struct {
	Box string `json:"box"`
	// Zone is the availability zone of the box.
	Zone string `json:"zone"`
	// Incarnation identifies the process of the box. It changes when the process restarts.
	Incarnation string `json:"incarnation"`
	// Caller and Peer are the addresses for callers and for other boxes.
	Caller  netip.AddrPort `json:"caller"`
	Peer    netip.AddrPort `json:"peer"`
	Leaving bool           `json:"leaving,omitempty"`
	// Silent means that the box has missed some heartbeats. Callers are not sent to it, but it still owns its engines.
	Silent bool `json:"silent,omitempty"`
	// Detached means that the box reaches no endpoint. It serves callers through other boxes, but cannot own engines.
	Detached bool `json:"detached,omitempty"`
}

// Ownership records which box owns an engine.
type Ownership struct {
	Engine string `json:"engine"`
	Owner  string `json:"owner"`
	// Epoch increases with each change of owner. Each order to the engine contains it.
	Epoch uint64 `json:"epoch"`
	// Previous names the last owner as long as it may have requests in flight on the engine.
	Previous string `json:"previous,omitempty"`
}

// Map is the published state of a cell.
type Map struct {
	Cell string `json:"cell"`
	// Region groups the cells that share a weight store.
	Region string `json:"region"`
	// Generation increases with each published map.
	Generation int64 `json:"generation"`
	// Lease is the epoch of the coordinator's lease.
	Lease uint64 `json:"lease"`
	// Epoch is the highest epoch that any engine of the cell has had. Engines that no longer exist count too, as an engine of the same
	// name may come back.
	Epoch uint64 `json:"epoch,omitempty"`
	// Coordinator names the coordinating box.
	Coordinator string      `json:"coordinator"`
	Members     []Member    `json:"members"`
	Owners      []Ownership `json:"owners"`
	// Leaving lists the boxes that the platform's box list marks as leaving, sorted by name.
	Leaving []string `json:"leaving,omitempty"`
	// UnreportedGrants means that the store was restored from an older copy shortly before, so that boxes may hold grants that they have not
	// reported. The next coordinator reserves engines for as long as the one that found the restore.
	UnreportedGrants bool `json:"unreported_grants,omitempty"`
	// Quarantined lists the quarantined requests, which are sent to no endpoint. The list is sorted.
	Quarantined []quarantine.Held `json:"quarantined,omitempty"`
	// SoftwareVersions lists the software versions that have served each service lately. It is nil in maps of earlier builds.
	SoftwareVersions *softwareversion.History `json:"software_versions,omitempty"`
}

// Release returns one grant to the coordinator. Epoch identifies the grant, as a later grant of the same engine may be in transit.
type Release struct {
	Engine string `json:"engine"`
	Epoch  uint64 `json:"epoch"`
}

// Beat is a heartbeat from a box.
type Beat struct {
	Member Member `json:"member"`
	// Released lists grants that this box no longer uses to admit requests or to send orders.
	Released []Release `json:"released,omitempty"`
	// Draining lists engines that this box no longer owns but still has requests in flight on.
	Draining []string `json:"draining,omitempty"`
	// Owned lists the grants that this box holds, for a new coordinator.
	Owned []Ownership `json:"owned,omitempty"`
	// Lapsed lists engines whose grants to this box have expired and have not been renewed or replaced.
	Lapsed []string `json:"lapsed,omitempty"`
	// Known holds, for each object kind that this box follows, the revision up to which the box has its changes. MapGeneration is the
	// generation of its cell map. Both are empty if the box does not receive changes in heartbeat replies.
	Known         map[string]objects.Position `json:"known,omitempty"`
	MapGeneration int64                       `json:"map_generation,omitempty"`
	// Sequence numbers the heartbeats of a process, starting at 1. A heartbeat that arrives after a later one is ignored; an aggregator
	// may have delayed it. Zero means that the heartbeat is not numbered.
	Sequence uint64 `json:"sequence,omitempty"`
	// Base is the sequence number of the last full heartbeat that this coordinator has answered. If Base is set, this heartbeat omits the
	// fields that have not changed since, and of Member it contains only Box and Incarnation. This saves about 100 B per owned engine in
	// each direction. Base is zero in a full heartbeat.
	Base uint64 `json:"base,omitempty"`
	// GrantsSum is the checksum of the grants that the box holds, as computed by GrantsChecksum.
	GrantsSum uint64 `json:"grants_sum,omitempty"`
	// PassOn requests that a box that is not the coordinator forward the heartbeat. It may be forwarded only to the coordinator with the
	// lease epoch Lease.
	PassOn bool   `json:"pass_on,omitempty"`
	Lease  uint64 `json:"lease,omitempty"`
	// EngineLoads holds reports of the box's own engines, Demand the requests that the box was asked for. Boxes of earlier builds ignore
	// both.
	EngineLoads []engineload.Sent `json:"engine_loads,omitempty"`
	Demand      []demand.Row      `json:"demand,omitempty"`
}

// Reply is the response to a Beat.
type Reply struct {
	// Lease is the epoch of the coordinator's lease.
	Lease uint64 `json:"lease"`
	// Term is how long the grants are valid, counted from the time when the heartbeat was sent.
	Term time.Duration `json:"term"`
	// Frozen means that the grants are neither extended nor changed by this reply: the coordinator cannot renew its lease, or has not
	// published the current grants yet.
	Frozen bool `json:"frozen,omitempty"`
	// Grants lists the engines that the box owns.
	Grants []Ownership `json:"grants"`
	// Release lists owned engines to hand over.
	Release []string `json:"release,omitempty"`
	// LeaseVersion is the version of the lease object. Receiving it in a reply is equivalent to reading the lease.
	LeaseVersion objects.Position `json:"lease_version"`
	// LeaseAge is how long ago the coordinator sent the renewal that wrote LeaseVersion. Boxes of earlier builds ignore it and send none.
	LeaseAge time.Duration `json:"lease_age,omitempty"`
	// Revision is the configuration revision that the coordinator has.
	Revision objects.Position `json:"revision"`
	// GrantsUnchanged means that the checksum of the grants equals Beat.GrantsSum. The grants are omitted then.
	GrantsUnchanged bool `json:"same,omitempty"`
	// Unreached is set by an aggregator that could not reach the coordinator. Only Updates is valid then.
	Unreached *LeaseStatus `json:"unreached,omitempty"`
	Updates
}

// LeaseStatus is an aggregator's last state of the coordinator's lease. The boxes that use the aggregator need not each read the lease.
type LeaseStatus struct {
	Lease   lease.Record     `json:"lease"`
	Version objects.Position `json:"version"`
}
