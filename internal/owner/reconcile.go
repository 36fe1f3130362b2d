package owner

import (
	"slices"

	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/resource"
)

// steadyReports is how many reports in a row have to say the same against what the owner knows; a single one may be older than the last order.
const steadyReports = 3

// reconciler compares reports with what the owner knows. One goroutine uses it.
type reconciler struct {
	// unknown counts reports in a row with an adapter that the owner does not know of, absent those without one it holds.
	unknown map[resource.Ref]int
	absent  map[resource.Ref]int
}

func newReconciler() *reconciler {
	return &reconciler{unknown: map[resource.Ref]int{}, absent: map[resource.Ref]int{}}
}

// compare takes a report in and returns what steadily differs: adapters to adopt and adapters that are gone.
func (r *reconciler) compare(s *State, rep engine.Report) (adopt, gone []resource.Ref) {
	reported := refsOf(rep)
	adopt = steady(r.unknown, reported, func(ref resource.Ref) bool { return !s.Knows(ref) })
	held := s.Held()
	gone = steady(r.absent, held, func(ref resource.Ref) bool { return !slices.Contains(reported, ref) })
	return adopt, gone
}

// steady counts for how many calls in a row differs held for each ref, forgets the others, and returns those that reached the limit.
func steady(counts map[resource.Ref]int, refs []resource.Ref, differs func(resource.Ref) bool) []resource.Ref {
	var found []resource.Ref
	next := map[resource.Ref]int{}
	for _, ref := range refs {
		if !differs(ref) {
			continue
		}
		if next[ref] = counts[ref] + 1; next[ref] >= steadyReports {
			found = append(found, ref)
		}
	}
	clear(counts)
	for ref, n := range next {
		counts[ref] = n
	}
	return found
}

// refsOf returns the adapter versions that a report lists; names that are none are not ours.
func refsOf(rep engine.Report) []resource.Ref {
	var refs []resource.Ref
	for _, m := range rep.Loaded {
		if ref, err := resource.ParseRef(m); err == nil {
			refs = append(refs, ref)
		}
	}
	return refs
}
