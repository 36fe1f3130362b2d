package owner

import (
	"slices"

	"github.com/bellgap/bellgap/internal/engine"
	"github.com/bellgap/bellgap/internal/resource"
)

// requiredReports is the number of consecutive reports that must show the same difference before the state is corrected. A single
// report may be older than the last order.
const requiredReports = 3

// reconciler compares engine reports with the State. It is not safe for concurrent use.
type reconciler struct {
	// unknown counts the consecutive reports that list an adapter missing from the State.
	unknown map[resource.Ref]int
	// absent counts the consecutive reports without an adapter that the State has as loaded.
	absent map[resource.Ref]int
}

func newReconciler() *reconciler {
	return &reconciler{unknown: map[resource.Ref]int{}, absent: map[resource.Ref]int{}}
}

// compare evaluates a report. It returns the adapters to adopt and the adapters that are gone, according to enough consecutive
// reports.
func (r *reconciler) compare(s *State, rep engine.Report) (adopt, gone []resource.Ref) {
	reported := loadedRefs(rep)
	adopt = countConsecutive(r.unknown, reported, func(ref resource.Ref) bool { return !s.IsTracked(ref) })
	known := s.LoadedRefs()
	gone = countConsecutive(r.absent, known, func(ref resource.Ref) bool { return !slices.Contains(reported, ref) })
	return adopt, gone
}

// countConsecutive increments the count of each ref for which differs returns true and removes all other counts. It returns the
// refs whose count has reached requiredReports.
func countConsecutive(counts map[resource.Ref]int, refs []resource.Ref, differs func(resource.Ref) bool) []resource.Ref {
	var found []resource.Ref
	newCounts := map[resource.Ref]int{}
	for _, ref := range refs {
		if !differs(ref) {
			continue
		}
		if newCounts[ref] = counts[ref] + 1; newCounts[ref] >= requiredReports {
			found = append(found, ref)
		}
	}
	clear(counts)
	for ref, n := range newCounts {
		counts[ref] = n
	}
	return found
}

// loadedRefs returns the adapter versions that a report lists as loaded. It skips other names, since this system did not load
// them.
func loadedRefs(rep engine.Report) []resource.Ref {
	return parseRefs(rep.Loaded)
}

// parseRefs returns the adapter versions among names.
func parseRefs(names []string) []resource.Ref {
	var refs []resource.Ref
	for _, m := range names {
		if ref, err := resource.ParseRef(m); err == nil {
			refs = append(refs, ref)
		}
	}
	return refs
}
