// Command capacity maintains the figures of docs/CAPACITY.md. "record" computes
// slopes from the output of the benchmarks, "page" updates the figures on the
// page from the slopes.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"pimentospread/capacity"
)

func main() {
	if err := newCommand(os.Stdin, os.Stdout).Run(context.Background(), os.Args); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func newCommand(in io.Reader, out io.Writer) *cli.Command {
	slopes := &cli.StringFlag{Name: "slopes", Value: "capacity/slopes.json", Usage: "file with the measured slopes"}
	return &cli.Command{
		Name:  "capacity",
		Usage: "updates the capacity page from measured slopes",
		Commands: []*cli.Command{
			{
				Name:  "page",
				Usage: "updates the figures on the page",
				Flags: []cli.Flag{slopes, &cli.StringFlag{Name: "page", Value: "docs/CAPACITY.md", Usage: "page to update"}},
				Action: func(_ context.Context, c *cli.Command) error {
					return writePage(c.String("slopes"), c.String("page"))
				},
			},
			{
				Name:  "record",
				Usage: "reads the output of the benchmarks and prints the slopes",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "machine", Required: true, Usage: "description of the machine on which the benchmarks ran"},
					&cli.IntFlag{Name: "count", Value: 3, Usage: "number of runs of each benchmark"},
				},
				Action: func(_ context.Context, c *cli.Command) error {
					r := capacity.BenchmarkParser{Package: "./capacity", RunCount: c.Int("count")}
					return record(in, out, r, c.String("machine"))
				},
			},
		},
	}
}

func writePage(slopesPath, pagePath string) error {
	data, err := os.ReadFile(slopesPath)
	if err != nil {
		return err
	}
	slopes, err := capacity.DecodeSlopes(data)
	if err != nil {
		return err
	}
	model, err := capacity.NewModel(capacity.ProjectedSize(), slopes)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(pagePath)
	if err != nil {
		return err
	}
	updated, err := model.Update(string(page))
	if err != nil {
		return err
	}
	return os.WriteFile(pagePath, []byte(updated), 0o644)
}

func record(in io.Reader, out io.Writer, r capacity.BenchmarkParser, machine string) error {
	slopes, err := r.Parse(in, machine)
	if err != nil {
		return err
	}
	data, err := json.MarshalIndent(slopes, "", "  ")
	if err != nil {
		return err
	}
	_, err = io.Copy(out, bytes.NewReader(append(data, '\n')))
	return err
}
