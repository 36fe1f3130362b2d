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
	// longList is the number of engines from which the status lists them on request only.
	longList = 40
	// namesShown bounds the names of what is degraded.
	namesShown = 10
)

// zoneSummary counts what there is in one availability zone.
type zoneSummary struct {
	boxes, silent, leaving, aggregators, engines, ownerless int
}

// summary is the fleet as one box sees it, by availability zone.
type summary struct {
	zones map[string]*zoneSummary
	// silent, leaving and ownerless name what is degraded, held the requests that reach no endpoint.
	silent, leaving, ownerless, held []string
	// limited names the endpoints that take so many requests a second, left those that have said they leave, resting those that this box lets rest.
	limited, left, resting []string
}

func summarize(t catalog.Topology, coordinatedBy, cell string) summary {
	s := summary{zones: map[string]*zoneSummary{}}
	m := coordinator.Map{Cell: cell, Coordinator: coordinatedBy}
	for _, name := range sortedKeys(t.Boxes) {
		m.Members = append(m.Members, t.Boxes[name])
		s.addBox(t.Boxes[name])
	}
	for _, b := range m.Members {
		if chosen := aggregator.Choose(m, b.Box, b.Zone); len(chosen) == 1 && chosen[0].Box == b.Box {
			s.zone(b.Zone).aggregators++
		}
	}
	for _, name := range sortedKeys(t.Engines) {
		s.addEngine(name, t.Engines[name])
	}
	for _, h := range t.Quarantined {
		s.held = append(s.held, h.Fingerprint.String())
	}
	return s
}

// addLimits adds the endpoints that name rates, with what they name and for how long.
func (s *summary) addLimits(all []ratelimit.Limit) {
	for _, l := range all {
		s.limited = append(s.limited, fmt.Sprintf("%s %.3g/s for %s", l.Endpoint, l.Rate, l.For.Round(time.Second)))
	}
}

// addNotices adds the endpoints that have said they leave, with how long ago, and those that have asked for rest, with what is left of it.
func (s *summary) addNotices(left []notice.Left, rests []notice.Resting) {
	for _, l := range left {
		s.left = append(s.left, fmt.Sprintf("%s %s ago", l.Endpoint, l.Age.Round(time.Second)))
	}
	for _, r := range rests {
		s.resting = append(s.resting, fmt.Sprintf("%s for %s", r.Endpoint, r.Left.Round(time.Second/10)))
	}
}

func (s *summary) zone(name string) *zoneSummary {
	if s.zones[name] == nil {
		s.zones[name] = &zoneSummary{}
	}
	return s.zones[name]
}

func (s *summary) addBox(b coordinator.Member) {
	z := s.zone(b.Zone)
	z.boxes++
	switch {
	case b.Silent:
		z.silent++
		s.silent = append(s.silent, b.Box)
	case b.Leaving:
		z.leaving++
		s.leaving = append(s.leaving, b.Box)
	}
}

func (s *summary) addEngine(name string, e catalog.EngineView) {
	z := s.zone(e.Spec.Zone)
	z.engines++
	if e.Owner.Box == "" {
		z.ownerless++
		s.ownerless = append(s.ownerless, name)
	}
}

// print writes what is degraded first, then the zones. The tab writer that it is given keeps errors for its end.
func (s *summary) print(w io.Writer) {
	for _, d := range []struct {
		what  string
		names []string
	}{
		{"silent boxes", s.silent},
		{"leaving boxes", s.leaving},
		{"engines without owner", s.ownerless},
		{"requests in quarantine", s.held},
		{"endpoints that name rates", s.limited},
		{"endpoints that leave", s.left},
		{"endpoints that rest", s.resting},
	} {
		if len(d.names) > 0 {
			_, _ = fmt.Fprintf(w, "%s: %d: %s\n", d.what, len(d.names), someOf(d.names))
		}
	}
	_, _ = fmt.Fprintln(w, "ZONE\tBOXES\tSILENT\tLEAVING\tAGGREGATORS\tENGINES\tNO OWNER")
	for _, name := range sortedKeys(s.zones) {
		z := s.zones[name]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", name, z.boxes, z.silent, z.leaving, z.aggregators, z.engines, z.ownerless)
	}
}

func someOf(names []string) string {
	names = slices.Sorted(slices.Values(names))
	if extra := len(names) - namesShown; extra > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:namesShown], " "), extra)
	}
	return strings.Join(names, " ")
}
