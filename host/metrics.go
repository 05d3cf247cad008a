package host

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"pimentospread"
	"pimentospread/decide"
)

// registry implements pimentospread.Metrics.
type registry struct {
	set *metrics.Set
}

func newRegistry() *registry { return &registry{set: metrics.NewSet()} }

// Counter returns the counter of the given name.
func (r *registry) Counter(name string) pimentospread.Counter {
	return r.set.GetOrCreateCounter(name)
}

// Gauge registers a metric that is read when it is collected.
func (r *registry) Gauge(name string, read func() float64) { r.set.GetOrCreateGauge(name, read) }

func (r *registry) write(w io.Writer) {
	r.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// dropCounters counts dropped packets by cause. It belongs to one duty.
type dropCounters struct {
	metrics pimentospread.Metrics
	byCause map[decide.DropCause]pimentospread.Counter
}

func newDropCounters(m pimentospread.Metrics) dropCounters {
	return dropCounters{metrics: m, byCause: map[decide.DropCause]pimentospread.Counter{}}
}

func (d dropCounters) add(causes []decide.DropCause) {
	for _, c := range causes {
		counter, ok := d.byCause[c]
		if !ok {
			counter = d.metrics.Counter(fmt.Sprintf("pimentospread_drops_total{cause=%q}", c))
			d.byCause[c] = counter
		}
		counter.Add(1)
	}
}
