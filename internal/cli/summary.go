package cli

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/bellgap/bellgap/internal/aggregator"
	"github.com/bellgap/bellgap/internal/catalog"
	"github.com/bellgap/bellgap/internal/coordinator"
	"github.com/bellgap/bellgap/internal/notice"
	"github.com/bellgap/bellgap/internal/ratelimit"
)

const (
	// maxListedEngines is the largest fleet for which the status lists every engine by default. Larger fleets need the flag --all.
	maxListedEngines = 40
	// maxListedNames limits the names in each line of boxes, engines, requests or endpoints that need attention.
	maxListedNames = 10
)

// zoneSummary counts the boxes and engines of one availability zone by state.
type zoneSummary struct {
	boxes, silent, leaving, aggregators, engines, ownerless int
}

// summary describes the fleet as one box sees it, with counts for each availability zone.
type summary struct {
	zones map[string]*zoneSummary
	// silentBoxes, leavingBoxes and ownerlessEngines list names, quarantined lists the fingerprints of the requests that are refused.
	silentBoxes, leavingBoxes, ownerlessEngines, quarantined []string
	// rateLimited, brittle, leavingEndpoints and pausedEndpoints list endpoints by the notices that they sent: a rate limit, that they are brittle, that they are
	// leaving, or that they request a pause from this box. Each entry has the name followed by details.
	rateLimited, brittle, leavingEndpoints, pausedEndpoints []string
}

func summarize(topology catalog.Topology, coordinatorBox, cell string) summary {
	s := summary{zones: map[string]*zoneSummary{}}
	cellMap := coordinator.Map{Cell: cell, Coordinator: coordinatorBox}
	for _, name := range sortedKeys(topology.Boxes) {
		cellMap.Members = append(cellMap.Members, topology.Boxes[name])
		s.addBox(topology.Boxes[name])
	}
	for _, b := range cellMap.Members {
		if chosen := aggregator.Choose(cellMap, b.Box, b.Zone); len(chosen) == 1 && chosen[0].Box == b.Box {
			s.zoneSummaryOf(b.Zone).aggregators++
		}
	}
	for _, name := range sortedKeys(topology.Engines) {
		s.addEngine(name, topology.Engines[name])
	}
	for _, held := range topology.Quarantined {
		s.quarantined = append(s.quarantined, held.Fingerprint.String())
	}
	return s
}

// addRateLimits adds the endpoints that report a rate limit. Each entry has the rate and how long the endpoint has reported one.
func (s *summary) addRateLimits(limits []ratelimit.Limit) {
	for _, l := range limits {
		s.rateLimited = append(s.rateLimited, fmt.Sprintf("%s %.3g/s for %s", l.Endpoint, l.Rate, l.LimitedFor.Round(time.Second)))
	}
}

// addBrittle adds the endpoints that are brittle. Each entry has the rejections per second that the endpoint tolerates, and how long it has
// been brittle.
func (s *summary) addBrittle(endpoints []ratelimit.BrittleEndpoint) {
	for _, e := range endpoints {
		s.brittle = append(s.brittle, fmt.Sprintf("%s %d/s for %s", e.Endpoint, e.Tolerated, e.For.Round(time.Second)))
	}
}

// addNotices adds the endpoints that are leaving, with the time since their notice, and the endpoints that requested a pause, with the
// remaining time of the pause.
func (s *summary) addNotices(leaving []notice.LeavingEndpoint, paused []notice.PausedEndpoint) {
	for _, l := range leaving {
		s.leavingEndpoints = append(s.leavingEndpoints, fmt.Sprintf("%s %s ago", l.Endpoint, l.Age.Round(time.Second)))
	}
	for _, r := range paused {
		s.pausedEndpoints = append(s.pausedEndpoints, fmt.Sprintf("%s for %s", r.Endpoint, r.Remaining.Round(time.Second/10)))
	}
}

func (s *summary) zoneSummaryOf(name string) *zoneSummary {
	if s.zones[name] == nil {
		s.zones[name] = &zoneSummary{}
	}
	return s.zones[name]
}

func (s *summary) addBox(b coordinator.Member) {
	z := s.zoneSummaryOf(b.Zone)
	z.boxes++
	switch {
	case b.Silent:
		z.silent++
		s.silentBoxes = append(s.silentBoxes, b.Box)
	case b.Leaving:
		z.leaving++
		s.leavingBoxes = append(s.leavingBoxes, b.Box)
	}
}

func (s *summary) addEngine(name string, e catalog.EngineView) {
	z := s.zoneSummaryOf(e.Spec.Zone)
	z.engines++
	if e.Owner.Box == "" {
		z.ownerless++
		s.ownerlessEngines = append(s.ownerlessEngines, name)
	}
}

// print writes the lists of boxes, engines, requests and endpoints that need attention, then the table of zones. It ignores write
// errors, because w is a tabwriter that returns them at Flush.
func (s *summary) print(w io.Writer) {
	for _, group := range []struct {
		label string
		names []string
	}{
		{"silent boxes", s.silentBoxes},
		{"leaving boxes", s.leavingBoxes},
		{"engines without owner", s.ownerlessEngines},
		{"requests in quarantine", s.quarantined},
		{"endpoints that name rates", s.rateLimited},
		{"brittle endpoints", s.brittle},
		{"endpoints that leave", s.leavingEndpoints},
		{"endpoints that pause", s.pausedEndpoints},
	} {
		if len(group.names) > 0 {
			_, _ = fmt.Fprintf(w, "%s: %d: %s\n", group.label, len(group.names), joinNames(group.names))
		}
	}
	_, _ = fmt.Fprintln(w, "ZONE\tBOXES\tSILENT\tLEAVING\tAGGREGATORS\tENGINES\tNO OWNER")
	for _, name := range sortedKeys(s.zones) {
		z := s.zones[name]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", name, z.boxes, z.silent, z.leaving, z.aggregators, z.engines, z.ownerless)
	}
}

func joinNames(names []string) string {
	names = slices.Sorted(slices.Values(names))
	if omitted := len(names) - maxListedNames; omitted > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxListedNames], " "), omitted)
	}
	return strings.Join(names, " ")
}
