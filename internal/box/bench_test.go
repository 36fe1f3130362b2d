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

// processorTime returns what this process has used, client, boxes and engine together.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkOverhead compares a request sent straight to the engine with one through its owner and one through another box.
func BenchmarkOverhead(b *testing.B) {
	c := qt.New(b)
	f := startFleet(c, fleetConfig{boxes: 2, engines: []fakeengine.Config{{Slots: 4, Batch: 64, ChecksOrders: true}}})
	t := f.boxes[0].Topology()
	engine := t.Engines[placement.Top(modelName, t.ByModel[baseModel], 1)[0]]
	owner, other := f.boxes[0], f.boxes[1]
	if owner.CallerAddress() != engine.Owner.Caller {
		owner, other = other, owner
	}
	f.ask(owner, "/v1/completions", completion(modelName, 1, false))
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
				var took []time.Duration
				before := processorTime(b)
				for b.Loop() {
					began := time.Now()
					resp, err := client.Post("http://"+tt.address+"/v1/completions", "application/json", strings.NewReader(completion(modelName, shape.tokens, shape.stream)))
					if err != nil {
						b.Fatal(err)
					}
					if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
						b.Fatal(resp.Status, err)
					}
					if err := resp.Body.Close(); err != nil {
						b.Fatal(err)
					}
					took = append(took, time.Since(began))
				}
				b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(len(took)), "cpu-us/op")
				slices.Sort(took)
				b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
			})
		}
	}
}
