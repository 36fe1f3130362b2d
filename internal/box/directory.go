package box

import (
	"net/netip"
	"slices"
	"strings"
	"sync"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/coordinator"
)

// answer is what callers are told of the fleet, and why.
type answer struct {
	// addresses are where callers may connect, in order.
	addresses []netip.AddrPort
	// silent and leaving name the boxes that are left out for that.
	silent, leaving []string
	// nobodyStays says that no box is there to stay, so that all are named.
	nobodyStays bool
}

func (a answer) equal(b answer) bool {
	return slices.Equal(a.addresses, b.addresses) && slices.Equal(a.silent, b.silent) && slices.Equal(a.leaving, b.leaving)
}

// told is the last answer to callers.
type told struct {
	mu   sync.Mutex
	last answer
}

// change notes an answer, and returns the one before and whether this one differs.
func (t *told) change(now answer) (answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.last
	t.last = now
	return before, !before.equal(now)
}

// Addresses returns where callers may connect: the live boxes that are not leaving, else all live ones, else this one. A change of
// the answer is a line in the log.
func (b *Routed) Addresses() []netip.AddrPort {
	a := b.answer()
	before, changed := b.told.change(a)
	if changed {
		b.metrics.Scope.Counter("directory_changes").Inc(1)
		m, _, _ := b.catalog.Map(b.cfg.Settings.Box.Cell)
		klog.InfoS("directory changed", "named", len(a.addresses), "added", without(a.addresses, before.addresses),
			"dropped", without(before.addresses, a.addresses), "silent", a.silent, "leaving", a.leaving, "nobody_stays", a.nobodyStays,
			"generation", m.Generation, "coordinator", m.Coordinator, "lease", m.Lease, "store_age", b.follower.StoreAge())
	}
	return a.addresses
}

// answer works out what callers are told by the cell map that this box has.
func (b *Routed) answer() answer {
	var a answer
	var all []netip.AddrPort
	for _, m := range b.catalog.Topology().Boxes {
		all = append(all, m.Caller)
		a.add(m)
	}
	if len(a.addresses) == 0 {
		a.addresses, a.nobodyStays = all, true
	}
	self := b.CallerAddress()
	if b.leavingFor() == 0 && !slices.Contains(a.addresses, self) && b.Ready() {
		a.addresses = append(a.addresses, self)
	}
	slices.SortFunc(a.addresses, netip.AddrPort.Compare)
	slices.SortFunc(a.silent, strings.Compare)
	slices.SortFunc(a.leaving, strings.Compare)
	return a
}

// add takes a box in.
func (a *answer) add(m coordinator.Member) {
	switch {
	case m.Leaving:
		a.leaving = append(a.leaving, m.Box)
	case m.Silent:
		a.silent = append(a.silent, m.Box)
	default:
		a.addresses = append(a.addresses, m.Caller)
	}
}

// maxAddressesTold bounds the addresses in a line.
const maxAddressesTold = 8

// without returns what of all is not in others, for the log.
func without(all, others []netip.AddrPort) []netip.AddrPort {
	rest := slices.DeleteFunc(slices.Clone(all), func(p netip.AddrPort) bool { return slices.Contains(others, p) })
	return rest[:min(len(rest), maxAddressesTold)]
}
