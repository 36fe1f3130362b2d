package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// maxIncarnations limits the crashed endpoints that a case lists. A request is held long before it reaches this limit.
	maxIncarnations = 32
	// incarnationSeparator separates the endpoints of a held request in a cell map.
	incarnationSeparator = " "
)

// Case contains what a box knows about one request. Its lists only grow, so boxes can send it to each other in any order and
// repeatedly.
type Case struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Description describes the request for operators: method, host, path and customer.
	Description string `json:"what"`
	// Crashed lists the endpoints that crashed while they ran the request, each with its start time, in sorted order.
	Crashed []string `json:"ended"`
	// Cleared lists the entries of Crashed that no longer count: the request has run successfully since, an operator released it,
	// or its hold time is over.
	Cleared []string `json:"cleared,omitempty"`
	// Since is the Unix time in ms since which the request is held, by the clock of one box. It is only displayed and affects no
	// decision.
	Since int64 `json:"since,omitempty"`
	// Part is the ID of the prompt part that the case is about. It is empty if the case is about a request.
	Part string `json:"part,omitempty"`
	// Proven is set if a request with the part ran well shortly before one of the crashes, on any box.
	Proven bool `json:"proven,omitempty"`
	// Age is the time since the last crash in Crashed, as of the sending of the case.
	Age time.Duration `json:"age,omitempty"`
}

// Held is the entry of a cell map for a held request. Held requests are not sent to any endpoint.
type Held struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Description string      `json:"what"`
	// Crashed lists the crashed endpoints that count, separated by spaces.
	Crashed string `json:"ended"`
	Since   int64  `json:"since,omitempty"`
	// Part is that of the Case.
	Part string `json:"part,omitempty"`
}

// CrashCount returns the number of crashed endpoints that count against the request.
func (c Case) CrashCount() int { return len(c.countedCrashes()) }

// countedCrashes returns the crashed endpoints that have not been cleared.
func (c Case) countedCrashes() []string {
	return slices.DeleteFunc(slices.Clone(c.Crashed), func(incarnation string) bool { return slices.Contains(c.Cleared, incarnation) })
}

// merge returns the union of two cases, and whether its lists are longer than those of c.
func (c Case) merge(other Case) (merged Case, grew bool) {
	merged = c
	merged.Crashed, merged.Cleared = union(c.Crashed, other.Crashed), union(c.Cleared, other.Cleared)
	if merged.Description == "" {
		merged.Description = other.Description
	}
	merged.Part, merged.Proven = cmp.Or(c.Part, other.Part), c.Proven || other.Proven
	if merged.Since == 0 || (other.Since != 0 && other.Since < merged.Since) {
		merged.Since = other.Since
	}
	return merged, len(merged.Crashed) > len(c.Crashed) || len(merged.Cleared) > len(c.Cleared)
}

// withAllCleared returns the case with all its crashed endpoints cleared.
func (c Case) withAllCleared() Case {
	c.Cleared, c.Since = union(c.Cleared, c.Crashed), 0
	return c
}

// toHeld returns the entry of the case for a cell map.
func (c Case) toHeld() Held {
	return Held{
		Fingerprint: c.Fingerprint, Description: c.Description,
		Crashed: strings.Join(c.countedCrashes(), incarnationSeparator), Since: c.Since, Part: c.Part,
	}
}

// toCase returns the case that an entry of a cell map describes.
func (h Held) toCase() Case {
	return Case{
		Fingerprint: h.Fingerprint, Description: h.Description,
		Crashed: strings.Split(h.Crashed, incarnationSeparator), Since: h.Since, Part: h.Part,
	}
}

// union returns the sorted union of two sorted lists.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxIncarnations)]
}
