package ledger

import (
	"context"
	"encoding/json"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"pimentospread"
)

// Command returns the subcommand that compares ledgers and fails when an invariant was broken.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "outcome",
		Usage: "compare the ledgers of callers and targets, and fail when an invariant was broken",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "caller", Required: true, Usage: "`FILE` with the ledger of a caller"},
			&cli.StringSliceFlag{Name: "target", Required: true, Usage: "`FILE` with the ledgers of a target process"},
			&cli.StringSliceFlag{Name: "phase", Usage: "`NAME=FROM-UNTIL` of a part of the run, such as flood=8s-20s; repeat for each"},
			&cli.BoolFlag{Name: "json", Usage: "print the outcome as JSON"},
		},
		Action: run,
	}
}

func run(_ context.Context, c *cli.Command) error {
	var callers []Caller
	for _, name := range c.StringSlice("caller") {
		var l Caller
		if err := read(name, &l); err != nil {
			return err
		}
		callers = append(callers, l)
	}
	var targets []Target
	for _, name := range c.StringSlice("target") {
		var l []Target
		if err := read(name, &l); err != nil {
			return err
		}
		targets = append(targets, l...)
	}
	var phases []Phase
	for _, text := range c.StringSlice("phase") {
		p, err := ParsePhase(text)
		if err != nil {
			return err
		}
		phases = append(phases, p)
	}
	o := Compare(callers, targets)
	o.Service = PhaseOutcomes(callers, phases)
	if err := o.print(c); err != nil {
		return err
	}
	if faults := o.Violations(); len(faults) > 0 {
		return pimentospread.At(pimentospread.ErrRefused.New("broken invariants: %s", strings.Join(faults, "; ")), "compare", "")
	}
	return nil
}

func (o Outcome) print(c *cli.Command) error {
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(o)
	}
	if err := o.WriteTable(c.Root().Writer); err != nil || len(o.Service) == 0 {
		return err
	}
	return WritePhaseOutcomes(c.Root().Writer, o.Service)
}

func read(name string, into any) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return pimentospread.At(pimentospread.ErrNotFound.Wrap(err, "ledger"), "read", "")
	}
	if err := json.Unmarshal(data, into); err != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "ledger %q", name), "decode", "")
	}
	return nil
}
