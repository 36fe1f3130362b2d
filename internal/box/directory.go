package box

import (
	"net/netip"
	"slices"
	"strings"
	"sync"

	"k8s.io/klog/v2"

	"github.com/bellgap/bellgap/internal/coordinator"
)

// directoryView is the list of boxes that callers receive, with the reasons for it.
type directoryView struct {
	// addresses are the sorted addresses to which callers may connect.
	addresses []netip.AddrPort
	// silent and leaving are the names of the boxes that are omitted because they are silent or leaving.
	silent, leaving []string
	// noneStaying is set if every box is silent or leaving, so that all boxes are listed.
	noneStaying bool
}

func (v directoryView) equal(other directoryView) bool {
	return slices.Equal(v.addresses, other.addresses) && slices.Equal(v.silent, other.silent) && slices.Equal(v.leaving, other.leaving)
}

// lastView holds the last view that callers received.
type lastView struct {
	mu   sync.Mutex
	view directoryView
}

// replace stores a view, and returns the previous view and whether the two differ.
func (l *lastView) replace(view directoryView) (directoryView, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.view
	l.view = view
	return previous, !previous.equal(view)
}

// Addresses returns the addresses to which callers may connect: the boxes that are neither silent nor leaving or, if there are none, all boxes.
// This box is always included while it is ready. Each change of the addresses is logged.
func (b *Routed) Addresses() []netip.AddrPort {
	view := b.computeDirectory()
	previous, changed := b.lastView.replace(view)
	if changed {
		b.metrics.Scope.Counter("directory_changes").Inc(1)
		m, _, _ := b.catalog.Map(b.cfg.Settings.Box.Cell)
		klog.InfoS("directory changed", "named", len(view.addresses), "added", addressesNotIn(view.addresses, previous.addresses),
			"dropped", addressesNotIn(previous.addresses, view.addresses), "silent", view.silent, "leaving", view.leaving, "nobody_stays", view.noneStaying,
			"generation", m.Generation, "coordinator", m.Coordinator, "lease", m.Lease, "store_age", b.follower.StoreAge())
	}
	return view.addresses
}

// computeDirectory computes the view for callers from the cell maps that this box has.
func (b *Routed) computeDirectory() directoryView {
	var view directoryView
	var all []netip.AddrPort
	for _, m := range b.catalog.Topology().Boxes {
		all = append(all, m.Caller)
		view.add(m)
	}
	if len(view.addresses) == 0 {
		view.addresses, view.noneStaying = all, true
	}
	self := b.CallerAddress()
	if b.leavingDuration() == 0 && !slices.Contains(view.addresses, self) && b.Ready() {
		view.addresses = append(view.addresses, self)
	}
	slices.SortFunc(view.addresses, netip.AddrPort.Compare)
	slices.SortFunc(view.silent, strings.Compare)
	slices.SortFunc(view.leaving, strings.Compare)
	return view
}

// add adds a box to the addresses, or to the silent or leaving boxes.
func (v *directoryView) add(m coordinator.Member) {
	switch {
	case m.Leaving:
		v.leaving = append(v.leaving, m.Box)
	case m.Silent:
		v.silent = append(v.silent, m.Box)
	default:
		v.addresses = append(v.addresses, m.Caller)
	}
}

// maxLoggedAddresses limits the number of addresses in a log value.
const maxLoggedAddresses = 8

// addressesNotIn returns the addresses that are not excluded, at most maxLoggedAddresses of them.
func addressesNotIn(addresses, excluded []netip.AddrPort) []netip.AddrPort {
	rest := slices.DeleteFunc(slices.Clone(addresses), func(p netip.AddrPort) bool { return slices.Contains(excluded, p) })
	return rest[:min(len(rest), maxLoggedAddresses)]
}
