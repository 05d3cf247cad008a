package pimentospread

// Counter is a metric that only increases.
type Counter interface {
	// Add increases the counter by n.
	Add(n int)
}

// Metrics registers the metrics of a process.
type Metrics interface {
	// Counter returns the counter with the given name, such as `drops_total{cause="x"}`.
	Counter(name string) Counter
	// Gauge registers a metric whose value is read at each collection.
	Gauge(name string, read func() float64)
}

// Histogram is a metric of the distribution of values.
type Histogram interface {
	// Update adds a value.
	Update(value float64)
}

// HistogramMetrics registers metrics including histograms.
type HistogramMetrics interface {
	Metrics
	// Histogram returns the histogram with the given name, such as `call_seconds{call="x"}`.
	Histogram(name string) Histogram
}
