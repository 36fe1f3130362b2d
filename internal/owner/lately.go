package owner

import (
	"slices"

	"github.com/bellgap/bellgap/internal/resource"
)

// lately lists the adapters that the engine unloaded most recently, oldest first.
type lately struct {
	most int
	refs []resource.Ref
}

func (l *lately) has(ref resource.Ref) bool { return slices.Contains(l.refs, ref) }

func (l *lately) add(ref resource.Ref) {
	l.drop(ref)
	l.refs = append(l.refs, ref)
	if extra := len(l.refs) - l.most; extra > 0 {
		l.refs = slices.Delete(l.refs, 0, extra)
	}
}

func (l *lately) drop(ref resource.Ref) {
	l.refs = slices.DeleteFunc(l.refs, func(r resource.Ref) bool { return r == ref })
}
