package policybench

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Result is what a run measured.
type Result struct {
	Scenario, Policy string
	// Urgent and Night count arrivals; Served and Refused their ends.
	Urgent, Night   int
	Served, Refused int
	RefusedUrgent   int
	// Stalls counts urgent requests that waited for their adapter, StallTime their waits in all, refused ones included.
	Stalls    int
	StallTime time.Duration
	StallP99  time.Duration
	// FirstP95 is the wait for a start of urgent requests, 95 in 100.
	FirstP95 time.Duration
	// Fill is the mean filled share of the engines' steps.
	Fill float64
	// Loads counts loads from the store, Hops engines tried beyond the first.
	Loads, Hops int

	seats, busy, filled float64
	waits, stalls       []time.Duration
}

func (o *Result) arrived(urgent bool) {
	if urgent {
		o.Urgent++
		return
	}
	o.Night++
}

func (o *Result) started(p *pending, waited, stalled time.Duration) {
	o.Served++
	if !p.urgent {
		return
	}
	o.waits = append(o.waits, waited)
	o.stall(stalled)
}

func (o *Result) stall(d time.Duration) {
	o.stalls = append(o.stalls, d)
	if d > 0 {
		o.Stalls++
		o.StallTime += d
	}
}

func (o *Result) refused(p *pending, waited time.Duration) {
	o.Refused++
	if p.urgent {
		o.RefusedUrgent++
		o.stall(waited)
	}
}

func (o *Result) finish() {
	o.FirstP95 = quantile(o.waits, 0.95)
	o.StallP99 = quantile(o.stalls, 0.99)
	if o.busy > 0 {
		o.Fill = o.filled / o.busy / o.seats
	}
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(len(d)-1, int(q*float64(len(d))))]
}

// Write writes results as a Markdown table.
func Write(w io.Writer, results []Result) error {
	_, err := fmt.Fprint(w, "| scenario | policy | served | refused (urgent) | urgent stalls | stall time, s | stall p99, s | urgent start p95, s | step fill | loads per 1,000 | extra tries per 1,000 |\n|---|---|---|---|---|---|---|---|---|---|---|\n")
	if err != nil {
		return err
	}
	for _, o := range results {
		n := float64(o.Urgent + o.Night)
		_, err := fmt.Fprintf(w, "| %s | %s | %d | %d (%d) | %d | %.0f | %.2f | %.2f | %.1f%% | %.0f | %.0f |\n",
			o.Scenario, o.Policy, o.Served, o.Refused, o.RefusedUrgent, o.Stalls, o.StallTime.Seconds(), o.StallP99.Seconds(),
			o.FirstP95.Seconds(), 100*o.Fill, 1000*float64(o.Loads)/n, 1000*float64(o.Hops)/n)
		if err != nil {
			return err
		}
	}
	return nil
}
