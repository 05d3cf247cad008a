package tokenfront

import (
	"errors"
	"fmt"

	"pimentospread"
	"pimentospread/platform"
	"pimentospread/steer"
)

const (
	// maxNamedTargets limits the targets with metrics of their own, because a host may
	// have 130,000 targets. The others are counted under otherLabel.
	maxNamedTargets = 200
	// maxNamedDomains limits the failure domains in the same way.
	maxNamedDomains = 64
	// otherLabel is the label of the counters beyond these limits.
	otherLabel = "other"
)

// counters are the metrics of the steering duty. Only that duty uses them.
type counters struct {
	metrics                   pimentospread.Metrics
	receiveFailed, sendFailed pimentospread.Counter
	suspicions                pimentospread.Counter
	// decisionTime is the time that decisions take, measured for sampled flows.
	decisionTime pimentospread.Histogram
	actions      map[actionKey]pimentospread.Counter
	// byTarget and byDomain count new flows.
	byTarget, byDomain boundedCounters
	pressures          *pressureGauges
}

// boundedCounters are counters per value of a label, with a limited number of values.
type boundedCounters struct {
	format string
	limit  int
	values map[string]pimentospread.Counter
	// other counts all values beyond the limit. It is nil until then.
	other pimentospread.Counter
}

// get returns the counter of the value, or the shared counter once the limit is reached.
func (l *boundedCounters) get(m pimentospread.Metrics, value string) pimentospread.Counter {
	if c, ok := l.values[value]; ok {
		return c
	}
	if len(l.values) >= l.limit {
		if l.other == nil {
			l.other = m.Counter(fmt.Sprintf(l.format, otherLabel))
		}
		return l.other
	}
	c := m.Counter(fmt.Sprintf(l.format, value))
	l.values[value] = c
	return c
}

// actionKey identifies the counter of an action.
type actionKey struct {
	kind  steer.ActionKind
	cause steer.Cause
}

func newCounters(m pimentospread.HistogramMetrics) *counters {
	return &counters{
		metrics:       m,
		receiveFailed: m.Counter("pimentospread_receive_failures_total"),
		sendFailed:    m.Counter(`pimentospread_send_failures_total{socket="data"}`),
		suspicions:    m.Counter("pimentospread_doubts_total"),
		decisionTime:  m.Histogram("pimentospread_decision_seconds"),
		pressures:     newPressureGauges(m),
		actions:       map[actionKey]pimentospread.Counter{},
		byTarget:      boundedCounters{format: "pimentospread_target_flows_total{target=%q}", limit: maxNamedTargets, values: map[string]pimentospread.Counter{}},
		byDomain:      boundedCounters{format: "pimentospread_domain_flows_total{target_domain=%q}", limit: maxNamedDomains, values: map[string]pimentospread.Counter{}},
	}
}

// countAction counts an action and, if it opens a flow, the flow.
func (c *counters) countAction(a steer.Action) {
	key := actionKey{a.Kind, a.Cause}
	counter, ok := c.actions[key]
	if !ok {
		counter = c.metrics.Counter(fmt.Sprintf("pimentospread_packets_total{action=%q,cause=%q}", a.Kind, a.Cause))
		c.actions[key] = counter
	}
	counter.Add(1)
	if a.OpensFlow() {
		c.byTarget.get(c.metrics, string(a.Name)).Add(1)
		c.byDomain.get(c.metrics, string(a.FailureDomain)).Add(1)
	}
}

// countMalformed counts a malformed packet by its cause.
func (c *counters) countMalformed(err error) {
	cause := "other"
	var decodeCause platform.Cause
	if errors.As(err, &decodeCause) {
		cause = string(decodeCause)
	}
	c.metrics.Counter(fmt.Sprintf(`pimentospread_malformed_total{what="packet",cause=%q}`, cause)).Add(1)
}
