package replay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"pimentospread"
)

// Outcome is what the deciders of a cell did in a trace.
type Outcome struct {
	// FlowsOpened counts flows whose first packet went to a target, FlowsBroken
	// those with a packet that went to another target than their first.
	FlowsOpened int `json:"FlowsOpened"`
	FlowsBroken int `json:"FlowsBroken"`
	// Resets counts flows that were reset towards their callers.
	Resets int `json:"Resets"`
	// Misdelivered counts packets that went to a target of another service.
	Misdelivered int `json:"Misdelivered"`
	// RunTwice counts non-idempotent requests with two attempts of which none was shed.
	RunTwice int `json:"RunTwice"`
	// NotRunButSent counts requests reported "not run" of which an attempt was not shed.
	NotRunButSent int `json:"NotRunButSent"`
	// MismatchedReplies counts replies that carry the answer of another request.
	MismatchedReplies int              `json:"Crossed"`
	Services          []ServiceOutcome `json:"Services"`
}

// ServiceOutcome is the outcome of one service.
type ServiceOutcome struct {
	Service pimentospread.ServiceID `json:"Service"`
	// Imbalance is the highest number of flows opened at a target over the mean.
	Imbalance pimentospread.Ratio `json:"Imbalance"`
	Classes   []ClassOutcome      `json:"Classes"`
}

// ClassOutcome counts the requests of one class.
type ClassOutcome struct {
	Class    pimentospread.Class `json:"Class"`
	Received int                 `json:"Asked"`
	Done     int                 `json:"Done"`
	Failed   int                 `json:"Failed"`
	NotRun   int                 `json:"NotRun"`
	Unknown  int                 `json:"Unknown"`
}

// ViolatesInvariant says that an invariant does not hold.
func (o Outcome) ViolatesInvariant() bool {
	return o.FlowsBroken+o.Misdelivered+o.RunTwice+o.NotRunButSent+o.MismatchedReplies > 0
}

// Write prints the outcome as a table. The same outcome gives the same bytes.
func (o Outcome) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	rows := []struct {
		name  string
		count int
	}{
		{"flows opened", o.FlowsOpened}, {"flows broken", o.FlowsBroken}, {"flows reset", o.Resets},
		{"packets misdelivered", o.Misdelivered}, {"requests run twice", o.RunTwice},
		{"reported not run but sent", o.NotRunButSent}, {"answers crossed", o.MismatchedReplies},
	}
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%d\n", r.name, r.count)
	}
	for _, s := range o.Services {
		_, _ = fmt.Fprintf(w, "service %d\timbalance %.3f\n", s.Service, float64(s.Imbalance))
		for _, c := range s.Classes {
			_, _ = fmt.Fprintf(w, "service %d class %s\tasked %d\tdone %d\tfailed %d\tnot run %d\tunknown %d\n",
				s.Service, c.Class, c.Received, c.Done, c.Failed, c.NotRun, c.Unknown)
		}
	}
	return w.Flush()
}

// sortedKeys returns the keys in rising order, so that output is repeatable.
func sortedKeys[K interface {
	~uint32 | ~uint64 | ~string
}, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
