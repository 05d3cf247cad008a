package ledger

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"pimentospread"
)

// Phase is a named part of a run, such as a flood.
type Phase struct {
	Name string
	// From is the start of the phase, and Until its end, as times since the start
	// of the plan. Until is not part of the phase.
	From, Until time.Duration
}

// PhaseOutcome holds the results of the requests of one class that callers sent in one phase.
type PhaseOutcome struct {
	Phase           string
	Class           pimentospread.Class
	Asked, Answered int
	// Share is Answered divided by Asked.
	Share pimentospread.Ratio
	// Median is the median time of answered requests, and Slowest the 99th percentile.
	Median, Slowest pimentospread.Duration
}

// ParsePhase parses a phase such as "flood=8s-20s".
func ParsePhase(text string) (Phase, error) {
	name, times, _ := strings.Cut(text, "=")
	from, until, _ := strings.Cut(times, "-")
	p := Phase{Name: name}
	var err error
	if p.From, err = time.ParseDuration(from); err == nil {
		p.Until, err = time.ParseDuration(until)
	}
	if err != nil || name == "" || p.Until <= p.From {
		return Phase{}, pimentospread.At(pimentospread.ErrInvalid.New("phase %q is not of the form NAME=FROM-UNTIL, such as flood=8s-20s", text), "settings", "")
	}
	return p, nil
}

// PhaseOutcomes returns the results of each class in each phase, sorted by class
// and then in the order of the phases.
func PhaseOutcomes(callers []Caller, phases []Phase) []PhaseOutcome {
	var outcomes []PhaseOutcome
	for _, p := range phases {
		took := map[pimentospread.Class][]time.Duration{}
		asked := map[pimentospread.Class]int{}
		for _, c := range callers {
			for _, a := range c.Requests {
				if a.At.Duration < p.From || a.At.Duration >= p.Until {
					continue
				}
				asked[a.Class]++
				if a.Told == Answered {
					took[a.Class] = append(took[a.Class], a.Took.Duration)
				}
			}
		}
		for class, n := range asked {
			outcomes = append(outcomes, p.classOutcome(class, n, took[class]))
		}
	}
	slices.SortStableFunc(outcomes, func(a, b PhaseOutcome) int { return cmp.Compare(a.Class, b.Class) })
	return outcomes
}

// classOutcome summarizes the requests of one class, of which the answered ones took the given times.
func (p Phase) classOutcome(class pimentospread.Class, asked int, took []time.Duration) PhaseOutcome {
	s := PhaseOutcome{Phase: p.Name, Class: class, Asked: asked, Answered: len(took), Share: pimentospread.Ratio(float64(len(took)) / float64(asked))}
	if len(took) > 0 {
		slices.Sort(took)
		s.Median.Duration = took[len(took)/2]
		s.Slowest.Duration = took[len(took)*99/100]
	}
	return s
}

// WritePhaseOutcomes writes the outcomes as a table.
func WritePhaseOutcomes(w io.Writer, outcomes []PhaseOutcome) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "\nclass\tphase\tasked\tanswered\tshare\tmedian\t99%%\t\n")
	for _, s := range outcomes {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1f%%\t%s\t%s\t\n", s.Class, s.Phase, s.Asked, s.Answered, 100*float64(s.Share),
			s.Median.Round(time.Millisecond), s.Slowest.Round(time.Millisecond))
	}
	if err := t.Flush(); err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "table of phases cannot be written"), "print", "")
	}
	return nil
}
