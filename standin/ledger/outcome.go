package ledger

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"pimentospread"
)

// Outcome is the comparison of the results that callers received with the runs that targets recorded.
type Outcome struct {
	Flows    []FlowCounts
	Requests []ClassOutcome
	// RunTwice is the number of non-idempotent requests with more than one run.
	RunTwice int
	// NotRunButRan is the number of requests that ran although the caller received NotRun.
	NotRunButRan int
	// Wrong is the number of requests with an incomplete answer or the answer to another request.
	// Contradicted is the number of requests with a second reply that contradicts the first.
	Wrong, Contradicted int
	// Misdelivered is the number of frames that targets received for another service or target.
	Misdelivered int
	// Late is the number of flows and requests that started at a draining target after the grace period.
	Late      int
	Imbalance []Imbalance
	// Service holds the results by class and phase, if phases are given.
	Service []PhaseOutcome `json:",omitempty"`
}

// ClassOutcome counts the requests of one class by result. NotTold counts those
// without a reply, and RunByNone those that were answered although no target
// recorded a run.
type ClassOutcome struct {
	Class                             pimentospread.Class
	Asked, Answered, NotRun, Unknown  int
	TargetFailed, Malformed, NotTold  int
	Withdrawn                         int
	RunTwice, NotRunButRan, RunByNone int
}

// Imbalance describes how unevenly the open flows of a service are distributed
// over its targets. Draining targets are left out.
type Imbalance struct {
	Service pimentospread.ServiceName
	Targets int
	// Largest is the largest number of open flows at one target.
	Largest int
	// Mean is the mean number of open flows per target.
	Mean float64
	// Ratio is Largest divided by Mean.
	Ratio pimentospread.Ratio
}

// Compare matches the records of callers with those of targets and returns the outcome of the run.
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
			class := classes[a.Class]
			if class == nil {
				class = &ClassOutcome{Class: a.Class}
				classes[a.Class] = class
			}
			class.addRequest(a, runs[a.Request])
			o.addRequest(a)
		}
	}
	for _, class := range classes {
		o.RunTwice += class.RunTwice
		o.NotRunButRan += class.NotRunButRan
		o.Requests = append(o.Requests, *class)
	}
	slices.SortFunc(o.Requests, func(a, b ClassOutcome) int { return cmp.Compare(a.Class, b.Class) })
	return o
}

func (o *Outcome) addRequest(record RequestRecord) {
	if record.Wrong {
		o.Wrong++
	}
	if record.Contradicted {
		o.Contradicted++
	}
}

// addRequest counts a request that ran the given number of times.
func (o *ClassOutcome) addRequest(record RequestRecord, runs int) {
	o.Asked++
	switch record.Told {
	case Answered:
		o.Answered++
	case NotRun:
		o.NotRun++
	case Unknown:
		o.Unknown++
	case TargetFailed:
		o.TargetFailed++
	case Malformed:
		o.Malformed++
	case Withdrawn:
		o.Withdrawn++
	default:
		o.NotTold++
	}
	if runs > 1 && !record.Idempotent {
		o.RunTwice++
	}
	if runs > 0 && record.Told == NotRun {
		o.NotRunButRan++
	}
	if runs == 0 && record.Told == Answered {
		o.RunByNone++
	}
}

// sumFlows adds up the flow counts of all callers by service.
func sumFlows(callers []Caller) []FlowCounts {
	var sums []FlowCounts
	for _, c := range callers {
		for _, f := range c.Flows {
			i := slices.IndexFunc(sums, func(sum FlowCounts) bool { return sum.Service == f.Service })
			if i < 0 {
				i = len(sums)
				sums = append(sums, FlowCounts{Service: f.Service})
			}
			sum := &sums[i]
			sum.Opened += f.Opened
			sum.Refused += f.Refused
			sum.Held += f.Held
			sum.Broken += f.Broken
			sum.Reset += f.Reset
			sum.Silent += f.Silent
		}
	}
	return sums
}

// imbalances returns the imbalance of each service.
func imbalances(targets []Target) []Imbalance {
	var all []Imbalance
	for _, t := range targets {
		if t.Draining {
			continue
		}
		i := slices.IndexFunc(all, func(imbalance Imbalance) bool { return imbalance.Service == t.Service })
		if i < 0 {
			i = len(all)
			all = append(all, Imbalance{Service: t.Service})
		}
		imbalance := &all[i]
		imbalance.Targets++
		imbalance.Largest = max(imbalance.Largest, t.Flows)
		imbalance.Mean += float64(t.Flows)
	}
	for i := range all {
		imbalance := &all[i]
		imbalance.Mean /= float64(imbalance.Targets)
		if imbalance.Mean > 0 {
			imbalance.Ratio = pimentospread.Ratio(float64(imbalance.Largest) / imbalance.Mean)
		}
	}
	return all
}

// Violations returns one line for each invariant that the run violated. A run
// without any flow or request is a violation, too.
func (o Outcome) Violations() []string {
	var violations []string
	add := func(n int, description string) {
		if n > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", n, description))
		}
	}
	for _, f := range o.Flows {
		add(f.Broken, fmt.Sprintf("broken flows to %s", f.Service))
	}
	add(o.RunTwice, "non-idempotent requests run twice")
	add(o.NotRunButRan, "requests that ran although they were reported as not run")
	add(o.Wrong, "wrong or incomplete answers")
	add(o.Contradicted, "requests with contradictory replies")
	add(o.Misdelivered, "misdelivered packets")
	add(o.Late, "flows or requests started at a draining target after the grace period")
	for _, k := range o.Requests {
		add(k.RunByNone, fmt.Sprintf("answered requests of class %s without a run at any target", k.Class))
	}
	if len(o.Flows) == 0 && len(o.Requests) == 0 {
		violations = append(violations, "no flow was opened and no request was sent")
	}
	return violations
}

// WriteTable writes the outcome as tables of flows, requests and imbalance.
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
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "table of the outcome cannot be written"), "print", "")
	}
	_, err := fmt.Fprintf(w, "\nmisdelivered %d, wrong answers %d, contradictions %d, late work at draining targets %d\n",
		o.Misdelivered, o.Wrong, o.Contradicted, o.Late)
	if err != nil {
		return pimentospread.At(pimentospread.ErrUnavailable.Wrap(err, "table of the outcome cannot be written"), "print", "")
	}
	return nil
}
