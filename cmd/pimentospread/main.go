// Command pimentospread runs an entry host of the load balancer and is the
// operator's command line.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"pimentospread"
	"pimentospread/command"
	"pimentospread/host"
)

// version is set by the linker.
var version = "development"

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// Without a receiver SIGHUP ends the process, so it is caught from the start.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	tree := command.New(command.Deps{
		Build:  command.Build{Version: version, Revision: revision()},
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Serve:  host.Serve,
		Reload: reload,
	})
	err := tree.Run(ctx, os.Args)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "pimentospread:", pimentospread.Text(err))
	}
	return command.ExitCode(err)
}

func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return "unknown"
}
