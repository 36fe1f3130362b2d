package owner

import (
	"slices"

	"github.com/bellgap/bellgap/internal/resource"
)

// recentAdapters lists the adapters that the engine unloaded most recently, oldest first.
type recentAdapters struct {
	limit int
	refs  []resource.Ref
}

func (l *recentAdapters) contains(ref resource.Ref) bool { return slices.Contains(l.refs, ref) }

func (l *recentAdapters) add(ref resource.Ref) {
	l.remove(ref)
	l.refs = append(l.refs, ref)
	if extra := len(l.refs) - l.limit; extra > 0 {
		l.refs = slices.Delete(l.refs, 0, extra)
	}
}

func (l *recentAdapters) remove(ref resource.Ref) {
	l.refs = slices.DeleteFunc(l.refs, func(r resource.Ref) bool { return r == ref })
}
