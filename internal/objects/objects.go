// Package objects is a client of the platform's object API and box list.
package objects

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// MaxValueBytes is the maximum size of an object's value, in bytes.
const MaxValueBytes = 1 << 20

// Errors that callers distinguish.
var (
	// ErrConflict means that the object's version differs from the expected version. The write took no effect.
	ErrConflict = eris.New("objects: version conflict")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = eris.New("objects: not found")
	// ErrGone means that the requested changes are no longer kept. The caller must list the objects instead.
	ErrGone = eris.New("objects: requested changes are no longer kept")
	// ErrUnavailable means that the platform refused the call or could not be reached. A write took no effect.
	ErrUnavailable = eris.New("objects: platform unavailable")
	// ErrOutcomeUnknown means that a write was sent without a usable response. The write may or may not have taken effect.
	ErrOutcomeUnknown = eris.New("objects: no usable response, write may have taken effect")
)

// Object is an object in the platform's store.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the position of the object's last write.
	Version Position        `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	// Deleted is set if the object was deleted. Only lists of changes contain deletions.
	Deleted bool `json:"deleted,omitempty"`
}

// Changes is a part of the store's history.
type Changes struct {
	Objects []Object `json:"objects"`
	// Revision is the position up to which Objects is complete.
	Revision Position `json:"revision"`
	// Next is the argument of List for the next page. It is empty on the last page. Only the Revision of the first page is valid for the
	// whole list.
	Next string `json:"next,omitempty"`
}

// KindChanges holds the changes of one kind. Boxes send it to each other.
type KindChanges struct {
	Kind string `json:"kind"`
	// Revision is the position up to which the sender has all changes of the kind.
	Revision Position `json:"revision"`
	// IsFullList is set if Objects contains all objects of the kind.
	IsFullList bool     `json:"full,omitempty"`
	Objects    []Object `json:"objects,omitempty"`
	// MustRefetch is set, without Objects, if the changes of the kind are too large to be relayed. The receiver must request them from
	// the store.
	MustRefetch bool `json:"ask,omitempty"`
	// HasNames is set if Names lists all objects of the kind. The sender does not know which objects were deleted between the revision that the
	// receiver knows and the first one that it knows itself. An earlier build ignores both fields.
	HasNames bool     `json:"has_names,omitempty"`
	Names    []string `json:"names,omitempty"`
	// HeldFor is how long the sender may still hold deletions back, zero if it holds none. HeldEnded is set if it held some until recently and has sent
	// what came of them. A receiver that is told the one and not the other requests all objects of the kind.
	HeldFor   time.Duration `json:"held_for,omitempty"`
	HeldEnded bool          `json:"held_ended,omitempty"`
}

// Confirmation holds the age of a box's data of one kind. Boxes send it to each other.
type Confirmation struct {
	// Revision is the position up to which the sender has all changes of the kind.
	Revision Position `json:"revision"`
	// Age is how long ago, when the message was made, the data at Revision included everything that the store had acknowledged of the
	// kind. It is measured from before the request to the store, so it may be too high but never too low.
	Age time.Duration `json:"age"`
}

// BoxState is the state of a box in the box list.
type BoxState string

// The states of a box in the box list.
const (
	BoxLive    BoxState = "live"
	BoxLeaving BoxState = "leaving"
)

// Box is an entry of the platform's box list. The list may be out of date.
type Box struct {
	Name  string   `json:"name"`
	State BoxState `json:"state"`
}

// API is the part of the platform's API that bellgap uses. Client implements it.
type API interface {
	// Get returns an object. If the object does not exist, Get returns ErrNotFound and an object whose Version holds the store's era.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns a page of the objects of the kinds. For the first page, after is empty; for other pages, it is Next of the page before.
	List(ctx context.Context, kinds []string, after string) (Changes, error)
	// Watch waits up to wait for changes of the kinds after from and returns them, or no changes if there were none. It returns ErrGone
	// if the caller must call List, for example because from is of an earlier era.
	Watch(ctx context.Context, kinds []string, from Position, wait time.Duration) (Changes, error)
	// Put writes the value if the object's version is expect, and returns the new version. If expect has no revision, the object must not
	// exist.
	Put(ctx context.Context, kind, name string, expect Position, value json.RawMessage) (Position, error)
	// Delete removes the object if its version is expect.
	Delete(ctx context.Context, kind, name string, expect Position) error
	// Boxes returns the box list.
	Boxes(ctx context.Context) ([]Box, error)
}
