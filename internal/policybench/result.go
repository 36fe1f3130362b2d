package policybench

import (
	"fmt"
	"io"
	"slices"
	"time"
)

// Result contains the measurements of one run.
type Result struct {
	Scenario, Policy string
	// Urgent and NonUrgent count the requests that arrived, Served and Refused their outcomes.
	Urgent, NonUrgent int
	Served, Refused   int
	RefusedUrgent     int
	// Stalls counts the urgent requests that waited for their adapter to be loaded. StallTime is the sum of their waiting
	// times. Both include refused requests.
	Stalls    int
	StallTime time.Duration
	StallP99  time.Duration
	// StartWaitP95 is the 95th percentile of the time that urgent requests waited for their start.
	StartWaitP95 time.Duration
	// StepFill is the average used share of the batch size in the engines' steps.
	StepFill float64
	// Loads counts the loads from the store. ExtraTries counts the engines that were tried after the first one.
	Loads, ExtraTries int

	// busySeconds is the time in which engines ran requests, added up over the engines. sequenceSeconds is the time in which
	// requests ran, added up over the requests.
	batchSize, busySeconds, sequenceSeconds float64
	startWaits, stallTimes                  []time.Duration
}

func (r *Result) recordArrival(urgent bool) {
	if urgent {
		r.Urgent++
		return
	}
	r.NonUrgent++
}

func (r *Result) recordStart(p *pendingRequest, waited, stalled time.Duration) {
	r.Served++
	if !p.urgent {
		return
	}
	r.startWaits = append(r.startWaits, waited)
	r.recordStall(stalled)
}

// recordStall records the time that an urgent request waited for its adapter, which may be 0.
func (r *Result) recordStall(stalled time.Duration) {
	r.stallTimes = append(r.stallTimes, stalled)
	if stalled > 0 {
		r.Stalls++
		r.StallTime += stalled
	}
}

func (r *Result) recordRefusal(p *pendingRequest, waited time.Duration) {
	r.Refused++
	if p.urgent {
		r.RefusedUrgent++
		r.recordStall(waited)
	}
}

func (r *Result) computeStatistics() {
	r.StartWaitP95 = computeQuantile(r.startWaits, 0.95)
	r.StallP99 = computeQuantile(r.stallTimes, 0.99)
	if r.busySeconds > 0 {
		r.StepFill = r.sequenceSeconds / r.busySeconds / r.batchSize
	}
}

// computeQuantile sorts durations and returns their quantile q, where q is between 0 and 1.
func computeQuantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[min(len(durations)-1, int(q*float64(len(durations))))]
}

// WriteTable writes results as a Markdown table.
func WriteTable(w io.Writer, results []Result) error {
	_, err := fmt.Fprint(w, "| scenario | policy | served | refused (urgent) | urgent stalls | stall time, s | stall p99, s | urgent start p95, s | step fill | loads per 1,000 | extra tries per 1,000 |\n|---|---|---|---|---|---|---|---|---|---|---|\n")
	if err != nil {
		return err
	}
	for _, r := range results {
		totalRequests := float64(r.Urgent + r.NonUrgent)
		_, err := fmt.Fprintf(w, "| %s | %s | %d | %d (%d) | %d | %.0f | %.2f | %.2f | %.1f%% | %.0f | %.0f |\n",
			r.Scenario, r.Policy, r.Served, r.Refused, r.RefusedUrgent, r.Stalls, r.StallTime.Seconds(), r.StallP99.Seconds(),
			r.StartWaitP95.Seconds(), 100*r.StepFill, 1000*float64(r.Loads)/totalRequests, 1000*float64(r.ExtraTries)/totalRequests)
		if err != nil {
			return err
		}
	}
	return nil
}
