// Command standin runs small stand-ins for the systems around the load balancer:
// the platform, the fabric, targets and callers. It is for demos and tests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"pimentospread"
	"pimentospread/standin/caller"
	"pimentospread/standin/cell"
	"pimentospread/standin/fabric"
	"pimentospread/standin/ledger"
	"pimentospread/standin/loopback"
	"pimentospread/standin/platform"
	"pimentospread/standin/relay"
	"pimentospread/standin/soak"
	"pimentospread/standin/target"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cli.Command{
		Name:      "standin",
		Usage:     "stand-ins for demos and tests, on loopback only",
		Writer:    os.Stdout,
		ErrWriter: os.Stderr,
		Commands: []*cli.Command{
			platform.Command(),
			fabric.Command(),
			target.Command(),
			target.SetCommand(),
			caller.Command(),
			ledger.Command(),
			cell.SettingsCommand(),
			cell.RosterCommand(),
			relay.Command(),
			loopback.CallCommand(),
			loopback.ShowCommand(),
			soak.Command(),
		},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", pimentospread.Text(err))
		os.Exit(1)
	}
}
