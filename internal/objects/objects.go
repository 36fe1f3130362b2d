// Package objects is the client of the platform's object API and box list.
package objects

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// MaxValue is the largest value of an object, in bytes.
const MaxValue = 1 << 20

// Errors that callers tell apart.
var (
	// ErrConflict says that the object's version is not the expected one; the write took no effect.
	ErrConflict = eris.New("objects: version conflict")
	// ErrNotFound says that there is no such object.
	ErrNotFound = eris.New("objects: not found")
	// ErrGone says that the changes asked for are no longer kept; list instead.
	ErrGone = eris.New("objects: changes no longer kept")
	// ErrUnavailable says that the platform refused or could not be reached; a write took no effect.
	ErrUnavailable = eris.New("objects: unavailable")
	// ErrAnswerLost says that a write may or may not have taken effect.
	ErrAnswerLost = eris.New("objects: answer lost")
)

// Object is one stored object.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the position of the object's last write.
	Version Position        `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	// Deleted marks a deletion in a list of changes.
	Deleted bool `json:"deleted,omitempty"`
}

// Changes is a part of the store's history.
type Changes struct {
	Objects []Object `json:"objects"`
	// Revision is the position up to which Objects is complete.
	Revision Position `json:"revision"`
	// Next asks List for the next page; empty on the last one. Only the first page's Revision holds for the whole list.
	Next string `json:"next,omitempty"`
}

// KindChanges is what changed of one kind, as one box tells another.
type KindChanges struct {
	Kind string `json:"kind"`
	// Revision is that up to which the sender knows the kind.
	Revision Position `json:"revision"`
	// Full says that Objects are all there are of the kind.
	Full    bool     `json:"full,omitempty"`
	Objects []Object `json:"objects,omitempty"`
	// Ask says instead that the kind has changed by more than is passed on: the receiver is to ask the store for this kind.
	Ask bool `json:"ask,omitempty"`
}

// Confirmation says how old a box's word on a whole kind is, as one box tells another.
type Confirmation struct {
	// Revision is that up to which the sender knows the kind.
	Revision Position `json:"revision"`
	// Age is the time since all that the store had acknowledged of the kind was known at Revision, when the message was made. It is counted
	// from before the question, so it may be too great and is never too small.
	Age time.Duration `json:"age"`
}

// BoxState is the state of a box in the box list.
type BoxState string

// The states of the box list.
const (
	BoxLive    BoxState = "live"
	BoxLeaving BoxState = "leaving"
)

// Box is an entry of the platform's box list; the list lags.
type Box struct {
	Name  string   `json:"name"`
	State BoxState `json:"state"`
}

// API is what bellgap uses of the platform. Client implements it.
type API interface {
	// Get returns one object, or ErrNotFound with an object whose Version names the era that lacks it.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns a page of the objects of the kinds, the first one after "".
	List(ctx context.Context, kinds []string, after string) (Changes, error)
	// Watch waits up to wait for changes of the kinds after from, and returns them or none; ErrGone asks for a List, also where from is of an earlier era.
	Watch(ctx context.Context, kinds []string, from Position, wait time.Duration) (Changes, error)
	// Put writes the value if the object's version is expect (without a revision: it does not exist) and returns the new version.
	Put(ctx context.Context, kind, name string, expect Position, value json.RawMessage) (Position, error)
	// Delete removes the object if its version is expect.
	Delete(ctx context.Context, kind, name string, expect Position) error
	// Boxes returns the box list.
	Boxes(ctx context.Context) ([]Box, error)
}
