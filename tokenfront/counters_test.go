package tokenfront

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pimentospread"
	"pimentospread/steer"
	"pimentospread/telemetry"
)

// Guards against a number of metrics that grows with the targets of the system, and
// against flows that no metric counts.
func TestFlowMetricsAreBounded(t *testing.T) {
	m := telemetry.NewRegistry()
	c := newCounters(m)
	const targets = 5 * maxNamedTargets
	for i := range targets {
		name := pimentospread.RegistrationName(fmt.Sprintf("i-%d", i))
		c.countAction(steer.Action{Kind: steer.Forward, Cause: steer.CauseLeastLoad, Name: name, FailureDomain: "near"})
		c.countAction(steer.Action{Kind: steer.Forward, Cause: steer.CauseToken, Name: name, FailureDomain: "near"})
	}
	var out bytes.Buffer
	m.Write(&out)
	for _, want := range []string{
		fmt.Sprintf("pimentospread_target_flows_total{target=\"other\"} %d\n", targets-maxNamedTargets),
		"pimentospread_target_flows_total{target=\"i-0\"} 1\n",
		fmt.Sprintf("pimentospread_domain_flows_total{target_domain=\"near\"} %d\n", targets),
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("metrics do not contain %q", want)
		}
	}
	if n := strings.Count(out.String(), "pimentospread_target_flows_total{"); n != maxNamedTargets+1 {
		t.Errorf("%d series of targets, want %d", n, maxNamedTargets+1)
	}
}
