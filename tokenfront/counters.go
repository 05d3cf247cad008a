package tokenfront

import (
	"errors"
	"fmt"

	"pimentospread"
	"pimentospread/platform"
	"pimentospread/steer"
)

const (
	// maxNamedTargets and maxNamedDomains bound the metrics of a host, which may
	// know 130,000 targets. What is beyond them is counted as otherLabel.
	maxNamedTargets = 200
	maxNamedDomains = 64
	otherLabel      = "other"
)

// counters count what the steering duty does. They belong to that duty.
type counters struct {
	metrics                   pimentospread.Metrics
	receiveFailed, sendFailed pimentospread.Counter
	doubts                    pimentospread.Counter
	// decided is the time of decisions, for the flows of the log's sample.
	decided pimentospread.Histogram
	actions map[actionKey]pimentospread.Counter
	// byTarget and byDomain count the new flows.
	byTarget, byDomain labelled
}

// labelled is a counter with a bounded number of values of one label.
type labelled struct {
	format string
	most   int
	values map[string]pimentospread.Counter
	// other counts what is beyond the bound; it is nil until then.
	other pimentospread.Counter
}

// of returns the counter of the value, or that of all others once there are too many.
func (l *labelled) of(m pimentospread.Metrics, value string) pimentospread.Counter {
	if c, ok := l.values[value]; ok {
		return c
	}
	if len(l.values) >= l.most {
		if l.other == nil {
			l.other = m.Counter(fmt.Sprintf(l.format, otherLabel))
		}
		return l.other
	}
	c := m.Counter(fmt.Sprintf(l.format, value))
	l.values[value] = c
	return c
}

type actionKey struct {
	kind  steer.Kind
	cause steer.Cause
}

func newCounters(m pimentospread.Meters) *counters {
	return &counters{
		metrics:       m,
		receiveFailed: m.Counter("pimentospread_receive_failures_total"),
		sendFailed:    m.Counter(`pimentospread_send_failures_total{socket="data"}`),
		doubts:        m.Counter("pimentospread_doubts_total"),
		decided:       m.Histogram("pimentospread_decision_seconds"),
		actions:       map[actionKey]pimentospread.Counter{},
		byTarget:      labelled{format: "pimentospread_target_flows_total{target=%q}", most: maxNamedTargets, values: map[string]pimentospread.Counter{}},
		byDomain:      labelled{format: "pimentospread_domain_flows_total{target_domain=%q}", most: maxNamedDomains, values: map[string]pimentospread.Counter{}},
	}
}

func (c *counters) action(a steer.Action) {
	key := actionKey{a.Kind, a.Cause}
	counter, ok := c.actions[key]
	if !ok {
		counter = c.metrics.Counter(fmt.Sprintf("pimentospread_packets_total{action=%q,cause=%q}", a.Kind, a.Cause))
		c.actions[key] = counter
	}
	counter.Add(1)
	if a.OpensFlow() {
		c.byTarget.of(c.metrics, string(a.Name)).Add(1)
		c.byDomain.of(c.metrics, string(a.Domain)).Add(1)
	}
}

func (c *counters) malformed(err error) {
	cause := "other"
	var known platform.DecodeError
	if errors.As(err, &known) {
		cause = string(known)
	}
	c.metrics.Counter(fmt.Sprintf(`pimentospread_malformed_total{what="packet",cause=%q}`, cause)).Add(1)
}
