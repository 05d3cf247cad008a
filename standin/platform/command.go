package platform

import (
	"context"
	"log/slog"
	"net/netip"

	"github.com/urfave/cli/v3"

	"pimentospread/duty"
	"pimentospread/standin/loopback"
	"pimentospread/standin/owner"
)

// taskCapacity is above the number of calls that the processes of a demo have
// open at a time.
const taskCapacity = 4096

// Command returns the subcommand that runs the stand-in.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve the platform's object API from memory",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "loopback `ADDRESS` of the object API; with port 0 the kernel chooses one"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return run(ctx, c, slog.New(slog.NewJSONHandler(c.Root().ErrWriter, nil)))
		},
	}
}

func run(ctx context.Context, c *cli.Command, log *slog.Logger) error {
	store := owner.New[*Store](taskCapacity)
	server, err := loopback.ListenHTTP(ctx, c.String("address"), NewHandler(store))
	if err != nil {
		return err
	}
	g := duty.NewGroup(ctx, log)
	g.Go("store", func(ctx context.Context) error { return store.Run(ctx, NewStore()) })
	g.Go("object API", server.Serve)
	announcement := struct{ Address netip.AddrPort }{server.Address()}
	if err := loopback.PrintJSON(c.Root().Writer, announcement); err != nil {
		g.Stop()
	}
	return g.Wait()
}
