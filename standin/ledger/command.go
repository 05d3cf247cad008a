package ledger

import (
	"context"
	"encoding/json"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"pimentospread"
)

// Command returns the subcommand that compares the ledgers of a run and fails
// if an invariant is violated.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "outcome",
		Usage: "compare the ledgers of callers and targets, and fail if an invariant is violated",
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
		var decoded Caller
		if err := readLedger(name, &decoded); err != nil {
			return err
		}
		callers = append(callers, decoded)
	}
	var targets []Target
	for _, name := range c.StringSlice("target") {
		var decoded []Target
		if err := readLedger(name, &decoded); err != nil {
			return err
		}
		targets = append(targets, decoded...)
	}
	var phases []Phase
	for _, text := range c.StringSlice("phase") {
		phase, err := ParsePhase(text)
		if err != nil {
			return err
		}
		phases = append(phases, phase)
	}
	o := Compare(callers, targets)
	o.Service = PhaseOutcomes(callers, phases)
	if err := o.print(c); err != nil {
		return err
	}
	if violations := o.Violations(); len(violations) > 0 {
		return pimentospread.At(pimentospread.ErrRefused.New("violated invariants: %s", strings.Join(violations, "; ")), "compare", "")
	}
	return nil
}

// print writes the outcome to standard output, as JSON or as tables.
func (o Outcome) print(c *cli.Command) error {
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(o)
	}
	if err := o.WriteTable(c.Root().Writer); err != nil || len(o.Service) == 0 {
		return err
	}
	return WritePhaseOutcomes(c.Root().Writer, o.Service)
}

// readLedger decodes the JSON file of the given path into a ledger.
func readLedger(path string, ledger any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return pimentospread.At(pimentospread.ErrNotFound.Wrap(err, "ledger cannot be read"), "read", "")
	}
	if err := json.Unmarshal(data, ledger); err != nil {
		return pimentospread.At(pimentospread.ErrInvalid.Wrap(err, "ledger %q cannot be decoded", path), "decode", "")
	}
	return nil
}
