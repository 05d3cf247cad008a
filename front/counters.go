package front

import (
	"errors"
	"fmt"

	"pimentospread"
	"pimentospread/platform"
	"pimentospread/steer"
)

// counters count what the steering duty does. They belong to that duty.
type counters struct {
	metrics                   pimentospread.Metrics
	receiveFailed, sendFailed pimentospread.Counter
	doubts                    pimentospread.Counter
	// decided is the time of decisions, for the flows of the log's sample.
	decided pimentospread.Histogram
	actions map[actionKey]pimentospread.Counter
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
}

func (c *counters) malformed(err error) {
	cause := "other"
	var known platform.Cause
	if errors.As(err, &known) {
		cause = string(known)
	}
	c.metrics.Counter(fmt.Sprintf(`pimentospread_malformed_total{what="packet",cause=%q}`, cause)).Add(1)
}
