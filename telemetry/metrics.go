// Package telemetry writes logs and metrics without blocking the duties that
// record them.
package telemetry

import (
	"io"

	"github.com/VictoriaMetrics/metrics"

	"pimentospread"
)

// Registry holds the metrics of a process. It implements pimentospread.HistogramMetrics.
type Registry struct {
	set *metrics.Set
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{set: metrics.NewSet()} }

// Counter returns the counter with the given name and creates it if necessary.
func (r *Registry) Counter(name string) pimentospread.Counter {
	return r.set.GetOrCreateCounter(name)
}

// Gauge registers a gauge whose value is read at each collection.
func (r *Registry) Gauge(name string, read func() float64) { r.set.GetOrCreateGauge(name, read) }

// Histogram returns the histogram with the given name, in seconds, and creates
// it if necessary.
func (r *Registry) Histogram(name string) pimentospread.Histogram {
	return r.set.GetOrCreateHistogram(name)
}

// Write writes all metrics, with those of the process, in the Prometheus text
// format.
func (r *Registry) Write(w io.Writer) {
	r.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Names returns the names of all registered metrics.
func (r *Registry) Names() []string { return r.set.ListMetricNames() }
