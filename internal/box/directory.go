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
	// silent, leaving and unconfirmed are the names of the boxes that are omitted because they are silent or leaving, or known only from a cell
	// map of before a restore of the store: they may be gone for long.
	silent, leaving, unconfirmed []string
	// noneStaying is set if every box is omitted, so that all boxes but the unconfirmed ones are listed.
	noneStaying bool
}

func (v directoryView) equal(other directoryView) bool {
	return slices.Equal(v.addresses, other.addresses) && slices.Equal(v.silent, other.silent) && slices.Equal(v.leaving, other.leaving) &&
		slices.Equal(v.unconfirmed, other.unconfirmed)
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

// Addresses returns the addresses to which callers may connect: the boxes that are neither silent nor leaving nor unconfirmed or, if there are none, all
// but the unconfirmed ones. Callers that get no address ask another box.
// This box is always included while it is ready. Each change of the addresses is logged.
func (b *Routed) Addresses() []netip.AddrPort {
	view := b.computeDirectory()
	previous, changed := b.lastView.replace(view)
	if changed {
		b.metrics.Scope.Counter("directory_changes").Inc(1)
		m, _, _ := b.catalog.Map(b.cfg.Settings.Box.Cell)
		klog.InfoS("directory changed", "named", len(view.addresses), "added", addressesNotIn(view.addresses, previous.addresses),
			"dropped", addressesNotIn(previous.addresses, view.addresses), "silent", view.silent, "leaving", view.leaving, "unconfirmed", view.unconfirmed, "nobody_stays", view.noneStaying,
			"generation", m.Generation, "coordinator", m.Coordinator, "lease", m.Lease, "store_age", b.follower.StoreAge())
	}
	return view.addresses
}

// computeDirectory computes the view for callers from the cell maps that this box has.
func (b *Routed) computeDirectory() directoryView {
	var view directoryView
	var omitted []netip.AddrPort
	t := b.catalog.Topology()
	for name, m := range t.Boxes {
		switch {
		case t.Unconfirmed[name]:
			view.unconfirmed = append(view.unconfirmed, name)
		case !view.add(m):
			omitted = append(omitted, m.Caller)
		}
	}
	if len(view.addresses) == 0 {
		view.addresses, view.noneStaying = omitted, true
	}
	self := b.CallerAddress()
	if b.leavingDuration() == 0 && !slices.Contains(view.addresses, self) && b.Ready() {
		view.addresses = append(view.addresses, self)
	}
	slices.SortFunc(view.unconfirmed, strings.Compare)
	slices.SortFunc(view.addresses, netip.AddrPort.Compare)
	slices.SortFunc(view.silent, strings.Compare)
	slices.SortFunc(view.leaving, strings.Compare)
	return view
}

// add adds a box to the addresses, or to the silent or leaving boxes, and reports whether it is listed.
func (v *directoryView) add(m coordinator.Member) bool {
	switch {
	case m.Leaving:
		v.leaving = append(v.leaving, m.Box)
	case m.Silent:
		v.silent = append(v.silent, m.Box)
	default:
		v.addresses = append(v.addresses, m.Caller)
		return true
	}
	return false
}

// maxLoggedAddresses limits the number of addresses in a log value.
const maxLoggedAddresses = 8

// addressesNotIn returns the addresses that are not excluded, at most maxLoggedAddresses of them.
func addressesNotIn(addresses, excluded []netip.AddrPort) []netip.AddrPort {
	rest := slices.DeleteFunc(slices.Clone(addresses), func(p netip.AddrPort) bool { return slices.Contains(excluded, p) })
	return rest[:min(len(rest), maxLoggedAddresses)]
}
