package slo

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"pimentospread"
)

// WriteTable writes the report as text: a table with a row for each class and a
// table with the callers of each service.
func (r Report) WriteTable(w io.Writer) error {
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "SERVICE\tCLASS\tOBJECTIVE\tGOOD 5m\tTOTAL 5m\tBURN 5m\tGOOD 1h\tTOTAL 1h\tBURN 1h\tBUDGET LEFT")
	for _, s := range r.Services {
		for _, c := range s.Classes {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%.2f%%\t%d\t%d\t%.2f\t%d\t%d\t%.2f\t%.1f%%\n", s.Service, c.Class, 100*float64(c.Objective),
				c.Short.Good, c.Short.Total, c.Short.Rate, c.Long.Good, c.Long.Total, c.Long.Rate, 100*c.BudgetLeft)
		}
	}
	_, _ = fmt.Fprintln(t, "\nSERVICE\tCALLERS\tLEAST\tMEDIAN\tMOST\tFAIRNESS")
	for _, s := range r.Services {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.0f\t%.1f\t%.0f\t%.4f\n", s.Service, s.Callers.formatCount(),
			s.Callers.Least, s.Callers.Median, s.Callers.Most, s.Callers.Fairness)
	}
	_ = t.Flush()
	_, _ = fmt.Fprintf(&b, "\nHosts: %s\n", joinHosts(r.Hosts))
	_, _ = fmt.Fprintf(&b, "Hosts without answer: %s\n", joinHosts(r.Missing))
	if r.Unknown > 0 {
		_, _ = fmt.Fprintf(&b, "Requests of unknown services or classes: %d\n", r.Unknown)
	}
	return writeString(w, b.String())
}

// formatCount returns the number of callers and marks it if they are a sample.
func (c CallerSummary) formatCount() string {
	if c.Sampled {
		return fmt.Sprintf("%d (sample)", c.Callers)
	}
	return fmt.Sprint(c.Callers)
}

func joinHosts(hosts []pimentospread.HostID) string {
	if len(hosts) == 0 {
		return "none"
	}
	ids := make([]string, 0, len(hosts))
	for _, h := range hosts {
		ids = append(ids, string(h))
	}
	return strings.Join(ids, ", ")
}

func writeString(w io.Writer, text string) error {
	if _, err := io.WriteString(w, text); err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "cannot write burn report"), "write", "")
	}
	return nil
}
