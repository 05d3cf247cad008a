package ledger

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"pimentospread"
)

// Outcome sets what callers were told against what targets did.
type Outcome struct {
	Flows    []FlowCounts
	Requests []ClassOutcome
	// RunTwice counts non-idempotent requests with more than one run.
	RunTwice int
	// NotRunButRan counts requests that a caller was told had not run, and that ran.
	NotRunButRan int
	// Wrong counts answers to another request or not whole, and Contradicted second replies that say something else.
	Wrong, Contradicted int
	// Misdelivered counts frames that named another service or target than the one that got them.
	Misdelivered int
	// Late counts new work at a draining target after the grace.
	Late      int
	Imbalance []Imbalance
	// Service is the service of each class by phase, when phases are named.
	Service []PhaseOutcome `json:",omitempty"`
}

// ClassOutcome counts the requests of one class.
type ClassOutcome struct {
	Class                             pimentospread.Class
	Asked, Answered, NotRun, Unknown  int
	TargetFailed, Malformed, NotTold  int
	Withdrawn                         int
	RunTwice, NotRunButRan, RunByNone int
}

// Imbalance is the largest number of open flows at a target over the mean of the service's targets that take new flows.
type Imbalance struct {
	Service pimentospread.ServiceName
	Targets int
	Largest int
	Mean    float64
	Ratio   pimentospread.Ratio
}

// Compare returns the outcome of a run.
func Compare(callers []Caller, targets []Target) Outcome {
	o := Outcome{Flows: sumFlows(callers), Imbalance: imbalances(targets)}
	runs := map[pimentospread.RequestID]int{}
	for _, t := range targets {
		o.Misdelivered += t.Misdelivered
		o.Late += t.Late
		for _, r := range t.Runs {
			runs[r.Request]++
		}
	}
	classes := map[pimentospread.Class]*ClassOutcome{}
	for _, c := range callers {
		for _, a := range c.Requests {
			k := classes[a.Class]
			if k == nil {
				k = &ClassOutcome{Class: a.Class}
				classes[a.Class] = k
			}
			k.count(a, runs[a.Request])
			o.count(a)
		}
	}
	for _, k := range classes {
		o.RunTwice += k.RunTwice
		o.NotRunButRan += k.NotRunButRan
		o.Requests = append(o.Requests, *k)
	}
	slices.SortFunc(o.Requests, func(a, b ClassOutcome) int { return cmp.Compare(a.Class, b.Class) })
	return o
}

func (o *Outcome) count(a RequestRecord) {
	if a.Wrong {
		o.Wrong++
	}
	if a.Contradicted {
		o.Contradicted++
	}
}

func (k *ClassOutcome) count(a RequestRecord, runs int) {
	k.Asked++
	switch a.Told {
	case Answered:
		k.Answered++
	case NotRun:
		k.NotRun++
	case Unknown:
		k.Unknown++
	case TargetFailed:
		k.TargetFailed++
	case Malformed:
		k.Malformed++
	case Withdrawn:
		k.Withdrawn++
	default:
		k.NotTold++
	}
	if runs > 1 && !a.Idempotent {
		k.RunTwice++
	}
	if runs > 0 && a.Told == NotRun {
		k.NotRunButRan++
	}
	if runs == 0 && a.Told == Answered {
		k.RunByNone++
	}
}

func sumFlows(callers []Caller) []FlowCounts {
	var sums []FlowCounts
	for _, c := range callers {
		for _, f := range c.Flows {
			i := slices.IndexFunc(sums, func(s FlowCounts) bool { return s.Service == f.Service })
			if i < 0 {
				i = len(sums)
				sums = append(sums, FlowCounts{Service: f.Service})
			}
			s := &sums[i]
			s.Opened += f.Opened
			s.Refused += f.Refused
			s.Held += f.Held
			s.Broken += f.Broken
			s.Reset += f.Reset
			s.Silent += f.Silent
		}
	}
	return sums
}

func imbalances(targets []Target) []Imbalance {
	var all []Imbalance
	for _, t := range targets {
		if t.Draining {
			continue
		}
		i := slices.IndexFunc(all, func(m Imbalance) bool { return m.Service == t.Service })
		if i < 0 {
			i = len(all)
			all = append(all, Imbalance{Service: t.Service})
		}
		m := &all[i]
		m.Targets++
		m.Largest = max(m.Largest, t.Flows)
		m.Mean += float64(t.Flows)
	}
	for i := range all {
		m := &all[i]
		m.Mean /= float64(m.Targets)
		if m.Mean > 0 {
			m.Ratio = pimentospread.Ratio(float64(m.Largest) / m.Mean)
		}
	}
	return all
}

// Violations returns one line for each invariant that the run broke.
func (o Outcome) Violations() []string {
	var faults []string
	add := func(n int, what string) {
		if n > 0 {
			faults = append(faults, fmt.Sprintf("%d %s", n, what))
		}
	}
	for _, f := range o.Flows {
		add(f.Broken, fmt.Sprintf("broken flows to %s", f.Service))
	}
	add(o.RunTwice, "non-idempotent requests run twice")
	add(o.NotRunButRan, "requests reported not run that ran")
	add(o.Wrong, "wrong or incomplete answers")
	add(o.Contradicted, "replies that contradict an earlier one")
	add(o.Misdelivered, "misdelivered packets")
	add(o.Late, "pieces of new work at a draining target after the grace")
	for _, k := range o.Requests {
		add(k.RunByNone, fmt.Sprintf("answered requests of class %s that no target ran", k.Class))
	}
	if len(o.Flows) == 0 && len(o.Requests) == 0 {
		faults = append(faults, "no flow was opened and no request was asked")
	}
	return faults
}

// WriteTable prints the outcome for people.
func (o Outcome) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(t, format, args...) }
	row("flows\topened\theld\tbroken\treset\tsilent\trefused\t\n")
	for _, f := range o.Flows {
		row("%s\t%d\t%d\t%d\t%d\t%d\t%d\t\n", f.Service, f.Opened, f.Held, f.Broken, f.Reset, f.Silent, f.Refused)
	}
	row("\t\t\t\t\t\t\t\n")
	row("requests\tasked\tanswered\tnot run\tunknown\tno reply\twithdrawn\tfailed\tmalformed\trun twice\tnot run but ran\t\n")
	for _, k := range o.Requests {
		row("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", k.Class, k.Asked, k.Answered, k.NotRun, k.Unknown,
			k.NotTold, k.Withdrawn, k.TargetFailed, k.Malformed, k.RunTwice, k.NotRunButRan)
	}
	row("\t\t\t\t\t\t\t\t\t\t\t\n")
	row("open flows\ttargets\tlargest\tmean\timbalance\t\n")
	for _, m := range o.Imbalance {
		row("%s\t%d\t%d\t%.1f\t%.2f\t\n", m.Service, m.Targets, m.Largest, m.Mean, float64(m.Ratio))
	}
	if err := t.Flush(); err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "table"), "print", "")
	}
	_, err := fmt.Fprintf(w, "\nmisdelivered %d, wrong answers %d, contradictions %d, late work at draining targets %d\n",
		o.Misdelivered, o.Wrong, o.Contradicted, o.Late)
	if err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "table"), "print", "")
	}
	return nil
}
