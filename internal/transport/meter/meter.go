// Package meter exposes a node's counters and latency histograms in the Prometheus
// text format.
//
// # Usage
//
//	m := meter.New("kadikoy-1", "kadikoy")
//	defer m.Close()
//	m.Scope.Counter("requests").Inc(1)
//	http.Handle("/metrics", m.Handler())
package meter

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// updateInterval is the time between updates of the exposed metrics.
const updateInterval = time.Second

// Meter is a node's metrics registry.
type Meter struct {
	// Scope creates counters, gauges and histograms.
	Scope tally.Scope

	reporter prometheus.Reporter
	closer   io.Closer
}

// New returns a meter whose metrics are labelled with the node and its failure
// domain.
func New(node, domain string) *Meter {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "lacewingrelay",
		Tags:            map[string]string{"node": node, "domain": domain},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,

		OmitCardinalityMetrics: true,
	}, updateInterval)
	return &Meter{Scope: scope, reporter: reporter, closer: closer}
}

// Handler returns the HTTP handler that exposes the metrics.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close stops updating the metrics.
func (m *Meter) Close() error { return m.closer.Close() }
