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

// Phase is a part of a run, such as the time of a flood.
type Phase struct {
	Name string
	// From and Until are times since the start of the plan.
	From, Until time.Duration
}

// PhaseOutcome is what the requests of one class that were asked in one phase got.
type PhaseOutcome struct {
	Phase           string
	Class           pimentospread.Class
	Asked, Answered int
	// Share is Answered over Asked.
	Share pimentospread.Ratio
	// Median and Slowest are of the times that answered requests took; slowest
	// leaves out the slowest hundredth.
	Median, Slowest pimentospread.Duration
}

// ParsePhase reads a phase such as "flood=8s-20s".
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

// PhaseOutcomes returns the service of each class in each phase, by class and then in the order of the phases.
func PhaseOutcomes(callers []Caller, phases []Phase) []PhaseOutcome {
	var all []PhaseOutcome
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
			all = append(all, p.service(class, n, took[class]))
		}
	}
	slices.SortStableFunc(all, func(a, b PhaseOutcome) int { return cmp.Compare(a.Class, b.Class) })
	return all
}

func (p Phase) service(class pimentospread.Class, asked int, took []time.Duration) PhaseOutcome {
	s := PhaseOutcome{Phase: p.Name, Class: class, Asked: asked, Answered: len(took), Share: pimentospread.Ratio(float64(len(took)) / float64(asked))}
	if len(took) > 0 {
		slices.Sort(took)
		s.Median.Duration = took[len(took)/2]
		s.Slowest.Duration = took[len(took)*99/100]
	}
	return s
}

// WritePhaseOutcomes prints the service of each class for people.
func WritePhaseOutcomes(w io.Writer, all []PhaseOutcome) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "\nclass\tphase\tasked\tanswered\tshare\tmedian\t99%%\t\n")
	for _, s := range all {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1f%%\t%s\t%s\t\n", s.Class, s.Phase, s.Asked, s.Answered, 100*float64(s.Share),
			s.Median.Round(time.Millisecond), s.Slowest.Round(time.Millisecond))
	}
	if err := t.Flush(); err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "table"), "print", "")
	}
	return nil
}
