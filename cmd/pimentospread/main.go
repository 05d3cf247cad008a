// Command pimentospread runs an entry host of the load balancer and provides the
// command line for operators.
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
	// An unhandled SIGHUP would end the process, so it is caught from the start.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	root := command.New(command.Deps{
		Build:  command.Build{Version: version, Revision: revision()},
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Serve:  host.Serve,
		Reload: reload,
	})
	err := root.Run(ctx, os.Args)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "pimentospread:", pimentospread.Text(err))
	}
	return command.ExitCode(err)
}

// revision returns the VCS revision of the build.
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
