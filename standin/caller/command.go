package caller

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"pimentospread"
	"pimentospread/duty"
	"pimentospread/standin/loopback"
)

// Command returns the subcommand that runs the stand-in.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "caller",
		Usage: "open flows and send requests by a plan, and print a ledger at the end",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "plan", Required: true, Usage: "`FILE` with the plan"},
			&cli.StringFlag{Name: "fabric", Required: true, Usage: "`ADDRESS` of the fabric"},
			&cli.DurationFlag{Name: "duration", Usage: "`TIME` in place of the plan's"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c, slog.New(slog.NewJSONHandler(c.Root().ErrWriter, nil)))
		},
	}
}

func run(ctx context.Context, c *cli.Command, log *slog.Logger) error {
	data, err := os.ReadFile(c.String("plan"))
	if err != nil {
		return pimentospread.At(pimentospread.ErrNotFound.Wrap(err, "plan"), "read", "")
	}
	p, err := DecodePlan(data)
	if err != nil {
		return err
	}
	if d := c.Duration("duration"); d > 0 && d <= maxDuration {
		p.Duration.Duration = d
	}
	fabric, err := parseFabric(c.String("fabric"))
	if err != nil {
		return err
	}
	started := time.Now()
	caller, err := NewCaller(ctx, p, fabric, started)
	if err != nil {
		return err
	}
	g := duty.NewGroup(ctx, log)
	g.Go("receive", caller.receive)
	g.Go("plan", func(ctx context.Context) error {
		caller.run(ctx, started)
		g.Stop()
		return nil
	})
	if err := g.Wait(); err != nil {
		return err
	}
	return loopback.PrintJSON(c.Root().Writer, caller.note())
}
