// Package metric exposes the tally metrics of a process for scraping.
package metric

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"k8s.io/klog/v2"
)

// reportInterval is the time between updates of the scraped values from the counters.
const reportInterval = time.Second

// Metrics holds the root scope of a process and the HTTP handler that exposes its metrics.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// New returns the metrics of a process. Each metric has the tag "box" with the given name.
func New(box string) *Metrics {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry, Gatherer: registry,
		OnRegisterError: func(err error) { klog.ErrorS(err, "metrics") },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "bellgap", Tags: map[string]string{"box": box}, CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports the metrics a last time and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
