package soak

import (
	"bytes"
	"strings"
	"testing"
)

// Guards against a table that hides a broken promise.
func TestTableShowsBrokenPromises(t *testing.T) {
	b := newBook(1, false)
	for _, p := range promises {
		b.violate(p.rule, "seen of %s", p.rule)
	}
	var out bytes.Buffer
	if err := b.outcome.WriteTable(&out); err != nil {
		t.Fatal(err)
	}
	for _, p := range promises {
		if !strings.Contains(out.String(), "seen of "+p.rule) {
			t.Errorf("the table does not name the violation of %q:\n%s", p.rule, out.String())
		}
		for line := range strings.Lines(out.String()) {
			if strings.HasPrefix(line, p.text) && !strings.HasSuffix(line, "  1\n") {
				t.Errorf("line %q does not count the violation", line)
			}
		}
	}
}
