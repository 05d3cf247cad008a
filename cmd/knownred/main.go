// Command knownred runs go test with its arguments. It ignores failures of tests
// listed in KNOWN-RED.txt, and fails if another test fails or a listed test was
// not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	list, err := os.Open("KNOWN-RED.txt")
	if err != nil {
		return err
	}
	defer list.Close() //nolint:errcheck // The file is only read.
	known, err := readKnown(list)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(context.Background(), "go", append([]string{"test", "-json"}, args...)...) //nolint:gosec // The arguments are those of the developer.
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	p, err := readReport(out, os.Stdout)
	if err != nil {
		return err
	}
	testErr := cmd.Wait()
	lines, ok := p.findings(known)
	slices.Sort(lines)
	for _, l := range lines {
		fmt.Println(l)
	}
	switch {
	case !ok:
		return errors.New("tests failed that KNOWN-RED.txt does not list")
	case testErr != nil && len(p.failed) == 0:
		return fmt.Errorf("run go test: %w", testErr)
	}
	return nil
}
