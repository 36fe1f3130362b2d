package objects

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// eraShift is where the era begins in a Position: an era has room for 2^40 revisions, and JSON numbers are exact for 8,191 eras.
const eraShift = 40

// Position is a place in the store's history: an era and a revision within it. The store begins a new era when it has come back from an older copy, and
// gives out revisions of before again then. Positions are ordered as they happened, so that <, > and max compare them; the zero Position is before all
// others. Only the store's clients know the bare revisions.
type Position int64

// At returns the position of a revision in an era.
func At(era, revision int64) Position { return Position(era<<eraShift | revision) }

// Era returns the era, zero for a store that names none.
func (p Position) Era() int64 { return int64(p) >> eraShift }

// Revision returns the revision within the era.
func (p Position) Revision() int64 { return int64(p) & (1<<eraShift - 1) }

// Exists reports whether the position is that of a change; one without a revision stands for an object that an era does not have.
func (p Position) Exists() bool { return p.Revision() != 0 }

// String returns the era, if there is one, and the revision.
func (p Position) String() string {
	if p.Era() == 0 {
		return strconv.FormatInt(p.Revision(), 10)
	}
	return fmt.Sprintf("%d/%d", p.Era(), p.Revision())
}

// ParsePosition reads what String writes.
func ParsePosition(text string) (Position, error) {
	before, after, found := strings.Cut(text, "/")
	if !found {
		before, after = "0", text
	}
	era, err := strconv.ParseUint(before, 10, 63-eraShift)
	if err != nil {
		return 0, eris.Wrapf(err, "objects: position %q", text)
	}
	revision, err := strconv.ParseUint(after, 10, eraShift)
	if err != nil {
		return 0, eris.Wrapf(err, "objects: position %q", text)
	}
	return At(int64(era), int64(revision)), nil
}
