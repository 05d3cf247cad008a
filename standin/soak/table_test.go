package soak

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against a table that omits a violated invariant.
func TestWriteTableShowsViolations(t *testing.T) {
	o := newObservations(1, false)
	for _, p := range invariants {
		o.addViolation(p.rule, "violation of %s", p.rule)
	}
	var out bytes.Buffer
	if err := o.outcome.WriteTable(&out); err != nil {
		t.Fatal(err)
	}
	for _, p := range invariants {
		if !strings.Contains(out.String(), "violation of "+p.rule) {
			t.Errorf("the table does not contain the violation of %q:\n%s", p.rule, out.String())
		}
		for line := range strings.Lines(out.String()) {
			if strings.HasPrefix(line, p.text) && !strings.HasSuffix(line, "  1\n") {
				t.Errorf("line %q does not count the violation", line)
			}
		}
	}
}
