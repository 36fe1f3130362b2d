package coordinator

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bellgap/bellgap/internal/demand"
	"github.com/bellgap/bellgap/internal/engineload"
	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/result"
)

// Batch contains the heartbeats of several boxes, forwarded by one of these boxes (the aggregator). Known and MapGeneration describe
// the state of the aggregator only: it receives each change once and distributes it to the other boxes.
type Batch struct {
	// Box names the aggregator, which forwards the heartbeats.
	Box           string                      `json:"box"`
	Beats         []Beat                      `json:"beats"`
	Known         map[string]objects.Position `json:"known,omitempty"`
	MapGeneration int64                       `json:"map_generation,omitempty"`
}

// Answer is the coordinator's response to one heartbeat of a batch.
type Answer struct {
	// Code is result.OK, or the error because of which Reply is empty.
	Code  result.Code `json:"code"`
	Reply Reply       `json:"reply,omitzero"`
}

// BatchReply is the response to a Batch.
type BatchReply struct {
	// Answers has one entry for each heartbeat of the batch, in the same order.
	Answers []Answer `json:"answers"`
	Updates Updates  `json:"news"`
}

// Updates contains the changes that a box receives in addition to its grants.
type Updates struct {
	// Changes lists the object changes after the positions in Beat.Known or Batch.Known. Map contains the changes of the cell map.
	Changes []objects.KindChanges `json:"changes,omitempty"`
	Map     *Delta                `json:"map,omitempty"`
	// StoreAge is the time since the platform's store last answered the coordinator, also if an aggregator forwards it.
	StoreAge time.Duration `json:"store_age,omitempty"`
	// Confirmed holds the age of the sender's data for each object kind whose age matters to the receiver.
	Confirmed map[string]objects.Confirmation `json:"confirmed,omitempty"`
	// EngineLoads holds reports of engines of other boxes, Shares the shares of demand that the fleet serves.
	EngineLoads []engineload.Sent `json:"engine_loads,omitempty"`
	Shares      []demand.Share    `json:"shares,omitempty"`
}

// GrantsChecksum returns a checksum of the grants of a box. It is never zero. Unchanged grants are recognized by it and not sent again.
func GrantsChecksum(grants []Ownership) uint64 {
	digest := xxhash.New()
	for _, g := range grants {
		for _, field := range []string{g.Engine, g.Owner, strconv.FormatUint(g.Epoch, 10), g.Previous} {
			// Writing to a digest never fails.
			_, _ = digest.WriteString(field)
			_, _ = digest.WriteString("\x00")
		}
	}
	return max(1, digest.Sum64())
}

// Holdings is the part of a heartbeat that rarely changes.
type Holdings struct {
	Member   Member
	Released []Release
	Draining []string
	Owned    []Ownership
	Lapsed   []string
}

// Equal reports whether h and o have the same content.
func (h Holdings) Equal(o Holdings) bool {
	return h.Member == o.Member && slices.Equal(h.Released, o.Released) && slices.Equal(h.Draining, o.Draining) && slices.Equal(h.Owned, o.Owned) &&
		slices.Equal(h.Lapsed, o.Lapsed)
}
