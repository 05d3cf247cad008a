package pimentospread

// Counter is a metric that only rises.
type Counter interface {
	// Add adds n.
	Add(n int)
}

// Metrics registers the metrics of a process.
type Metrics interface {
	// Counter returns the counter of the given name, such as `drops_total{cause="x"}`.
	Counter(name string) Counter
	// Gauge registers a metric that is read when it is collected.
	Gauge(name string, read func() float64)
}

// Histogram is a metric of a distribution.
type Histogram interface {
	// Update adds a value.
	Update(value float64)
}

// Meters are metrics with histograms.
type Meters interface {
	Metrics
	// Histogram returns the histogram of the given name, such as `call_seconds{call="x"}`.
	Histogram(name string) Histogram
}
