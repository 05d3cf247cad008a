package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"pimentospread"
)

// Command returns the subcommand that runs the soak.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run hosts as processes, inject faults from a seed, and check the invariants",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "first seed; 0 chooses a random one"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of consecutive seeds, with one run each"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "time of faults in each run"},
			&cli.IntFlag{Name: "hosts", Value: 5, Usage: "number of hosts"},
			&cli.IntFlag{Name: "callers", Value: 24, Usage: "number of callers"},
			&cli.BoolFlag{Name: "timed", Value: true, Usage: "check invariants with a time bound as well; a busy machine may violate them"},
			&cli.StringFlag{Name: "output", Value: "json", Usage: "json or table"},
			&cli.StringFlag{Name: "program", Value: "bin/pimentospread", Usage: "path of the pimentospread binary that the hosts run"},
			&cli.StringFlag{Name: "dir", Required: true, Usage: "folder for settings, logs and diaries; those of a run are kept when it fails"},
		},
		Action: runSeeds,
	}
}

func runSeeds(ctx context.Context, c *cli.Command) error {
	first, failed := c.Uint64("seed"), 0
	if first == 0 {
		first = uint64(rand.Uint32())
	}
	for i := range c.Int("seeds") {
		seed := first + uint64(i)
		dir := filepath.Join(c.String("dir"), fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(dir, 0o750); err != nil {
			return err
		}
		o, err := Run(ctx, Config{
			Seed: seed, Length: c.Duration("length"), Hosts: c.Int("hosts"), Callers: c.Int("callers"),
			Timed: c.Bool("timed"), Program: c.String("program"), Dir: dir,
		})
		if err != nil {
			return err
		}
		if err := writeOutcome(c, o); err != nil {
			return err
		}
		if len(o.Violations) > 0 {
			failed++
			continue
		}
		if err := os.RemoveAll(dir); err != nil {
			return err
		}
	}
	if failed > 0 {
		return pimentospread.At(pimentospread.ErrRefused.New("%d of %d seeds violated an invariant; their logs are in %s", failed, c.Int("seeds"), c.String("dir")), "soak", "")
	}
	return nil
}

func writeOutcome(c *cli.Command, o Outcome) error {
	if c.String("output") == "table" {
		return o.WriteTable(c.Root().Writer)
	}
	return json.NewEncoder(c.Root().Writer).Encode(o)
}
