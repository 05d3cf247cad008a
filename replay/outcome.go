package replay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"pimentospread"
)

// Outcome counts what the data-plane workers of a cell did in a replay.
type Outcome struct {
	// FlowsOpened counts the flows whose first packet was forwarded to a target.
	FlowsOpened int `json:"FlowsOpened"`
	// FlowsBroken counts the flows of which a later packet was forwarded to another target.
	FlowsBroken int `json:"FlowsBroken"`
	// Resets counts the flows that were reset towards their callers.
	Resets int `json:"Resets"`
	// Misdelivered counts the packets that were forwarded to a target of another service.
	Misdelivered int `json:"Misdelivered"`
	// RunTwice counts the non-idempotent requests with two attempts that no target shed.
	RunTwice int `json:"RunTwice"`
	// NotRunButSent counts the requests that were reported as "not run" although an
	// attempt was not shed.
	NotRunButSent int `json:"NotRunButSent"`
	// MismatchedReplies counts the replies that carry the answer of another request.
	MismatchedReplies int              `json:"Crossed"`
	Services          []ServiceOutcome `json:"Services"`
}

// ServiceOutcome is the outcome of one service.
type ServiceOutcome struct {
	Service pimentospread.ServiceID `json:"Service"`
	// Imbalance is the highest number of flows opened at a target, divided by the mean.
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

// ViolatesInvariant reports whether a count is positive that must always be zero.
func (o Outcome) ViolatesInvariant() bool {
	return o.FlowsBroken+o.Misdelivered+o.RunTwice+o.NotRunButSent+o.MismatchedReplies > 0
}

// Write prints the outcome as a table. Equal outcomes produce equal output.
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
	for _, row := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%d\n", row.name, row.count)
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

// sortedKeys returns the keys in ascending order, so that the output is deterministic.
func sortedKeys[K interface {
	~uint32 | ~uint64 | ~string
}, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
