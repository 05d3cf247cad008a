package soak

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"pimentospread"
)

// invariants lists the rules that a run checks, with their labels in the table.
var invariants = []struct{ rule, text string }{
	{"flow", "flows that moved or were reset while their target lived"},
	{"route", "flows at a target of another service"},
	{"drain", "new flows at leaving targets"},
	{"config", "flows under an old configuration"},
	{"unasked", "requests that ran more than once"},
	{"mixed", "answers to other requests"},
	{"exit", "hosts that ended by themselves"},
	{"recover", "hosts not ready or flows without service after the faults"},
	{"stand-in", "failures of the stand-ins"},
}

// WriteTable prints the outcome as a table, followed by the violations.
func (o Outcome) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) }
	row("flows sent\t%d\nflows without service\t%d\nrequests that ran\t%d\n", o.Flows, o.Unserved, o.Requests)
	faults := 0
	for _, n := range o.Faults {
		faults += n
	}
	row("faults\t%d of %d kinds\n", faults, len(o.Faults))
	for _, p := range invariants {
		row("%s\t%d\n", p.text, o.Broken[p.rule])
	}
	if err := t.Flush(); err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "cannot write the table of the outcome"), "print", "")
	}
	if len(o.Violations) == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "\n%s\n", strings.Join(o.Violations, "\n"))
	if err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "cannot write the violations"), "print", "")
	}
	return nil
}
