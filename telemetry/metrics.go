// Package telemetry writes logs and metrics. Neither ever blocks the duty that uses it.
package telemetry

import (
	"io"

	"github.com/VictoriaMetrics/metrics"

	"pimentospread"
)

// Registry implements pimentospread.Meters.
type Registry struct {
	set *metrics.Set
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{set: metrics.NewSet()} }

// Counter returns the counter of the given name.
func (r *Registry) Counter(name string) pimentospread.Counter {
	return r.set.GetOrCreateCounter(name)
}

// Gauge registers a metric that is read when it is collected.
func (r *Registry) Gauge(name string, read func() float64) { r.set.GetOrCreateGauge(name, read) }

// Histogram returns the histogram of the given name, in seconds.
func (r *Registry) Histogram(name string) pimentospread.Histogram {
	return r.set.GetOrCreateHistogram(name)
}

// Write writes all metrics in the text format of Prometheus.
func (r *Registry) Write(w io.Writer) {
	r.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Names returns the names of all metrics that were registered.
func (r *Registry) Names() []string { return r.set.ListMetricNames() }
