package objects

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// eraShift is the lowest bit of the era in a Position. An era has room for 2^40 revisions, and JSON numbers are exact up to 8,191 eras.
const eraShift = 40

// Position is a place in the store's history: an era and a revision within that era. The store begins a new era when it is restored
// from an older copy, and then reuses revisions of earlier eras. Positions are in the order of the history, so <, > and max compare
// them. The zero Position is before all others. Only clients of the store use revisions without an era.
type Position int64

// firstEra is the last era in which a store has never been restored: 0 if it reports no eras, otherwise 1.
const firstEra = 1

// IsRestored reports whether the store has been restored from an older copy before the position. Objects that are missing then may have
// existed.
func (p Position) IsRestored() bool { return p.Era() > firstEra }

// NewPosition returns the position of a revision in an era.
func NewPosition(era, revision int64) Position { return Position(era<<eraShift | revision) }

// Era returns the era. It is zero for a store that reports no eras.
func (p Position) Era() int64 { return int64(p) >> eraShift }

// Revision returns the revision within the era.
func (p Position) Revision() int64 { return int64(p) & (1<<eraShift - 1) }

// HasRevision reports whether the position is the position of a change. A position without a revision stands for an object that does
// not exist in the era.
func (p Position) HasRevision() bool { return p.Revision() != 0 }

// String returns the position as "era/revision", or as the revision alone if the era is zero.
func (p Position) String() string {
	if p.Era() == 0 {
		return strconv.FormatInt(p.Revision(), 10)
	}
	return fmt.Sprintf("%d/%d", p.Era(), p.Revision())
}

// ParsePosition parses the text form that String returns.
func ParsePosition(text string) (Position, error) {
	eraText, revisionText, found := strings.Cut(text, "/")
	if !found {
		eraText, revisionText = "0", text
	}
	era, err := strconv.ParseUint(eraText, 10, 63-eraShift)
	if err != nil {
		return 0, eris.Wrapf(err, "objects: invalid position %q", text)
	}
	revision, err := strconv.ParseUint(revisionText, 10, eraShift)
	if err != nil {
		return 0, eris.Wrapf(err, "objects: invalid position %q", text)
	}
	return NewPosition(int64(era), int64(revision)), nil
}
