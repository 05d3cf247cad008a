// Command replay replays recorded traces of the hosts of a cell through their
// decision logic and prints the outcome. It exits with code 1 if an invariant is
// violated.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"pimentospread/host"
	"pimentospread/replay"
	"pimentospread/trace"
)

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "replay:", err)
		os.Exit(1)
	}
}

func run(args []string, out io.Writer) error {
	asJSON := len(args) > 0 && args[0] == "--json"
	if asJSON {
		args = args[1:]
	}
	if len(args) == 0 {
		return fmt.Errorf("usage: replay [--json] TRACE [TRACE...]")
	}
	var hosts [][]trace.Event
	for _, path := range args {
		events, err := read(path)
		if err != nil {
			return err
		}
		hosts = append(hosts, events)
	}
	outcome, err := replay.NewPlayer(host.MessageRegistry()).Play(trace.Merge(hosts...))
	if err != nil {
		return err
	}
	if asJSON {
		err = json.NewEncoder(out).Encode(outcome)
	} else {
		err = outcome.Write(out)
	}
	if err == nil && outcome.ViolatesInvariant() {
		err = fmt.Errorf("an invariant is violated")
	}
	return err
}

func read(path string) ([]trace.Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return trace.Read(file)
}
