package pairing

import "hash/maphash"

// hashSeed makes the hashes of ids differ from process to process, so that callers cannot choose ids with one hash.
var hashSeed = maphash.MakeSeed()

// hashOf returns the hash under which an id is kept.
func hashOf(id string) uint32 { return uint32(maphash.String(hashSeed, id)) }

// carriedIDs holds the ids of the requests that a connection has carried, as hashes. Another id with the same hash counts as carried.
type carriedIDs struct{ hashes map[uint32]struct{} }

// add adds an id and reports whether it was there already.
func (c *carriedIDs) add(id string) (wasThere bool) {
	if c.has(id) {
		return true
	}
	if c.hashes == nil {
		c.hashes = map[uint32]struct{}{}
	}
	c.hashes[hashOf(id)] = struct{}{}
	return false
}

// has reports whether an id has been added.
func (c *carriedIDs) has(id string) bool {
	_, ok := c.hashes[hashOf(id)]
	return ok
}

// len returns the number of ids, those with one hash counted once.
func (c *carriedIDs) len() int { return len(c.hashes) }
