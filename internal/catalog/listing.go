package catalog

import "github.com/bellgap/bellgap/internal/platform"

// Listing takes a full list in, page by page, so that a list of any length costs the memory of a page.
type Listing struct {
	catalog  *Catalog
	revision int64
}

// BeginList starts a list that is complete up to revision. A list older than the catalog is refused with ErrBehind.
func (c *Catalog) BeginList(revision int64) (*Listing, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision < c.revision {
		return nil, ErrBehind
	}
	c.listings++
	return &Listing{catalog: c, revision: revision}, nil
}

// Page takes a part of the list in.
func (l *Listing) Page(objects []platform.Object) {
	l.catalog.mu.Lock()
	defer l.catalog.mu.Unlock()
	for _, o := range objects {
		l.catalog.apply(o)
	}
}

// End drops what no page held, unless it is newer than the list.
func (l *Listing) End() {
	c := l.catalog
	c.mu.Lock()
	defer c.mu.Unlock()
	for kind, byName := range c.entries {
		for name, e := range byName {
			if e.listing != c.listings && e.version <= l.revision {
				c.remove(key{kind, name}, l.revision)
			}
		}
	}
	c.recent, c.recentFrom = nil, l.revision
	c.advance(l.revision, true)
}
