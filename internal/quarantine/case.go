package quarantine

import (
	"slices"
	"strings"
)

const (
	// maxLives bounds the endpoints that a case names; a request is held long before that.
	maxLives = 32
	// livesSeparator stands between the endpoints that a cell map names.
	livesSeparator = " "
)

// Case is what is known of one request. Its lists only grow, so that boxes may tell each other of it in any order and any number of times.
type Case struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// What names the request for operators: method, host and path, and the customer.
	What string `json:"what"`
	// Ended lists the endpoints that ended while they had the request, each with its start, in order.
	Ended []string `json:"ended"`
	// Cleared lists those of them that count no more: the request has run well since, an operator lets it pass, or its time is over.
	Cleared []string `json:"cleared,omitempty"`
	// Since is the Unix millisecond at which the request came to be held, by the clock of a box; it is shown and decides nothing.
	Since int64 `json:"since,omitempty"`
}

// Held is a request that reaches no endpoint, as a cell map names it.
type Held struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	What        string      `json:"what"`
	// Ended names the endpoints that count, with blanks between them.
	Ended string `json:"ended"`
	Since int64  `json:"since,omitempty"`
}

// Count returns how many endpoints count.
func (c Case) Count() int { return len(c.counting()) }

// counting returns the endpoints that count.
func (c Case) counting() []string {
	return slices.DeleteFunc(slices.Clone(c.Ended), func(life string) bool { return slices.Contains(c.Cleared, life) })
}

// merged returns what two boxes know together, and whether that is more than c.
func (c Case) merged(o Case) (out Case, more bool) {
	out = c
	out.Ended, out.Cleared = union(c.Ended, o.Ended), union(c.Cleared, o.Cleared)
	if out.What == "" {
		out.What = o.What
	}
	if out.Since == 0 || (o.Since != 0 && o.Since < out.Since) {
		out.Since = o.Since
	}
	return out, len(out.Ended) > len(c.Ended) || len(out.Cleared) > len(c.Cleared)
}

// cleared returns the case with nothing left that counts.
func (c Case) cleared() Case {
	c.Cleared, c.Since = union(c.Cleared, c.Ended), 0
	return c
}

// held returns how a cell map names the case.
func (c Case) held() Held {
	return Held{Fingerprint: c.Fingerprint, What: c.What, Ended: strings.Join(c.counting(), livesSeparator), Since: c.Since}
}

// asCase returns what a cell map says of a request.
func (h Held) asCase() Case {
	return Case{Fingerprint: h.Fingerprint, What: h.What, Ended: strings.Split(h.Ended, livesSeparator), Since: h.Since}
}

// union returns what is in either of two ordered lists, in order.
func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxLives)]
}
