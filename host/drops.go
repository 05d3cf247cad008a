package host

import (
	"fmt"

	"pimentospread"
	"pimentospread/dataplane"
)

// dropCounters counts dropped packets by cause. It is not safe for concurrent use.
type dropCounters struct {
	metrics pimentospread.Metrics
	byCause map[dataplane.DropCause]pimentospread.Counter
}

func newDropCounters(m pimentospread.Metrics) dropCounters {
	return dropCounters{metrics: m, byCause: map[dataplane.DropCause]pimentospread.Counter{}}
}

func (d dropCounters) add(causes []dataplane.DropCause) {
	for _, c := range causes {
		counter, ok := d.byCause[c]
		if !ok {
			counter = d.metrics.Counter(fmt.Sprintf("pimentospread_drops_total{cause=%q}", c))
			d.byCause[c] = counter
		}
		counter.Add(1)
	}
}
