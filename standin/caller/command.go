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

// Command returns the subcommand that runs the callers of a plan.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "caller",
		Usage: "open flows and send requests according to a plan, and print a ledger of their results at the end",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "plan", Required: true, Usage: "`FILE` with the plan"},
			&cli.StringFlag{Name: "fabric", Required: true, Usage: "UDP `ADDRESS` of the fabric"},
			&cli.DurationFlag{Name: "duration", Usage: "`TIME` for which new requests are sent; replaces the Duration of the plan"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c, slog.New(slog.NewJSONHandler(c.Root().ErrWriter, nil)))
		},
	}
}

func run(ctx context.Context, c *cli.Command, log *slog.Logger) error {
	data, err := os.ReadFile(c.String("plan"))
	if err != nil {
		return pimentospread.At(pimentospread.ErrNotFound.Wrap(err, "plan cannot be read"), "read", "")
	}
	plan, err := DecodePlan(data)
	if err != nil {
		return err
	}
	if d := c.Duration("duration"); d > 0 && d <= maxDuration {
		plan.Duration.Duration = d
	}
	fabric, err := parseFabricAddress(c.String("fabric"))
	if err != nil {
		return err
	}
	started := time.Now()
	caller, err := NewCaller(ctx, plan, fabric, started)
	if err != nil {
		return err
	}
	group := duty.NewGroup(ctx, log)
	group.Go("receive", caller.receive)
	group.Go("plan", func(ctx context.Context) error {
		caller.run(ctx, started)
		group.Stop()
		return nil
	})
	if err := group.Wait(); err != nil {
		return err
	}
	return loopback.PrintJSON(c.Root().Writer, caller.ledger())
}
