package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/urfave/cli/v3"

	"pimentospread"
	"pimentospread/operator"
	"pimentospread/pool"
	"pimentospread/publish"
	"pimentospread/release"
)

func (s commands) apply() *cli.Command {
	return &cli.Command{
		Name:        "apply",
		Usage:       "check a set of objects and publish it",
		Description: "Objects are merged by kind and name into those in force.\n\nExample: pimentospread apply --file examples/trust.json",
		Flags: append(changeFlags(), fileFlag("JSON file with the objects"),
			&cli.BoolFlag{Name: flagReplace, Usage: "replace all objects in force instead of merging"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			data, err := s.read(c.String(flagFile))
			if err != nil {
				return err
			}
			set, err := release.DecodeSet(data)
			if err != nil {
				printFaults(s.deps.Stderr, pimentospread.FaultsOf(err))
				return err
			}
			return s.publish(ctx, c, publish.Change{Objects: &set, Replace: c.Bool(flagReplace)})
		},
	}
}

func (s commands) rollback() *cli.Command {
	return &cli.Command{
		Name:        "rollback",
		Usage:       "publish the objects of an earlier generation as a new one",
		ArgsUsage:   "GENERATION",
		Description: "Example: pimentospread rollback 41",
		Flags:       changeFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			g, err := strconv.ParseUint(c.Args().First(), 10, 64)
			if err != nil || g == 0 || c.Args().Len() != 1 {
				return errUsage.New("rollback needs one generation")
			}
			return s.publish(ctx, c, publish.Change{Rollback: pimentospread.Generation(g)})
		},
	}
}

func (s commands) drain() *cli.Command {
	return &cli.Command{
		Name:        "drain",
		Usage:       "send no new flows and requests to a target; existing ones continue",
		ArgsUsage:   "POOL TARGET",
		Description: "Example: pimentospread drain auction-desk auction-desk-03",
		Flags:       append(changeFlags(), &cli.BoolFlag{Name: flagUndo, Usage: "send new flows and requests to the target again"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 2 {
				return errUsage.New("drain needs a pool and a target")
			}
			t := publish.TargetChange{
				Pool:   pimentospread.PoolName(c.Args().Get(0)),
				Target: pimentospread.TargetName(c.Args().Get(1)),
				State:  pool.Draining,
			}
			if c.Bool(flagUndo) {
				t.State = pool.Active
			}
			return s.publish(ctx, c, publish.Change{Target: &t})
		},
	}
}

// publish sends the change to the host and prints the new generation.
func (s commands) publish(ctx context.Context, c *cli.Command, change publish.Change) error {
	change.Publisher = c.String(flagBy)
	change.IfGeneration = pimentospread.Generation(c.Uint64(flagGeneration))
	host, err := client(c)
	if err != nil {
		return err
	}
	r, err := host.Publish(ctx, change)
	if err != nil {
		var p operator.Problem
		if errors.As(err, &p) {
			printFaults(s.deps.Stderr, p.Faults)
		}
		return err
	}
	return s.print(c, r, func(w io.Writer) { _, _ = fmt.Fprintf(w, "accepted as generation %d\n", r.Generation) })
}
