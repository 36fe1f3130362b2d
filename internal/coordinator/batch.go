package coordinator

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bellgap/bellgap/internal/objects"
	"github.com/bellgap/bellgap/internal/result"
)

// Batch is heartbeats of several boxes, passed on by one of them. It carries what that box knows in place of what they know: it is told of
// changes once and tells them itself.
type Batch struct {
	// Box is the one that passes on.
	Box           string                      `json:"box"`
	Beats         []Beat                      `json:"beats"`
	Known         map[string]objects.Position `json:"known,omitempty"`
	MapGeneration int64                       `json:"map_generation,omitempty"`
}

// Answer is what a coordinator says to one heartbeat of a batch.
type Answer struct {
	// Code is result.OK, or why there is no reply.
	Code  result.Code `json:"code"`
	Reply Reply       `json:"reply,omitzero"`
}

// BatchReply answers a Batch.
type BatchReply struct {
	// Answers are in the order of the heartbeats.
	Answers []Answer `json:"answers"`
	News    News     `json:"news"`
}

// News is what a box is told beside its grants.
type News struct {
	// Changes is what the teller knows beyond Beat.Known, Map what has changed of the cell map.
	Changes []objects.KindChanges `json:"changes,omitempty"`
	Map     *Delta                `json:"map,omitempty"`
	// StoreAge is the time since the platform's store last answered the coordinator, whoever tells it.
	StoreAge time.Duration `json:"store_age,omitempty"`
	// Confirmed says, for the kinds of which the age matters to the receiver, how old the teller's own word is.
	Confirmed map[string]objects.Confirmation `json:"confirmed,omitempty"`
}

// Sum returns a checksum of what a box is granted, never zero, so that grants that stand as they were need not be told again.
func Sum(grants []Ownership) uint64 {
	d := xxhash.New()
	for _, g := range grants {
		for _, word := range []string{g.Engine, g.Owner, strconv.FormatUint(g.Epoch, 10), g.Previous} {
			// A digest takes every write.
			_, _ = d.WriteString(word)
			_, _ = d.WriteString("\x00")
		}
	}
	return max(1, d.Sum64())
}

// Holdings is the part of a heartbeat that seldom changes.
type Holdings struct {
	Member   Member
	Released []Release
	Draining []string
	Owned    []Ownership
	Lapsed   []string
}

// Equal reports whether both say the same.
func (h Holdings) Equal(o Holdings) bool {
	return h.Member == o.Member && slices.Equal(h.Released, o.Released) && slices.Equal(h.Draining, o.Draining) && slices.Equal(h.Owned, o.Owned) &&
		slices.Equal(h.Lapsed, o.Lapsed)
}
