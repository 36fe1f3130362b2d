package box_test

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/bellgap/bellgap/internal/fakeengine"
	"github.com/bellgap/bellgap/internal/placement"
)

// processorTime returns the processor time used so far by this process: the client, the boxes and the engine together.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkOverhead compares requests sent directly to the engine, through the engine's owner, and through another box.
func BenchmarkOverhead(b *testing.B) {
	c := qt.New(b)
	f := startFleet(c, fleetConfig{boxes: 2, engines: []fakeengine.Config{{Slots: 4, Batch: 64, ChecksEpochs: true}}})
	t := f.boxes[0].Topology()
	engine := t.Engines[placement.Top(modelName, t.ByModel[baseModel], 1)[0]]
	owner, other := f.boxes[0], f.boxes[1]
	if owner.CallerAddress() != engine.Owner.Caller {
		owner, other = other, owner
	}
	f.post(owner, "/v1/completions", completionBody(modelName, 1, false))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	for _, tt := range []struct{ name, address string }{
		{"direct", engine.Spec.Address.String()},
		{"owner", owner.CallerAddress().String()},
		{"hop", other.CallerAddress().String()},
		{"direct again", engine.Spec.Address.String()},
	} {
		for _, shape := range []struct {
			name   string
			tokens int
			stream bool
		}{{"one token", 1, false}, {"stream of 64", 64, true}} {
			b.Run(tt.name+"/"+shape.name, func(b *testing.B) {
				var latencies []time.Duration
				before := processorTime(b)
				for b.Loop() {
					startedAt := time.Now()
					resp, err := client.Post("http://"+tt.address+"/v1/completions", "application/json", strings.NewReader(completionBody(modelName, shape.tokens, shape.stream)))
					if err != nil {
						b.Fatal(err)
					}
					if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
						b.Fatal(resp.Status, err)
					}
					if err := resp.Body.Close(); err != nil {
						b.Fatal(err)
					}
					latencies = append(latencies, time.Since(startedAt))
				}
				b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(len(latencies)), "cpu-us/op")
				slices.Sort(latencies)
				b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
			})
		}
	}
}
