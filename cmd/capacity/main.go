// Command capacity maintains the figures of docs/CAPACITY.md. "record" computes
// slopes from the output of the benchmarks, "page" updates the figures on the
// page from the slopes, and "sweep" those of the sweeps from their journal entries.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"pimentospread"
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
				Name:      "sweep",
				Usage:     "keeps the figures of sweeps and updates the page and its plots",
				ArgsUsage: "ENTRY...",
				Description: "ENTRY is a journal entry of \"fleetbench sweep\". Example:\n" +
					"capacity sweep journal/20261204T162303-35bf7060.json",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "kept", Value: "capacity/sweeps.json", Usage: "file for the figures"},
					&cli.StringFlag{Name: "page", Value: "docs/CAPACITY.md", Usage: "page to update"},
					&cli.StringFlag{Name: "plots", Value: "docs", Usage: "folder for the plots"},
				},
				Action: func(_ context.Context, c *cli.Command) error {
					return keepSweeps(c.Args().Slice(), c.String("kept"), c.String("page"), c.String("plots"))
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

// keepSweeps reads journal entries and writes their figures, their plots and the page.
func keepSweeps(entries []string, keptPath, pagePath, plotsPath string) error {
	if len(entries) == 0 {
		return pimentospread.ErrInvalid.New("no journal entry given, want at least one")
	}
	var sweeps []capacity.Sweep
	for _, path := range entries {
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		s, err := capacity.ParseSweep(data)
		if err != nil {
			return err
		}
		sweeps = append(sweeps, s)
		var image bytes.Buffer
		if err := s.WritePlots(&image); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(plotsPath, "capacity-"+s.Site+".svg"), image.Bytes(), 0o644); err != nil {
			return err
		}
	}
	kept, err := json.MarshalIndent(sweeps, "", "\t")
	if err != nil {
		return err
	}
	if err := os.WriteFile(keptPath, append(kept, '\n'), 0o644); err != nil {
		return err
	}
	page, err := os.ReadFile(pagePath)
	if err != nil {
		return err
	}
	updated, err := capacity.UpdateSweeps(string(page), sweeps)
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
